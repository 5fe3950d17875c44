package pearladder.connections;

/** What is to be done with a connection. */
public sealed interface ConnectionAction {
    /** @param why a few words for the log */
    record CloseSeat(ClientConnectionState seat, String why) implements ConnectionAction {}

    record CloseLink(WorkerConnectionState link) implements ConnectionAction {}

    /** Send on this one. */
    record UseLink(WorkerConnectionState link) implements ConnectionAction {}

    /** Open this new one and send on it. */
    record OpenLink(WorkerConnectionState link) implements ConnectionAction {}
}
