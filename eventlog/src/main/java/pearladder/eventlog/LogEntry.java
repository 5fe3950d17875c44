package pearladder.eventlog;

/**
 * One thing that a router did or learnt. Texts are empty and numbers 0 where they don't apply.
 *
 * @param at wall clock, milliseconds since 1970; it may step back, the order is that of writing
 * @param amount by the kind
 * @param took microseconds
 */
public record LogEntry(
        long at,
        LogEntryType kind,
        String call,
        String model,
        String account,
        String engine,
        String note,
        long amount,
        long took) {
    /** Without a call. */
    public static LogEntry of(
            long at,
            LogEntryType kind,
            String model,
            String account,
            String engine,
            String note,
            long amount,
            long took) {
        return new LogEntry(at, kind, "", model, account, engine, note, amount, took);
    }
}
