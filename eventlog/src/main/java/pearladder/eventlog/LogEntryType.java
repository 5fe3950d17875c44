package pearladder.eventlog;

/**
 * What an entry records. The number is part of the log's format and never changes; the code is its word for people
 * and in exports. A router may leave out a detail while its disk is slow.
 */
public enum LogEntryType {
    /** A router started; note: its name; amount: for how many milliseconds idle instances stay loaded. */
    STARTED(1, "started", false),
    /** It stopped in order. */
    STOPPED(2, "stopped", false),
    /**
     * A request ended; note: "settled" (succeeded), "dismissed" (rejected), "terminated" (failed) or "left" (the client
     * disconnected); micros: its duration.
     */
    ENDED(3, "ended", false),
    /**
     * An attempt ended; note: its outcome; micros: its duration; amount: the ordinal of
     * {@code pearladder.routing.api.Event.InstanceStatus}.
     */
    LEG(4, "leg", true),
    /**
     * For how long a worker executed a tenant's requests since the last such entry; amount: that; micros: the period.
     */
    WORK(5, "work", false),
    /** A load began; the tenant is whose request began it, empty for a load request; micros: duration of the load. */
    LOADING(6, "loading", false),
    /** It ended; note: empty, or why it failed. */
    LOADED(7, "loaded", false),
    /** So many instances are loaded, as the worker says; amount: instances. */
    COPIES(8, "copies", false),
    /** A load request is about to be sent; amount: instances. */
    ORDERED(9, "ordered", false),
    /** A worker's state was listed; note: the state; amount: its start, milliseconds since 1970, or 0. */
    ENGINE(10, "engine", false),
    /** Something was done about a rollout; the note says what. */
    RELEASE(11, "release", false),
    /** So many details were left out up to here; amount. */
    DROPPED(13, "dropped", false),
    /** An instance of a function has so many megabytes; amount. */
    MODEL(14, "model", false);

    final int number;
    private final String code;
    private final boolean detail;

    LogEntryType(int number, String code, boolean detail) {
        this.number = number;
        this.code = code;
        this.detail = detail;
    }

    /** The word for this type in exports and queries; stable across versions. */
    public String code() {
        return code;
    }

    /** Whether a router may leave it out while its disk is slow. */
    public boolean isDetail() {
        return detail;
    }

    /** The type of a number, or null where this version knows none. */
    static LogEntryType of(int number) {
        for (LogEntryType type : values()) {
            if (type.number == number) {
                return type;
            }
        }
        return null;
    }
}
