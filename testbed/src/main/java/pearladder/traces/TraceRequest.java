package pearladder.traces;

/**
 * One row of a trace as a request.
 *
 * @param at nanoseconds since the start of the trace's own clock; may be negative where the layout says so
 * @param model whose name is a hash or an id in the public traces
 * @param work on a standard core, in nanoseconds; 0 where the layout states none
 * @param memoryMb of the model; NaN where the layout states none
 * @param requestClass the request class; empty where the layout states none
 * @param tenant the tenant; empty where the layout states none
 * @param line of the file that it came from
 */
public record TraceRequest(
        long at, String model, long work, double memoryMb, String requestClass, String tenant, long line) {}
