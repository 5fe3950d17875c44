package pearladder.eventlog;

/** What an entry tells. The code stands in files and never changes; a detail may be left out where the disk is slow. */
public enum LogEntryType {
    /** A router's life began; note: its name; amount: for how many milliseconds idle copies are kept. */
    STARTED(1, false),
    /** It ended in order. */
    STOPPED(2, false),
    /** A call ended; note: settled, dismissed, terminated or left; took: microseconds. */
    ENDED(3, false),
    /** A leg ended; note: its outcome; took: microseconds; amount: 1 where it began a load, 2 where it joined one. */
    LEG(4, true),
    /** What an account's calls worked on an engine since the last such cut; amount: microseconds; took: the cut's span. */
    WORK(5, false),
    /** A load was begun; the account is whose call began it, empty for an order; took: the load, microseconds. */
    LOADING(6, false),
    /** It ended; note: empty, or why it failed. */
    LOADED(7, false),
    /** So many copies stand, as the engine said; amount: copies. */
    COPIES(8, false),
    /** An order to hold copies goes out; amount: copies. */
    ORDERED(9, false),
    /** The list tells of an engine; note: its standing; amount: its start, milliseconds of the wall clock, or 0. */
    ENGINE(10, false),
    /** What is done about a release; the note says it. */
    RELEASE(11, false),
    /** So many details were left out up to here; amount. */
    DROPPED(13, false),
    /** A model's copies hold so many megabytes each; amount. */
    MODEL(14, false);

    final int code;
    private final boolean detail;

    LogEntryType(int code, boolean detail) {
        this.code = code;
        this.detail = detail;
    }

    /** Whether a router may leave it out when its disk can't follow. */
    public boolean detail() {
        return detail;
    }

    static LogEntryType of(int code) {
        for (LogEntryType kind : values()) {
            if (kind.code == code) {
                return kind;
            }
        }
        return null;
    }
}
