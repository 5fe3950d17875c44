package pearladder.routing.api;

/** An action that the router has to execute; a list of actions is executed in its order. */
public sealed interface Action {
    /**
     * Send the request to the worker as its next attempt, which ends as timed out after the timeout. An attempt that is
     * not written before {@code sendBefore} ends unsent; null for no bound.
     */
    record SendAttempt(String requestId, String worker, TimeSpan timeout, MonotonicTime sendBefore) implements Action {
        /** Creates an attempt that may be written at any time before its timeout. */
        public SendAttempt(String requestId, String worker, TimeSpan timeout) {
            this(requestId, worker, timeout, null);
        }
    }

    /** Cancel an attempt in flight; its number counts from 0. */
    record CancelAttempt(String requestId, int attempt) implements Action {}

    /** Reject the request as its final answer; the client may retry after {@code retryAfter}, zero for not stated. */
    record Reject(String requestId, TimeSpan retryAfter) implements Action {}

    /** Fail the request as its final answer. */
    record Fail(String requestId) implements Action {}

    /** Set a timer that reports {@link Event.TimerFired} with the tag at the given time. */
    record SetTimer(MonotonicTime dueAt, String tag) implements Action {}

    /** Start a health check of a worker. */
    record CheckHealth(String worker) implements Action {}

    /** Close the idle connections to a worker. */
    record CloseIdleConnections(String worker) implements Action {}

    /**
     * Request that a worker have {@code instances} instances of a function loaded; {@code sendBefore} as for an
     * attempt.
     */
    record LoadInstances(String worker, String function, int instances, MonotonicTime sendBefore) implements Action {
        /** Creates a load request that may be written at any time. */
        public LoadInstances(String worker, String function, int instances) {
            this(worker, function, instances, null);
        }
    }

    /** Report the share of the requested load for which instances are loaded, at each tick during prewarming. */
    record PrewarmProgress(String function, double share) implements Action {}

    /** Request that a worker unload a function. */
    record UnloadInstances(String worker, String function) implements Action {}

    /** Start or stop watching the endpoint list. */
    record WatchEndpoints(boolean enabled) implements Action {}

    /** Read the endpoint list once. */
    record PollEndpoints() implements Action {}

    /** Send a text to another router, or to all other routers if the peer is null. */
    record SendGossip(Integer peer, String text) implements Action {}

    /** Write a text to the log. */
    record Log(String text) implements Action {}
}
