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
 * All emulated workers of a plan with their model store and discovery service, on loopback ports assigned by the
 * system. One event loop owns them: methods that return a future or act on workers must be called on it, through
 * {@link #call} or {@link #run}.
 */
public final class Fleet {
    private static final String LOOPBACK = "127.0.0.1";
    /** Time after the start at which the plan's lag is set; the registry learns of the initial workers without lag. */
    private static final long LAG_ACTIVATION_DELAY_MILLIS = 20;
    /** Reported start time, in ms since the epoch, of a worker that is warm when the fleet starts. */
    private static final long WARM_STARTED_EPOCH_MILLIS = 0;

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

    /** Starts all workers, warm and in the endpoint list, and waits until they listen. */
    public static Fleet start(Vertx vertx, FleetPlan plan, Consumer<Observation> observations) {
        return start(vertx, plan, 0, observations);
    }

    /** Starts a fleet with the discovery service on a given port, or on one assigned by the system if it is 0. */
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
        return all.onSuccess(done ->
                vertx.setTimer(LAG_ACTIVATION_DELAY_MILLIS, fired -> registry.setLag(plan.discoveryLagNanos())));
    }

    /** Runs a task on the fleet's event loop and waits for its result. */
    public <T> T call(Supplier<Future<T>> task) {
        return loop.call(task);
    }

    /** Runs a task on the fleet's event loop and waits for its completion. */
    public void run(Runnable task) {
        call(() -> {
            task.run();
            return Future.succeededFuture();
        });
    }

    /** Returns the port of the discovery service. */
    public int discoveryPort() {
        return discoveryServer.port();
    }

    /** Returns the server of the discovery service. */
    public DiscoveryServer discoveryServer() {
        return discoveryServer;
    }

    /** Returns the endpoint registry behind the discovery service. */
    public EndpointRegistry registry() {
        return registry;
    }

    /** Returns the model store that all workers fetch images from. */
    public ModelStore modelStore() {
        return modelStore;
    }

    /** Returns the proxy between routers and workers, or null if the plan does not use one. */
    public FaultProxy faultProxy() {
        return faultProxy;
    }

    /** Returns the ids of all workers, including those that are down. */
    public List<String> workerIds() {
        return List.copyOf(servers.keySet());
    }

    /** Returns the server of the worker with this id. */
    public WorkerServer server(String id) {
        return servers.get(id);
    }

    /** Returns the zone of a worker. */
    public String zoneOf(String id) {
        return plannedWorkers.get(id).zone();
    }

    private Future<Void> add(FleetPlan.PlannedWorker worker, boolean coldStart) {
        String id = worker.id();
        WorkerServer server = new WorkerServer(vertx, workerFactory.create(worker, coldStart), () -> kill(id));
        servers.put(id, server);
        plannedWorkers.put(id, worker);
        return server.listen()
                .onSuccess(done -> announce(
                        id,
                        WorkerState.IN_SERVICE,
                        coldStart ? System.currentTimeMillis() : WARM_STARTED_EPOCH_MILLIS));
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

    /** Drains a worker, which rejects new requests and finishes those that it holds, and announces it as draining. */
    public void drain(String id) {
        servers.get(id).worker().drain();
        announce(id, WorkerState.DRAINING, 0);
    }

    /** Kills a worker's process; the registry learns of it after its lag. */
    public Future<Void> kill(String id) {
        Future<Void> closed = servers.get(id).crash();
        if (faultProxy != null) {
            faultProxy.setDown(id, true);
        }
        announce(id, WorkerState.GONE, 0);
        return closed;
    }

    /** Returns a worker's entry with the address at which a router reaches it. */
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

    /** Restarts a dead worker on its former port, cold and without instances; does nothing if it is running. */
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

    /** Replaces a worker as in a rolling deployment: drains it, kills it and starts a cold successor with a new id. */
    public Future<Void> replace(String id, long drainNanos) {
        drain(id);
        Promise<Void> replaced = Promise.promise();
        FleetPlan.PlannedWorker old = plannedWorkers.get(id);
        time.after(drainNanos, () -> kill(id).onComplete(
                        dead -> add(workerFactory.successorOf(old), true).onComplete(replaced)));
        return replaced.future();
    }

    /** Stops the workers and resets the watch connections of the discovery service. */
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
