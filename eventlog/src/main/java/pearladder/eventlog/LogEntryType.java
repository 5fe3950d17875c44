package pearladder.eventlog;

/**
 * The type of an entry. The number is part of the log's format and never changes; the code is the type's name in output
 * and exports. A router may drop detail entries while its disk is slow.
 */
public enum LogEntryType {
    /** A router started; note: its name; amount: the idle timeout of instances in milliseconds. */
    STARTED(1, "started", false),
    /** A router shut down in an orderly way. */
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
     * A worker executed a tenant's requests; amount: the time spent on them since the last such entry, in
     * microseconds; micros: the period.
     */
    WORK(5, "work", false),
    /** A load started; tenant: whose request caused it, empty for a load request; micros: duration of the load. */
    LOADING(6, "loading", false),
    /** A load ended; note: empty, or the reason of its failure. */
    LOADED(7, "loaded", false),
    /** A worker reported its loaded instances; amount: number of instances. */
    COPIES(8, "copies", false),
    /** A load request is about to be sent; amount: number of instances. */
    ORDERED(9, "ordered", false),
    /** The endpoint list has a worker's state; note: the state; amount: its start in milliseconds since 1970, or 0. */
    ENGINE(10, "engine", false),
    /** A rollout changed; note: the change. */
    RELEASE(11, "release", false),
    /** Detail entries were dropped before this entry; amount: their number. */
    DROPPED(13, "dropped", false),
    /** The memory of an instance of a function; amount: megabytes. */
    MODEL(14, "model", false);

    final int number;
    private final String code;
    private final boolean detail;

    LogEntryType(int number, String code, boolean detail) {
        this.number = number;
        this.code = code;
        this.detail = detail;
    }

    /** Returns the name of this type in exports and queries; stable across versions. */
    public String code() {
        return code;
    }

    /** Returns whether a router may drop entries of this type while its disk is slow. */
    public boolean isDetail() {
        return detail;
    }

    /** Returns the type with a number, or null if this version has none. */
    static LogEntryType of(int number) {
        for (LogEntryType type : values()) {
            if (type.number == number) {
                return type;
            }
        }
        return null;
    }
}
