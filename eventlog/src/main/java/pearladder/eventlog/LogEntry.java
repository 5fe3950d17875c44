package pearladder.eventlog;

/**
 * One thing that a router did or was told. Texts are empty and numbers 0 where they do not apply.
 *
 * @param at wall clock, milliseconds since 1970; it may step back, the order is that of writing
 * @param kind what is recorded; says what note, amount and took mean
 * @param call the request's id
 * @param model the function: a model, and its version where it has one
 * @param account the tenant
 * @param engine the worker
 * @param note a word by the kind
 * @param amount a number by the kind
 * @param took microseconds
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
