package pearladder.emulator;

import java.util.ArrayList;
import java.util.List;

/** Creates workers with two cores and 1000 MB that share a model store and idempotency keys and serve models "m*". */
final class WorkerModelFixture {
    private static final long MS = 1_000_000;
    private static final ModelKind MODEL = new ModelKind("m*", 400, 2, 600 * MS, 200 * MS, 20 * MS, 0, 1);

    final List<Observation> observations = new ArrayList<>();
    final ModelStore modelStore;
    private final VirtualTimeline time;
    private final IdempotencyCache idempotencyCache;

    WorkerModelFixture(VirtualTimeline time) {
        this.time = time;
        this.idempotencyCache = new IdempotencyCache(time, 8000 * MS);
        this.modelStore = new ModelStore(time, 2, 4);
    }

    private static WorkerKind kind(int queueLimit, boolean stopsOnCancel, boolean cachesImages) {
        return new WorkerKind(
                "std",
                2,
                1,
                1000,
                2,
                queueLimit,
                5000 * MS,
                true,
                cachesImages,
                stopsOnCancel,
                8000 * MS,
                WorkerKind.IdempotencyScope.ALL,
                0.25,
                10_000 * MS,
                2,
                1000 * MS,
                100 * MS);
    }

    WorkerModel worker(int queueLimit, boolean stopsOnCancel, boolean cachesImages) {
        return worker(kind(queueLimit, stopsOnCancel, cachesImages), false);
    }

    WorkerModel coldWorker(int queueLimit) {
        return worker(kind(queueLimit, true, false), true);
    }

    private WorkerModel worker(WorkerKind kind, boolean coldStart) {
        return new WorkerModel(
                new WorkerSettings("e", kind, 1, coldStart),
                new WorkerEnvironment(
                        time,
                        name -> MODEL.matches(name) ? MODEL : null,
                        modelStore,
                        idempotencyCache,
                        observations::add));
    }

    /** Creates a request with 20 ms of work. */
    static WorkerRequest request(String id, String model, String idempotencyKey) {
        return new WorkerRequest("r", id, 0, model, idempotencyKey, 20 * MS);
    }
}
