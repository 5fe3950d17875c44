package pearladder.traces;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Invocations by function and minute, held as sparse counts: a published day of some fifty thousand functions takes
 * some hundred megabytes at the most. Given minute by minute; within a minute the requests of a function are spread
 * evenly, from a phase of the function's own, so that functions of one count a minute don't all start with it.
 */
final class MinuteCounts {
    private static final long MINUTE_NANOS = TimeUnit.MINUTES.toNanos(1);
    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * The counts of one function.
     *
     * @param minutes the minutes in which it was invoked, in ascending order
     * @param counts invocations in each of these minutes, by the same index
     * @param phase of its requests within a minute, 0 to 1
     * @param work nanoseconds; 0 if unknown
     * @param line line number in the file
     */
    private record Function(
            String model,
            String tenant,
            int[] minutes,
            int[] counts,
            double phase,
            long work,
            double memoryMb,
            long line) {
        /** Returns the request with index {@code k} among the {@code count} requests of a minute. */
        TraceRequest request(int minute, int count, int k) {
            long at = minute * MINUTE_NANOS + (long) (MINUTE_NANOS * ((k + phase) / count));
            return new TraceRequest(at, model, work, memoryMb, "", tenant, line);
        }
    }

    private final Map<String, Double> durations;
    private final Map<String, Double> memory;
    private final List<Function> functions = new ArrayList<>();
    private int lastMinute = -1;

    /**
     * Creates an empty set of counts.
     *
     * @param durations mean milliseconds by function; may be empty
     * @param memory mean MB by app; may be empty
     */
    MinuteCounts(Map<String, Double> durations, Map<String, Double> memory) {
        this.durations = durations;
        this.memory = memory;
    }

    /**
     * Adds a row.
     *
     * @param counts invocations by minute of the day
     * @param line line number in the file
     */
    void add(String owner, String app, String function, int[] counts, long line) {
        int[] minutes = IntStream.range(0, counts.length)
                .filter(minute -> counts[minute] > 0)
                .toArray();
        if (minutes.length > 0) {
            lastMinute = Math.max(lastMinute, minutes[minutes.length - 1]);
        }
        functions.add(new Function(
                function,
                owner,
                minutes,
                IntStream.of(minutes).map(minute -> counts[minute]).toArray(),
                Hashes.unitInterval(function),
                Math.round(durations.getOrDefault(function, 0.0) * NANOS_PER_MILLI),
                memory.getOrDefault(app, Double.NaN),
                line));
    }

    /** Passes on all requests in order of arrival time. */
    void emitInOrder(Consumer<TraceRequest> out) {
        int[] next = new int[functions.size()];
        List<TraceRequest> requests = new ArrayList<>();
        for (int minute = 0; minute <= lastMinute; minute++) {
            requests.clear();
            for (int i = 0; i < next.length; i++) {
                Function function = functions.get(i);
                if (next[i] < function.minutes().length && function.minutes()[next[i]] == minute) {
                    int count = function.counts()[next[i]++];
                    for (int k = 0; k < count; k++) {
                        requests.add(function.request(minute, count, k));
                    }
                }
            }
            requests.sort(Comparator.comparingLong(TraceRequest::at));
            requests.forEach(out);
        }
    }
}
