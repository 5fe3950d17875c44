package pearladder.emulator.net;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import pearladder.emulator.EndpointRegistry;
import pearladder.emulator.FleetPlan;
import pearladder.emulator.IdempotencyCache;
import pearladder.emulator.ModelStore;
import pearladder.emulator.Observation;
import pearladder.emulator.WorkerEnvironment;
import pearladder.emulator.WorkerModel;
import pearladder.emulator.WorkerSettings;
import pearladder.kserve.DiscoveryMessage.Entry;
import pearladder.kserve.DiscoveryMessage.Standing;

/** All stand-ins of a plan on loopback ports given by the system, on one event loop. */
public final class Fleet {
    private final Vertx vertx;
    private final io.vertx.core.Context loop;
    private final FleetPlan plan;
    private final Consumer<Observation> seen;
    private final VertxTimeline time;
    private final ModelStore shelf;
    private final EndpointRegistry roll;
    private final DiscoveryServer list;
    private final FaultProxy cables;
    private final Map<String, IdempotencyCache> marks = new LinkedHashMap<>();
    private final Map<String, WorkerServer> engines = new LinkedHashMap<>();
    private final Map<String, FleetPlan.Planned> planned = new LinkedHashMap<>();
    private int made;

    private Fleet(Vertx vertx, FleetPlan plan, Consumer<Observation> seen) {
        this.vertx = vertx;
        this.loop = vertx.getOrCreateContext();
        this.plan = plan;
        this.seen = seen;
        this.time = new VertxTimeline(vertx);
        this.shelf = new ModelStore(time, plan.modelStoreCapacity(), plan.modelStoreFetchLimit());
        this.roll = new EndpointRegistry(time, plan.lagNanos(), seen);
        this.cables = plan.cables() ? new FaultProxy() : null;
        this.list = new DiscoveryServer(vertx, roll, this::reachedBy);
    }

    /** Stands everything up, warm and listed, and waits until it listens. */
    public static Fleet start(Vertx vertx, FleetPlan plan, Consumer<Observation> seen) {
        return start(vertx, plan, 0, seen);
    }

    /** The same with the list on a port of the caller's; 0 lets the system give one. */
    public static Fleet start(Vertx vertx, FleetPlan plan, int listPort, Consumer<Observation> seen) {
        Fleet fleet = new Fleet(vertx, plan, seen);
        fleet.call(() -> {
            fleet.roll.setLag(0);
            Future<Void> all = fleet.list.listen(listPort);
            for (FleetPlan.Planned engine : plan.engines()) {
                all = all.compose(done -> fleet.add(engine, false));
            }
            return all.onSuccess(done -> vertx.setTimer(20, fired -> fleet.roll.setLag(plan.lagNanos())));
        });
        return fleet;
    }

