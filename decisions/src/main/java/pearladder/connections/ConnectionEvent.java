package pearladder.connections;

import java.util.Collection;

/** What happened to the sockets. */
public sealed interface ConnectionEvent {
    record SeatTaken(ClientConnectionState seat) implements ConnectionEvent {}

    record SeatLeft(ClientConnectionState seat) implements ConnectionEvent {}

    /** Something is to be sent to a worker, but not on those avoided; its links are told as they stand. */
    record LinkWanted(String worker, Collection<WorkerConnectionState> links, Collection<WorkerConnectionState> avoided)
            implements ConnectionEvent {}

    record LinkGone(WorkerConnectionState link) implements ConnectionEvent {}

    /** Told a few times a second. */
    record Beat() implements ConnectionEvent {}
}
