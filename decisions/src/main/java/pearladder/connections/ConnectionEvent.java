package pearladder.connections;

import java.util.Collection;

/** An event that concerns the connections of a router. */
public sealed interface ConnectionEvent {
    /** A client connection was accepted. */
    record ClientConnected(ClientConnectionState connection) implements ConnectionEvent {}

    /** A client connection was closed, by either side. */
    record ClientDisconnected(ClientConnectionState connection) implements ConnectionEvent {}

    /**
     * A command is to be sent to a worker.
     *
     * @param connections all connections to that worker, in their present state
     * @param avoided connections that must not be used, because an earlier attempt of the request was sent on them
     */
    record WorkerConnectionRequested(
            String worker, Collection<WorkerConnectionState> connections, Collection<WorkerConnectionState> avoided)
            implements ConnectionEvent {}

    /** A worker connection was closed or could not be opened. */
    record WorkerConnectionClosed(WorkerConnectionState connection) implements ConnectionEvent {}

    /** Periodic check of time limits; reported a few times a second. */
    record Tick() implements ConnectionEvent {}
}
