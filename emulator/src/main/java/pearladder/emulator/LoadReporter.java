package pearladder.emulator;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.function.DoubleFunction;
import pearladder.kserve.LoadReport;

/** A worker's load reports: measured seldom, with a little noise, and delayed on demand. */
final class LoadReporter {
    private static final double NOISE_LOWEST = 0.95;
    private static final double NOISE_RANGE = 0.1;

    private record TimedReport(long at, LoadReport report) {}

    private final Timeline time;
    private final long intervalNanos;
    private final SplittableRandom random;
    private final DoubleFunction<LoadReport> measure;
    private final ArrayDeque<TimedReport> history = new ArrayDeque<>();
    private LoadReport current;
    private long measuredAt;
    private long delayNanos;

    /** @param measure measures the load, its counts multiplied by the noise factor given */
    LoadReporter(Timeline time, long intervalNanos, SplittableRandom random, DoubleFunction<LoadReport> measure) {
        this.time = time;
        this.intervalNanos = intervalNanos;
        this.random = random;
        this.measure = measure;
    }

    /** Reports from now on say what was so long ago. */
    void setDelay(long nanos) {
        delayNanos = nanos;
    }

    /** Forgets all reports, as the process has restarted. */
    void reset() {
        current = null;
        history.clear();
    }

    LoadReport report() {
        if (current == null || time.now() - measuredAt >= intervalNanos) {
            measuredAt = time.now();
            double noise = NOISE_LOWEST + NOISE_RANGE * random.nextDouble();
            current = measure.apply(noise);
            history.add(new TimedReport(time.now(), current));
        }
        LoadReport reported = delayNanos > 0 ? delayedReport() : current;
        while (history.size() > 1 && history.peek().at() < time.now() - delayNanos - intervalNanos) {
            history.poll();
        }
        return reported;
    }

    /** The newest report that is old enough, otherwise the oldest that is kept. */
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
