package pearladder.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import pearladder.emulator.EndpointRegistry;
import pearladder.emulator.FaultCommand;
import pearladder.emulator.FleetPlan;
import pearladder.emulator.ModelStore;
import pearladder.emulator.Observation;
import pearladder.emulator.Timeline;
import pearladder.emulator.WorkerFactory;
import pearladder.emulator.WorkerModel;
import pearladder.kserve.DiscoveryMessage.Entry;
import pearladder.kserve.DiscoveryMessage.WorkerState;

/** All workers of a fleet plan with their model store and endpoint registry, on the virtual network. */
final class SimulatedFleet {
    private static final long HEARTBEAT_INTERVAL_NANOS = 500_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Placeholder address: routers look up a worker's network path by its id. */
    private static final String HOST = "virtual";

    private static final int PORT = 1;
    /** Reported start time of workers that are already warm at the start of the simulation. */
    private static final long WARM_START_MILLIS = 0;

    private final Timeline time;
    private final long networkDelayNanos;
    private final Consumer<Observation> observations;
    private final ModelStore modelStore;
    private final WorkerFactory workerFactory;
    private final EndpointRegistry registry;
    private final Map<String, SimulatedNetworkPath> paths = new LinkedHashMap<>();
    private final Map<String, FleetPlan.PlannedWorker> plannedWorkers = new LinkedHashMap<>();
    private final Map<SimulatedNetworkPath, Long> pausedSince = new LinkedHashMap<>();
    private Runnable onDiscoveryReset = () -> {};

    SimulatedFleet(Timeline time, FleetPlan plan, long networkDelayNanos, Consumer<Observation> observations) {
        this.time = time;
        this.networkDelayNanos = networkDelayNanos;
        this.observations = observations;
        this.modelStore = new ModelStore(time, plan.modelStoreCapacity(), plan.modelStoreFetchLimit());
        this.workerFactory = new WorkerFactory(time, plan, modelStore, observations);
        this.registry = new EndpointRegistry(time, 0, observations);
        plan.workers().forEach(worker -> add(worker, false));
        // The tasks just scheduled list the initial workers without lag.
        time.after(1, () -> registry.setLag(plan.discoveryLagNanos()));
        scheduleHeartbeat();
    }

    private void scheduleHeartbeat() {
        time.after(HEARTBEAT_INTERVAL_NANOS, () -> {
            registry.sendHeartbeat();
            scheduleHeartbeat();
        });
    }

    EndpointRegistry registry() {
        return registry;
    }

    SimulatedNetworkPath pathTo(String worker) {
        return paths.get(worker);
    }

    /** Sets the action that resets every connection of the discovery service. */
    void onDiscoveryReset(Runnable action) {
        onDiscoveryReset = action;
    }

    private void add(FleetPlan.PlannedWorker planned, boolean coldStart) {
        WorkerModel worker = workerFactory.create(planned, coldStart);
        paths.put(planned.id(), new SimulatedNetworkPath(time, networkDelayNanos, worker, planned.zone()));
        plannedWorkers.put(planned.id(), planned);
        announce(planned.id(), WorkerState.IN_SERVICE, coldStart ? nowMillis() : WARM_START_MILLIS);
    }

    private long nowMillis() {
        return time.now() / NANOS_PER_MILLI;
    }

    private void announce(String id, WorkerState state, long startedMillis) {
        FleetPlan.PlannedWorker worker = plannedWorkers.get(id);
        registry.change(
                new Entry(id, HOST, PORT, worker.zone(), worker.kind().name(), worker.cell(), state, startedMillis));
    }

    /** Returns the workers that accept requests in a zone, or in all zones if the zone is empty. */
    List<String> inService(String zone) {
        List<String> ids = new ArrayList<>();
        paths.forEach((id, path) -> {
            boolean inService = path.worker.isUp() && !path.worker.isDraining();
            if (inService && (zone.isEmpty() || path.zone.equals(zone))) {
                ids.add(id);
            }
        });
        return ids;
    }

    /** Kills a worker's process; the registry reports it after the discovery lag. */
    void kill(String id) {
        paths.get(id).crash();
        announce(id, WorkerState.GONE, 0);
    }

    private void restart(String id) {
        WorkerModel worker = paths.get(id).worker;
        if (!worker.isUp()) {
            worker.restart();
            announce(id, WorkerState.IN_SERVICE, nowMillis());
        }
    }

    private void drain(String id) {
        paths.get(id).worker.drain();
        announce(id, WorkerState.DRAINING, 0);
    }

    /** Performs a step of a rolling deployment: drains and stops the worker, then cold-starts one with a new id. */
    private void replace(String id, long drainNanos) {
        drain(id);
        FleetPlan.PlannedWorker old = plannedWorkers.get(id);
        time.after(drainNanos, () -> {
            kill(id);
            add(workerFactory.successorOf(old), true);
        });
    }

    private void setPaused(SimulatedNetworkPath path, boolean on) {
        if (on) {
            pausedSince.putIfAbsent(path, time.now());
        } else if (pausedSince.containsKey(path)) {
            long since = pausedSince.remove(path);
            observations.accept(new Observation(
                    since, Observation.PROCESS_PAUSED, "", "", 0, path.worker.id(), "", "", time.now() - since));
        }
        path.setPaused(on);
    }

    /**
     * Applies a fault command; commands have the same names as over sockets.
     *
     * @throws IllegalArgumentException if simulations do not support the fault
     */
    void apply(FaultCommand command) {
        command.workerFault()
                .ifPresentOrElse(
                        fault -> targetPaths(command).forEach(path -> fault.accept(path.worker)),
                        () -> applyToServices(command));
    }

    /** Returns the paths to the command's workers, or to all workers if it names none. */
    private List<SimulatedNetworkPath> targetPaths(FaultCommand command) {
        List<String> ids = command.workers().isEmpty() ? List.copyOf(paths.keySet()) : command.workers();
        return ids.stream().map(paths::get).filter(Objects::nonNull).toList();
    }

    private void applyToServices(FaultCommand command) {
        command.modelStoreFault().ifPresentOrElse(fault -> fault.accept(modelStore), () -> command.registryFault()
                .ifPresentOrElse(fault -> fault.accept(registry), () -> applyToProcesses(command)));
    }

    private void applyToProcesses(FaultCommand command) {
        switch (command.type()) {
            case KILL -> command.workers().forEach(this::kill);
            case RESTART -> command.workers().forEach(this::restart);
            case REPLACE -> command.workers().forEach(id -> replace(id, command.durationNanos()));
            case DISCOVERY_RESET -> onDiscoveryReset.run();
            default -> targetPaths(command).forEach(pathFault(command));
        }
    }

    private Consumer<SimulatedNetworkPath> pathFault(FaultCommand command) {
        boolean on = command.isOn();
        return switch (command.type()) {
            case HANGING -> path -> path.setHanging(on);
            case MISNAMED_MODELS -> path -> path.setMisnamingModels(on);
            case TRUNCATED_RESPONSES -> path -> path.setTruncatingResponses(on);
            case PAUSE -> path -> setPaused(path, on);
            case RESPONSE_PATH_CUT -> path -> path.setCut(false, on);
            case NETWORK_CUT -> path -> path.setCut(on, on);
            case NOT_ACCEPTING -> path -> path.setNotAccepting(on);
            case CONNECTION_RESET -> SimulatedNetworkPath::resetConnections;
            default -> throw new IllegalArgumentException(
                    "fault not supported in simulations: " + command.type().word());
        };
    }
}
