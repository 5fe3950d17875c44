package pearladder.emulator;

/** Where a stand-in lives in time: what the time is, and what happens later. One thread calls all of it. */
public interface Timeline {
    /** Something that will happen; calling it off twice, or after it happened, does nothing. */
    interface Planned {
        void callOff();
    }

    /** Nanoseconds; of no particular start. */
    long now();

    /** Runs something at a time, or at once in a later turn where the time has passed. */
    Planned at(long nanos, Runnable what);

    /** Runs something after a span in nanoseconds. */
    default Planned after(long nanos, Runnable what) {
        return at(now() + Math.max(0, nanos), what);
    }
}
