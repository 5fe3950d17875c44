package pearladder.connections;

import pearladder.routing.api.MonotonicTime;

/** A client's connection, as what passes on it shows it. */
public final class ClientConnectionState {
    public final MonotonicTime came;
    /** When a whole message last came or an answer last went out; null before the first. */
    public MonotonicTime spoke;
    /** Since when a message has been coming that is not whole; null where none is. */
    public MonotonicTime partSince;
    /** Since when the client has not read what it was sent; null where it reads. */
    public MonotonicTime stuckSince;
    /** Messages that could not be used. */
    public int unusable;

    public int callsOpen;

    public ClientConnectionState(MonotonicTime came) {
        this.came = came;
    }
}
