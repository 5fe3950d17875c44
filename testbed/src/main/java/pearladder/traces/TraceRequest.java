package pearladder.traces;

/**
 * One row of a trace as a request.
 *
 * @param at nanoseconds since the start of the trace's own clock; may be negative where the layout says so
 * @param model whose name is a hash or an id in the public traces
 * @param work on a standard core, in nanoseconds; 0 where the layout tells none
 * @param memoryMb of the model; NaN where the layout tells none
 * @param category the request class; empty where the layout tells none
 * @param account the tenant; empty where the layout tells none
 * @param line of the file that it came from
 */
public record TraceRequest(
        long at, String model, long work, double memoryMb, String category, String account, long line) {}
