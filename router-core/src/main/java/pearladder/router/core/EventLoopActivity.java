package pearladder.router.core;

import java.util.Arrays;
import java.util.Locale;
import java.util.StringJoiner;

/**
 * Sums up the time that an event loop spends on each activity, so that the log can explain a stall. The time of a
 * nested activity is not added to the enclosing one. Confined to the event loop.
 */
public final class EventLoopActivity {
    /** The activities of an event loop. */
    public enum Activity {
        CLIENT_CONNECTIONS,
        CLIENT_INPUT,
        WORKER_CONNECTIONS,
        WORKER_INPUT,
        DISCOVERY,
        TIMERS,
        POLICY,
        SOCKET_WRITES,
        /** Everything else: network library, garbage collector, JIT compiler, waiting for a processor, idle time. */
        OTHER;

        private final String label = name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long[] nanos = new long[Activity.values().length];
    private final int[] counts = new int[Activity.values().length];
    private Activity current = Activity.OTHER;
    private long chargedUntilNanos = System.nanoTime();

    /** Runs a task and adds its time to an activity. */
    public void run(Activity activity, Runnable task) {
        Activity outer = current;
        switchTo(activity);
        counts[activity.ordinal()]++;
        try {
            task.run();
        } finally {
            switchTo(outer);
        }
    }

    /** Moves {@code partNanos} nanoseconds from the current activity to another one. */
    public void reassign(Activity activity, long partNanos) {
        nanos[current.ordinal()] -= partNanos;
        nanos[activity.ordinal()] += partNanos;
        counts[activity.ordinal()]++;
    }

    private void switchTo(Activity next) {
        long now = System.nanoTime();
        nanos[current.ordinal()] += now - chargedUntilNanos;
        chargedUntilNanos = now;
        current = next;
    }

    /** Resets all sums and counts to zero. */
    public void reset() {
        Arrays.fill(nanos, 0);
        Arrays.fill(counts, 0);
        chargedUntilNanos = System.nanoTime();
    }

    /** Returns the sums since the last {@link #reset} in milliseconds with run counts; omits those below 1 ms. */
    public String summary() {
        switchTo(current);
        StringJoiner summary = new StringJoiner(", ");
        for (Activity activity : Activity.values()) {
            long millis = nanos[activity.ordinal()] / NANOS_PER_MILLI;
            if (millis > 0) {
                summary.add(activity.label + " " + millis + " ms (" + counts[activity.ordinal()] + ")");
            }
        }
        return summary.toString();
    }
}
