package pearladder.simulation;

import java.util.function.Consumer;
import pearladder.router.core.ActiveAttempt;
import pearladder.router.core.ActiveRequest;
import pearladder.router.core.EventListener;
import pearladder.router.core.WorkerResponse;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/**
 * In-memory replacement of a router's event log on disk. Records only load requests, the only events that the
 * router's next incarnation reads back.
 */
final class LoadRequestRecorder implements EventListener {
    /** Time until an event is durable, similar to real files. */
    private static final long WRITE_LATENCY_NANOS = 25_000_000L;

    private final SimulatedRouter router;
    private final SimulatedHost host;

    LoadRequestRecorder(SimulatedRouter router, SimulatedHost host) {
        this.router = router;
        this.host = host;
    }

    @Override
    public void onRequestEnded(ActiveRequest request, String outcome, TimeSpan took) {
        // Recorded as an observation.
    }

    @Override
    public void onAttemptEnded(ActiveAttempt attempt, Outcome outcome, WorkerResponse response, TimeSpan took) {
        // Recorded as an observation.
    }

    @Override
    public void beforeLoadRequest(String worker, String function, int instances, Consumer<String> onDurable) {
        router.after(WRITE_LATENCY_NANOS, () -> {
            host.recordLoadRequest();
            onDurable.accept("");
        });
    }

    @Override
    public void onLoadRequestEnded(String worker, String function, Outcome outcome, int instances, TimeSpan took) {
        // Recorded as an observation.
    }
}
