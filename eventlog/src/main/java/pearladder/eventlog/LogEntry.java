package pearladder.eventlog;

/**
 * An event of a router. Strings are empty and numbers 0 where they do not apply.
 *
 * @param at wall-clock time in milliseconds since 1970; may decrease, as entries are in the order of writing
 * @param type type of the event; defines the meaning of note, amount and micros
 * @param requestId id of the request
 * @param function name of the model, with its version if it has one
 * @param tenant name of the tenant
 * @param worker name of the worker
 * @param note a string whose meaning depends on the type
 * @param amount a number whose meaning depends on the type
 * @param micros a duration in microseconds whose meaning depends on the type
 */
public record LogEntry(
        long at,
        LogEntryType type,
        String requestId,
        String function,
        String tenant,
        String worker,
        String note,
        long amount,
        long micros) {
    /** Creates an entry that does not belong to a request. */
    public static LogEntry of(
            long at,
            LogEntryType type,
            String function,
            String tenant,
            String worker,
            String note,
            long amount,
            long micros) {
        return new LogEntry(at, type, "", function, tenant, worker, note, amount, micros);
    }
}
