package pearladder.eventlog;

/**
 * One thing that a router did or was told. Texts are empty and numbers 0 where they do not apply.
 *
 * @param at wall clock, milliseconds since 1970; it may step back, the order is that of writing
 * @param type what is recorded; says what note, amount and micros mean
 * @param requestId the request's id
 * @param function a model, and its version where it has one
 * @param tenant the tenant
 * @param worker the worker
 * @param note a word by the type
 * @param amount a number by the type
 * @param micros a duration by the type, microseconds
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
    /** An entry that is not about a request. */
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
