package pearladder.router.core;

import pearladder.routing.api.Outcome;

/** Counts what a router does. */
public interface RouterMetrics {
    /** A request was answered, so many nanoseconds after it was received. */
    void onResponse(CompletionStatus status, long nanos);

    /** An attempt ended. */
    void onAttemptEnded(Outcome outcome);

    /** A further attempt of a request was started, since the one before ended so. */
    default void onRetry(Outcome previous) {
        // counted by those that can
    }

    /** The routing policy took so many nanoseconds to handle one event. */
    void onDecision(long nanos);

    /** The routing policy logged a change of mode, with its figures. */
    void onModeChange(String text);

    /** A client disconnected before its request was answered. */
    void onClientDisconnected();

    /** A worker was asked to load instances. */
    void onLoadRequest();
}
