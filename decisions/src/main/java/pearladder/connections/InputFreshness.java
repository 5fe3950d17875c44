package pearladder.connections;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Tracks up to which time everything that a client sent was read. A client whose input is read with a delay may have
 * withdrawn a request, or have left, without the router knowing it yet: such a request must not be sent to a worker.
 *
 * <p>A read that fills its buffer leaves the rest in the operating system. A shorter one has read all bytes, but not
 * yet the end of the connection, which only the next read or a look that finds nothing can rule out.
 */
public final class InputFreshness {
    /** Half of the time for which an attempt may still be started after its client has withdrawn the request. */
    private static final TimeSpan MAX_AGE = TimeSpan.millis(50);

    /** Everything that was sent until then was read. */
    private MonotonicTime caughtUpAt;
    /** Whether that is known; false while all input, and its end, may have arrived before the accept. */
    private boolean caughtUpOnce = true;
    /** Whether the connection is read in every turn of the event loop, with nothing left over by the last read. */
    private boolean current = true;

    private MonotonicTime lastReadAt;
    private boolean lastReadComplete = true;

    /** Creates the state of a connection that was accepted just now. */
    public InputFreshness(MonotonicTime acceptedAt) {
        this.caughtUpAt = acceptedAt;
        this.lastReadAt = acceptedAt;
    }

    /**
     * Called for a connection that may have waited for its accept: its client may have sent everything, and have left,
     * long before.
     */
    public void onAcceptedLate() {
        caughtUpOnce = false;
        current = false;
        lastReadComplete = false;
    }

    /**
     * Called after a read.
     *
     * @param complete whether the read left no bytes behind
     */
    public void onRead(MonotonicTime now, boolean complete) {
        if (current) {
            caughtUpAt = now;
        } else if (lastReadComplete) {
            caughtUpAt = lastReadAt;
            caughtUpOnce = true;
        }
        lastReadAt = now;
        lastReadComplete = complete;
        current = current && complete;
    }

    /** Called when reading stops for a while. */
    public void onPaused() {
        current = false;
    }

    /** Called when the event loop has looked for input of the connection and found none. */
    public void onNothingToRead(MonotonicTime now) {
        caughtUpAt = now;
        caughtUpOnce = true;
        current = true;
    }

    /** Returns whether the connection is read in every turn of the event loop, with nothing left over. */
    public boolean isCurrent() {
        return current;
    }

    /** Returns for how long input that is read now may have waited in the operating system; zero if it is current. */
    public TimeSpan maxAge(MonotonicTime now) {
        return current ? TimeSpan.ZERO : now.since(caughtUpAt);
    }

    /** Returns whether an attempt for the client may start by what was read of its input. */
    public boolean mayStartAttempt(MonotonicTime now) {
        return current || caughtUpOnce && lastReadComplete && !maxAge(now).isLongerThan(MAX_AGE);
    }
}
