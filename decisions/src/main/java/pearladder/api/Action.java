package pearladder.api;

/** What is to be done, in the order given. */
public sealed interface Action {
    record Send(String call, String worker, Span limit) implements Action {}

    record Cancel(String call, int leg) implements Action {}

    record Dismiss(String call, Span retryAfter) implements Action {}

    record Terminate(String call) implements Action {}

    record Wake(Moment at, String tag) implements Action {}

    record Probe(String worker) implements Action {}

    record CloseIdle(String worker) implements Action {}

    record Hold(String worker, String function, int copies) implements Action {}

    /** For what share of the load that was wanted ahead copies stand; told at each beat while it is wanted. */
    record Standing(String function, double share) implements Action {}

    record Unload(String worker, String function) implements Action {}

    record Subscribe(boolean on) implements Action {}

    record FetchList() implements Action {}

    record Tell(Integer peer, String text) implements Action {}

    record Log(String text) implements Action {}
}
