package pearladder.router.core;

import pearladder.routing.api.Outcome;

/** Receives the measurements of a router. */
public interface RouterMetrics {
    /** Called when a request was answered {@code nanos} nanoseconds after it was received. */
    void onResponse(CompletionStatus status, long nanos);

    /** Called when an attempt ended. */
    void onAttemptEnded(Outcome outcome);

    /** Called when a further attempt of a request is started after the previous one ended with an outcome. */
    default void onRetry(Outcome previous) {
        // optional
    }

    /** Called when the routing policy has handled one event in {@code nanos} nanoseconds. */
    void onDecision(long nanos);

    /** Called for each line that the routing policy logs, such as a change of mode with its figures. */
    void onModeChange(String text);

    /** Called when a client disconnected before its request was answered. */
    void onClientDisconnected();

    /** Called when a load request is sent to a worker. */
    void onLoadRequest();
}
