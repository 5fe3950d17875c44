package pearladder.cli.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Measures scheduling delays of the test process. They delay its observations of routers equally, so each time bound is
 * extended by the delay measured within it.
 */
final class MachineLateness {
    private static final long TICK_MILLIS = 2;
    private static final long MIN_RECORDED_DELAY_MILLIS = 5;

    private record Delay(long from, long until) {}

    private final List<Delay> delays = new ArrayList<>();
    private long longestMillis;

    void start() {
        Background.run(() -> {
            while (true) {
                long before = System.nanoTime();
                Thread.sleep(TICK_MILLIS);
                recordDelay(before, System.nanoTime());
            }
        });
    }

    private synchronized void recordDelay(long before, long now) {
        long millis = TimeUnit.NANOSECONDS.toMillis(now - before) - TICK_MILLIS;
        if (millis > MIN_RECORDED_DELAY_MILLIS) {
            delays.add(new Delay(before, now));
            longestMillis = Math.max(longestMillis, millis);
        }
    }

    /** Returns the total scheduling delay of this process between two times, in milliseconds. */
    synchronized long millis(long from, long until) {
        long nanos = 0;
        for (Delay delay : delays) {
            nanos += Math.max(0, Math.min(until, delay.until) - Math.max(from, delay.from));
        }
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    synchronized long longestMillis() {
        return longestMillis;
    }
}
