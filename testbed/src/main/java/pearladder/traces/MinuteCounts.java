package pearladder.traces;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Invocations by function and minute, held as sparse counts: a published day of some fifty thousand functions takes some
 * hundred megabytes at the most. Given out minute by minute; within a minute a function's calls are spread evenly, from a
 * phase of the function's own, so that functions of one count a minute don't all come at its start.
 */
final class MinuteCounts {
    private static final long MINUTE = 60_000_000_000L;

    private record Line(
            String model,
            String account,
            int[] minutes,
            int[] counts,
            double phase,
            long work,
            double memoryMb,
            long line) {}

    private final Map<String, Double> durations;
    private final Map<String, Double> memory;
    private final List<Line> lines = new ArrayList<>();
    private int last = -1;

    /** @param durations mean milliseconds by function; @param memory mean MB by app; either may be empty */
    MinuteCounts(Map<String, Double> durations, Map<String, Double> memory) {
        this.durations = durations;
        this.memory = memory;
    }

    void add(String owner, String app, String function, int[] counts, long line) {
        int used = 0;
        for (int count : counts) {
            used += count > 0 ? 1 : 0;
        }
        int[] minutes = new int[used];
        int[] some = new int[used];
        int at = 0;
        for (int minute = 0; minute < counts.length; minute++) {
            if (counts[minute] > 0) {
                minutes[at] = minute;
                some[at++] = counts[minute];
                last = Math.max(last, minute);
            }
        }
        lines.add(new Line(
                function,
                owner,
                minutes,
                some,
                Hashes.share(function),
                Math.round(durations.getOrDefault(function, 0.0) * 1e6),
                memory.getOrDefault(app, Double.NaN),
                line));
    }

    void give(Consumer<TraceCall> out) {
        int[] next = new int[lines.size()];
        List<TraceCall> calls = new ArrayList<>();
        for (int minute = 0; minute <= last; minute++) {
            calls.clear();
            for (int i = 0; i < next.length; i++) {
                Line line = lines.get(i);
                if (next[i] < line.minutes.length && line.minutes[next[i]] == minute) {
                    int count = line.counts[next[i]++];
                    for (int k = 0; k < count; k++) {
                        calls.add(new TraceCall(
                                minute * MINUTE + (long) (MINUTE * ((k + line.phase) / count)),
                                line.model,
                                line.work,
                                line.memoryMb,
                                "",
                                line.account,
                                line.line));
                    }
                }
            }
            calls.sort(Comparator.comparingLong(TraceCall::at));
            calls.forEach(out);
        }
    }
}
