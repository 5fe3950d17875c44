package pearladder.connections;

/** An action that the owner of the sockets has to execute on a connection. */
public sealed interface ConnectionAction {
    /**
     * Close this client connection.
     *
     * @param reason short reason for the log
     */
    record CloseClientConnection(ClientConnectionState connection, String reason) implements ConnectionAction {}

    /** Close this worker connection; no command is in flight on it. */
    record CloseWorkerConnection(WorkerConnectionState connection) implements ConnectionAction {}

    /** Send the command on this connection, which exists already. */
    record UseWorkerConnection(WorkerConnectionState connection) implements ConnectionAction {}

    /** Open this new connection and send the command on it. */
    record OpenWorkerConnection(WorkerConnectionState connection) implements ConnectionAction {}
}
