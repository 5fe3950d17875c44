package pearladder.emulator.net;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import pearladder.emulator.EndpointRegistry;
import pearladder.emulator.FleetPlan;
import pearladder.emulator.ModelStore;
import pearladder.emulator.Observation;
import pearladder.emulator.WorkerFactory;
import pearladder.kserve.DiscoveryMessage.Entry;
import pearladder.kserve.DiscoveryMessage.WorkerState;

/**
 * All emulated workers of a plan with their model store and discovery service, on loopback ports given by the
 * system. One event loop owns them: methods that return a future or act on workers are to be called on it, through
 * {@link #call} or {@link #run}.
 */
public final class Fleet {
    private static final String LOOPBACK = "127.0.0.1";
    /** The registry learns of the first workers without lag; its own lag is set after so long. */
    private static final long START_WITHOUT_LAG_MILLIS = 20;
    /** The reported start time of a worker that was warm when the fleet started. */
    private static final long STARTED_BEFORE = 0;

    private final Vertx vertx;
    private final EventLoop loop;
    private final VertxTimeline time;
    private final ModelStore modelStore;
    private final WorkerFactory workerFactory;
    private final EndpointRegistry registry;
    private final DiscoveryServer discoveryServer;
    private final FaultProxy faultProxy;
    private final Map<String, WorkerServer> servers = new LinkedHashMap<>();
    private final Map<String, FleetPlan.PlannedWorker> plannedWorkers = new LinkedHashMap<>();

    private Fleet(Vertx vertx, FleetPlan plan, Consumer<Observation> observations) {
        this.vertx = vertx;
        this.loop = new EventLoop(vertx);
        this.time = new VertxTimeline(vertx);
        this.modelStore = new ModelStore(time, plan.modelStoreCapacity(), plan.modelStoreFetchLimit());
        this.workerFactory = new WorkerFactory(time, plan, modelStore, observations);
        this.registry = new EndpointRegistry(time, plan.discoveryLagNanos(), observations);
        this.faultProxy = plan.usesFaultProxy() ? new FaultProxy() : null;
        this.discoveryServer = new DiscoveryServer(vertx, registry, this::addressedFor);
    }

    /** Starts all workers, warm and listed, and waits until they listen. */
    public static Fleet start(Vertx vertx, FleetPlan plan, Consumer<Observation> observations) {
        return start(vertx, plan, 0, observations);
    }

    /** The same with the discovery service on a port of the caller's; 0 lets the system give one. */
    public static Fleet start(Vertx vertx, FleetPlan plan, int discoveryPort, Consumer<Observation> observations) {
        Fleet fleet = new Fleet(vertx, plan, observations);
        fleet.call(() -> fleet.startAll(plan, discoveryPort));
        return fleet;
    }

    private Future<Void> startAll(FleetPlan plan, int discoveryPort) {
        registry.setLag(0);
        Future<Void> all = discoveryServer.listen(discoveryPort);
        for (FleetPlan.PlannedWorker worker : plan.workers()) {
            all = all.compose(done -> add(worker, false));
        }
        return all.onSuccess(
                done -> vertx.setTimer(START_WITHOUT_LAG_MILLIS, fired -> registry.setLag(plan.discoveryLagNanos())));
    }

    /** Runs a task on the fleet's event loop and waits for its result. */
    public <T> T call(Supplier<Future<T>> task) {
        return loop.call(task);
    }

    /** Runs a task on the fleet's event loop and waits for its end. */
    public void run(Runnable task) {
        call(() -> {
            task.run();
            return Future.succeededFuture();
        });
    }

    /** The port of the discovery service. */
    public int discoveryPort() {
        return discoveryServer.port();
    }

    /** The discovery service. */
    public DiscoveryServer discoveryServer() {
        return discoveryServer;
    }

    /** What the discovery service knows. */
    public EndpointRegistry registry() {
        return registry;
    }

    /** The store that all workers fetch models from. */
    public ModelStore modelStore() {
        return modelStore;
    }

    /** The network between routers and workers; null where the plan has no fault proxy. */
    public FaultProxy faultProxy() {
        return faultProxy;
    }

    /** The ids of all workers, those that are down included. */
    public List<String> workerIds() {
        return List.copyOf(servers.keySet());
    }

    /** The worker of this id. */
    public WorkerServer server(String id) {
        return servers.get(id);
    }

    /** The zone of a worker. */
    public String hallOf(String id) {
        return plannedWorkers.get(id).zone();
    }

    private Future<Void> add(FleetPlan.PlannedWorker worker, boolean coldStart) {
        String id = worker.id();
        WorkerServer server = new WorkerServer(vertx, workerFactory.create(worker, coldStart), () -> kill(id));
        servers.put(id, server);
        plannedWorkers.put(id, worker);
        return server.listen()
                .onSuccess(done ->
                        announce(id, WorkerState.IN_SERVICE, coldStart ? System.currentTimeMillis() : STARTED_BEFORE));
    }

    private void announce(String id, WorkerState state, long startedMillis) {
        FleetPlan.PlannedWorker worker = plannedWorkers.get(id);
        registry.change(new Entry(
                id,
                LOOPBACK,
                servers.get(id).port(),
                worker.zone(),
                worker.kind().name(),
                worker.cell(),
                state,
                startedMillis));
    }

    /** A worker announces that it drains: it takes nothing new and finishes what it holds. */
    public void drain(String id) {
        servers.get(id).worker().drain();
        announce(id, WorkerState.DRAINING, 0);
    }

    /** A worker's process dies; the registry learns of it after its lag. */
    public Future<Void> kill(String id) {
        Future<Void> closed = servers.get(id).crash();
        if (faultProxy != null) {
            faultProxy.setDown(id, true);
        }
        announce(id, WorkerState.GONE, 0);
        return closed;
    }

    /** A worker's entry with the address by which a router reaches it. */
    private Entry addressedFor(String router, Entry entry) {
        if (faultProxy == null || entry.state() == WorkerState.GONE) {
            return entry;
        }
        return new Entry(
                entry.worker(),
                entry.host(),
                faultProxy.port(router, entry.worker(), entry.port()),
                entry.zone(),
                entry.kind(),
                entry.cell(),
                entry.state(),
                entry.startedMillis());
    }

    /** A dead worker starts again on its port, empty and cold; does nothing where it runs. */
    public Future<Void> restart(String id) {
        WorkerServer server = servers.get(id);
        if (server.worker().isUp()) {
            return Future.succeededFuture();
        }
        server.worker().restart();
        return server.listen().onSuccess(done -> {
            if (faultProxy != null) {
                faultProxy.setDown(id, false);
            }
            announce(id, WorkerState.IN_SERVICE, System.currentTimeMillis());
        });
    }

    /** A step of a rolling deployment: the worker drains, goes, and a successor with a new id starts cold. */
    public Future<Void> replace(String id, long drainNanos) {
        drain(id);
        Promise<Void> replaced = Promise.promise();
        FleetPlan.PlannedWorker old = plannedWorkers.get(id);
        time.after(drainNanos, () -> kill(id).onComplete(
                        dead -> add(workerFactory.successorOf(old), true).onComplete(replaced)));
        return replaced.future();
    }

    /** Stops the workers and breaks the connections of the discovery service. */
    public void close() {
        call(() -> {
            List<Future<Void>> closed = new ArrayList<>();
            servers.values().forEach(server -> closed.add(server.crash()));
            discoveryServer.resetWatches();
            if (faultProxy != null) {
                faultProxy.close();
            }
            return Future.all(closed).mapEmpty();
        });
    }
}
