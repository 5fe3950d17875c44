package pearladder.routing.api;

/** What is to be done, in the order given. */
public sealed interface Action {
    record SendAttempt(String requestId, String worker, TimeSpan timeout) implements Action {}

    record CancelAttempt(String requestId, int attempt) implements Action {}

    record Reject(String requestId, TimeSpan retryAfter) implements Action {}

    record Fail(String requestId) implements Action {}

    record SetTimer(MonotonicTime dueAt, String tag) implements Action {}

    record CheckHealth(String worker) implements Action {}

    record CloseIdleConnections(String worker) implements Action {}

    record LoadInstances(String worker, String function, int instances) implements Action {}

    /** For what share of the load that was wanted ahead copies stand; told at each beat while it is wanted. */
    record PrewarmProgress(String function, double share) implements Action {}

    record UnloadInstances(String worker, String function) implements Action {}

    record WatchEndpoints(boolean enabled) implements Action {}

    record PollEndpoints() implements Action {}

    record SendGossip(Integer peer, String text) implements Action {}

    record Log(String text) implements Action {}
}
