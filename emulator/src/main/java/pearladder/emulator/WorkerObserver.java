package pearladder.emulator;

import java.util.function.Consumer;

/** Records the observations at a worker. */
final class WorkerObserver {
    private final Timeline time;
    private final String workerId;
    private final Consumer<Observation> observations;

    WorkerObserver(Timeline time, String workerId, Consumer<Observation> observations) {
        this.time = time;
        this.workerId = workerId;
        this.observations = observations;
    }

    /** @param event one of the constants of {@link Observation} */
    void attempt(String event, WorkerRequest request, String note) {
        observations.accept(Observation.ofAttempt(time.now(), event, request, workerId, note));
    }

    void loadRequested(String router, String model, int instances) {
        record(Observation.LOAD_REQUESTED, router, model, "", instances);
    }

    /** @param failure reason of the failure; empty if the load succeeded */
    void loadEnded(String model, String failure, double fetchShare) {
        record(Observation.LOAD_ENDED, "", model, failure, fetchShare);
    }

    void unloaded(long instances) {
        if (instances > 0) {
            record(Observation.UNLOADED, "", "", "", instances);
        }
    }

    void crashedFromOverload(double multipleOfCapacity) {
        record(Observation.CRASHED_FROM_OVERLOAD, "", "", "", multipleOfCapacity);
    }

    private void record(String event, String router, String model, String note, double value) {
        observations.accept(new Observation(time.now(), event, router, "", 0, workerId, model, note, value));
    }
}
