package pearladder.sockets;

import java.util.Collection;

/** What happened to the sockets. */
public sealed interface SocketEvent {
    record SeatTaken(Seat seat) implements SocketEvent {}

    record SeatLeft(Seat seat) implements SocketEvent {}

    /** Something is to be sent to a worker, but not on those avoided; its links are told as they stand. */
    record LinkWanted(String worker, Collection<Link> links, Collection<Link> avoided) implements SocketEvent {}

    record LinkGone(Link link) implements SocketEvent {}

    /** Told a few times a second. */
    record Beat() implements SocketEvent {}
}
