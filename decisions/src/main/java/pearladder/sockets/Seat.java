package pearladder.sockets;

import pearladder.api.Moment;

/** A client's connection, as what passes on it shows it. */
public final class Seat {
    public final Moment came;
    /** When a whole message last came or an answer last went out; null before the first. */
    public Moment spoke;
    /** Since when a message has been coming that is not whole; null where none is. */
    public Moment partSince;
    /** Since when the client has not read what it was sent; null where it reads. */
    public Moment stuckSince;
    /** Messages that could not be used. */
    public int unusable;

    public int callsOpen;

    public Seat(Moment came) {
        this.came = came;
    }
}
