package pearladder.connections;

/** What the owner of the sockets has to do with a connection. */
public sealed interface ConnectionAction {
    /**
     * Close this client connection.
     *
     * @param why reason in a few words, for the log
     */
    record CloseSeat(ClientConnectionState seat, String why) implements ConnectionAction {}

    /** Close this worker connection; no command is in flight on it. */
    record CloseLink(WorkerConnectionState link) implements ConnectionAction {}

    /** Send the command on this connection, which exists already. */
    record UseLink(WorkerConnectionState link) implements ConnectionAction {}

    /** Open this new connection and send the command on it. */
    record OpenLink(WorkerConnectionState link) implements ConnectionAction {}
}
