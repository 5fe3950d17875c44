package pearladder.simulation;

import java.util.function.Consumer;
import pearladder.router.core.ActiveAttempt;
import pearladder.router.core.ActiveRequest;
import pearladder.router.core.EventListener;
import pearladder.router.core.WorkerResponse;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/**
 * Stands for a router's event log on disk. Of all events it keeps the load requests only, which are all that the
 * router's next incarnation asks for.
 */
final class LoadRequestRecorder implements EventListener {
    /** After so long an event is safe on disk, as with real files. */
    private static final long DURABLE_AFTER_NANOS = 25_000_000L;

    private final SimulatedRouter router;
    private final SimulatedHost host;

    LoadRequestRecorder(SimulatedRouter router, SimulatedHost host) {
        this.router = router;
        this.host = host;
    }

    @Override
    public void onRequestEnded(ActiveRequest request, String outcome, TimeSpan took) {
        // The observations have it.
    }

    @Override
    public void onAttemptEnded(ActiveAttempt attempt, Outcome outcome, WorkerResponse response, TimeSpan took) {
        // The observations have it.
    }

    @Override
    public void beforeLoadRequest(String worker, String function, int instances, Consumer<String> onDurable) {
        router.after(DURABLE_AFTER_NANOS, () -> {
            host.recordLoadRequest();
            onDurable.accept("");
        });
    }

    @Override
    public void onLoadRequestEnded(String worker, String function, Outcome outcome, int instances, TimeSpan took) {
        // The observations have it.
    }
}
