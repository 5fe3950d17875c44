package pearladder.sockets;

/** What is to be done with a connection. */
public sealed interface SocketAction {
    /** @param why a few words for the log */
    record CloseSeat(Seat seat, String why) implements SocketAction {}

    record CloseLink(Link link) implements SocketAction {}

    /** Send on this one. */
    record UseLink(Link link) implements SocketAction {}

    /** Open this new one and send on it. */
    record OpenLink(Link link) implements SocketAction {}
}
