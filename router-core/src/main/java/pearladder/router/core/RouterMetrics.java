package pearladder.router.core;

import pearladder.routing.api.Outcome;

/** Counts of what a router does. */
public interface RouterMetrics {
    /** A final answer, so long after the call was taken. */
    void onResponse(CompletionStatus state, long nanos);

    void onAttemptEnded(Outcome outcome);

    /** One decision of the module took so long. */
    void onDecision(long nanos);

    /** A module told of a change of mode, with its figures. */
    void onModeChange(String text);

    void onClientDisconnected();

    void onLoadRequest();
}
