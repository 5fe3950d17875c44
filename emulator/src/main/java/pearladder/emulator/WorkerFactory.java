package pearladder.emulator;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Creates the workers of a fleet, which share a model store and, within a group, the idempotency cache.
 */
public final class WorkerFactory {
    /** Size of the range of worker seeds that each plan seed has. */
    private static final long SEEDS_PER_PLAN = 1000;

    private static final String SUCCESSOR_SUFFIX = "(~[0-9]+)?$";

    private final Timeline time;
    private final FleetPlan plan;
    private final ModelStore modelStore;
    private final Consumer<Observation> observations;
    private final Map<String, IdempotencyCache> idempotencyCaches = new LinkedHashMap<>();
    private int created;

    /** @param observations receives all observations at the workers */
    public WorkerFactory(Timeline time, FleetPlan plan, ModelStore modelStore, Consumer<Observation> observations) {
        this.time = time;
        this.plan = plan;
        this.modelStore = modelStore;
        this.observations = observations;
    }

    /** @param coldStart whether the worker starts cold and has to warm up */
    public WorkerModel create(FleetPlan.PlannedWorker worker, boolean coldStart) {
        long seed = plan.seed() * SEEDS_PER_PLAN + created;
        created++;
        return new WorkerModel(
                new WorkerSettings(worker.id(), worker.kind(), seed, coldStart),
                new WorkerEnvironment(time, plan::modelOf, modelStore, idempotencyCacheOf(worker), observations));
    }

    private IdempotencyCache idempotencyCacheOf(FleetPlan.PlannedWorker worker) {
        String group =
                switch (worker.kind().idempotencyScope()) {
                    case ALL -> "";
                    case HALL -> worker.zone();
                    case CELL -> Long.toString(worker.cell());
                };
        return idempotencyCaches.computeIfAbsent(
                group, name -> new IdempotencyCache(time, worker.kind().idempotencyWindowNanos()));
    }

    /** Plans the replacement of a worker in a rolling deployment: an equal worker with a new id. */
    public FleetPlan.PlannedWorker successorOf(FleetPlan.PlannedWorker worker) {
        String id = worker.id().replaceFirst(SUCCESSOR_SUFFIX, "~" + created);
        return new FleetPlan.PlannedWorker(id, worker.kind(), worker.zone(), worker.cell());
    }
}
