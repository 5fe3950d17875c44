package pearladder.emulator;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.function.DoubleFunction;
import pearladder.kserve.LoadReport;

/** Measures a worker's load reports at intervals, with noise, and delays them if a fault asks for it. */
final class LoadReporter {
    private static final double MIN_NOISE_FACTOR = 0.95;
    private static final double NOISE_FACTOR_RANGE = 0.1;

    private record TimedReport(long at, LoadReport report) {}

    private final Timeline time;
    private final long intervalNanos;
    private final SplittableRandom random;
    private final DoubleFunction<LoadReport> measure;
    private final ArrayDeque<TimedReport> history = new ArrayDeque<>();
    private LoadReport current;
    private long measuredAt;
    private long delayNanos;

    /** @param measure measures the load, with its request counts multiplied by the given noise factor */
    LoadReporter(Timeline time, long intervalNanos, SplittableRandom random, DoubleFunction<LoadReport> measure) {
        this.time = time;
        this.intervalNanos = intervalNanos;
        this.random = random;
        this.measure = measure;
    }

    /** Sets the age in nanoseconds of the reports that are returned. */
    void setDelay(long nanos) {
        delayNanos = nanos;
    }

    /** Clears all reports after a restart of the process. */
    void reset() {
        current = null;
        history.clear();
    }

    LoadReport report() {
        if (current == null || time.now() - measuredAt >= intervalNanos) {
            measuredAt = time.now();
            double noise = MIN_NOISE_FACTOR + NOISE_FACTOR_RANGE * random.nextDouble();
            current = measure.apply(noise);
            history.add(new TimedReport(time.now(), current));
        }
        LoadReport reported = delayNanos > 0 ? delayedReport() : current;
        while (history.size() > 1 && history.peek().at() < time.now() - delayNanos - intervalNanos) {
            history.poll();
        }
        return reported;
    }

    /** Returns the newest report that is at least as old as the delay, otherwise the oldest kept. */
    private LoadReport delayedReport() {
        LoadReport reported = null;
        for (TimedReport past : history) {
            if (reported == null || past.at() <= time.now() - delayNanos) {
                reported = past.report();
            }
        }
        return reported;
    }
}
