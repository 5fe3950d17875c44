package pearladder.emulator;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Creates the workers of a fleet, which share a model store and, by group, the idempotency keys that they have
 * seen.
 */
public final class WorkerFactory {
    /** Seeds of different plans' workers differ by a multiple of this. */
    private static final long SEEDS_PER_PLAN = 1000;

    private static final String SUCCESSOR_SUFFIX = "(~[0-9]+)?$";

    private final Timeline time;
    private final FleetPlan plan;
    private final ModelStore modelStore;
    private final Consumer<Observation> observations;
    private final Map<String, IdempotencyCache> idempotencyCaches = new LinkedHashMap<>();
    private int created;

    /** @param observations receives all that is observed at the workers */
    public WorkerFactory(Timeline time, FleetPlan plan, ModelStore modelStore, Consumer<Observation> observations) {
        this.time = time;
        this.plan = plan;
        this.modelStore = modelStore;
        this.observations = observations;
    }

    /** @param coldStart whether the worker has just started and is still to warm up */
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

    /** The worker that takes another's place in a rolling deployment: the same but for its id, which is new. */
    public FleetPlan.PlannedWorker successorOf(FleetPlan.PlannedWorker worker) {
        String id = worker.id().replaceFirst(SUCCESSOR_SUFFIX, "~" + created);
        return new FleetPlan.PlannedWorker(id, worker.kind(), worker.zone(), worker.cell());
    }
}