    /** Runs something on the stand-ins' own loop and waits for it. */
    public <T> T call(Supplier<Future<T>> what) {
        CountDownLatch done = new CountDownLatch(1);
        Promise<T> promise = Promise.promise();
        loop.runOnContext(run -> {
            try {
                what.get().onComplete(promise);
            } catch (RuntimeException failed) {
                promise.fail(failed);
            }
        });
        promise.future().onComplete(end -> done.countDown());
        try {
            if (!done.await(20, TimeUnit.SECONDS)) {
                throw new IllegalStateException("the stand-ins did not answer within 20 s");
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(stopped);
        }
        if (promise.future().failed()) {
            throw new IllegalStateException(promise.future().cause());
        }
        return promise.future().result();
    }

    /** Runs something on the stand-ins' own loop and waits for its end. */
    public void run(Runnable what) {
        call(() -> {
            what.run();
            return Future.succeededFuture();
        });
    }

    public int listPort() {
        return list.port();
    }

    public DiscoveryServer list() {
        return list;
    }

    public EndpointRegistry roll() {
        return roll;
    }

    public ModelStore shelf() {
        return shelf;
    }

    public List<String> ids() {
        return List.copyOf(engines.keySet());
    }

    public WorkerServer engine(String id) {
        return engines.get(id);
    }

    public String hall(String id) {
        return planned.get(id).hall();
    }

    /** Engines of a hall, or all where the hall is empty. */
    public List<String> in(String hall) {
        return engines.keySet().stream()
                .filter(id -> hall.isEmpty() || planned.get(id).hall().equals(hall))
                .toList();
    }

    /** Stands up one more engine; on the stand-ins' loop. */
    public Future<Void> add(FleetPlan.Planned engine, boolean cold) {
        String group =
                switch (engine.kind().idempotencyScope()) {
                    case ALL -> "";
                    case HALL -> engine.hall();
                    case CELL -> Long.toString(engine.cell());
                };
        IdempotencyCache shared = marks.computeIfAbsent(
                group, name -> new IdempotencyCache(time, engine.kind().idempotencyWindowNanos()));
        WorkerModel model = new WorkerModel(
                new WorkerSettings(engine.id(), engine.kind(), plan.seed() * 1000 + made++, cold),
                new WorkerEnvironment(time, plan::modelOf, shelf, shared, seen));
        WorkerServer server = new WorkerServer(vertx, model, () -> kill(engine.id()));
        engines.put(engine.id(), server);
        planned.put(engine.id(), engine);
        return server.listen()
                .onSuccess(done -> tell(engine.id(), Standing.IN_SERVICE, cold ? System.currentTimeMillis() : 0));
    }

    private void tell(String id, Standing standing, long started) {
        FleetPlan.Planned engine = planned.get(id);
        roll.change(new Entry(
                id,
                "127.0.0.1",
                engines.get(id).port(),
                engine.hall(),
                engine.kind().name(),
                engine.cell(),
                standing,
                started));
    }

    /** An engine announces that it drains: it takes nothing new and finishes what it holds. */
    public void drain(String id) {
        engines.get(id).engine().drain();
        tell(id, Standing.DRAINING, 0);
    }

    /** An engine's process dies; the list learns of it late. */
    public Future<Void> kill(String id) {
        Future<Void> dead = engines.get(id).die();
        if (cables != null) {
            cables.down(id, true);
        }
        tell(id, Standing.GONE, 0);
        return dead;
    }

    /** An engine's entry as a router reaches it. */
    private Entry reachedBy(String router, Entry entry) {
        return cables == null || entry.standing() == Standing.GONE
                ? entry
                : new Entry(
                        entry.engine(),
                        entry.host(),
                        cables.port(router, entry.engine(), entry.port()),
                        entry.hall(),
                        entry.kind(),
                        entry.cell(),
                        entry.standing(),
                        entry.startedMillis());
    }

    /** The network between routers and engines; null where the plan has no cables. */
    public FaultProxy cables() {
        return cables;
    }

    /** A dead engine comes back on its port, empty and cold. */
    public Future<Void> restart(String id) {
        WorkerServer server = engines.get(id);
        if (server.engine().isUp()) {
            return Future.succeededFuture();
        }
        server.engine().restart();
        return server.listen().onSuccess(done -> {
            if (cables != null) {
                cables.down(id, false);
            }
            tell(id, Standing.IN_SERVICE, System.currentTimeMillis());
        });
    }

    /** A rolling deploy's step: the engine drains, goes, and a successor with a new name starts cold. */
    public Future<Void> replace(String id, long drainNanos) {
        drain(id);
        Promise<Void> done = Promise.promise();
        FleetPlan.Planned old = planned.get(id);
        time.after(drainNanos, () -> kill(id).onComplete(dead -> {
            String name = id.replaceFirst("(~[0-9]+)?$", "~" + made);
            add(new FleetPlan.Planned(name, old.kind(), old.hall(), old.cell()), true)
                    .onComplete(done);
        }));
        return done.future();
    }

    /** Ends the engines and the list. */
    public void close() {
        call(() -> {
            List<Future<Void>> all = new ArrayList<>();
            engines.values().forEach(engine -> all.add(engine.die()));
            list.cut();
            if (cables != null) {
                cables.close();
            }
            return Future.all(all).mapEmpty();
        });
    }
}
