package pearladder.router.core;

import java.util.Arrays;
import java.util.Locale;
import java.util.StringJoiner;

/**
 * Adds up what an event loop spends its time on, so that a stall can be explained in the log. The time of a nested
 * activity counts for that one only. Confined to the event loop.
 */
public final class EventLoopActivity {
    /** What an event loop may be occupied with. */
    public enum Activity {
        CLIENT_CONNECTIONS,
        CLIENT_INPUT,
        WORKER_CONNECTIONS,
        WORKER_INPUT,
        DISCOVERY,
        TIMERS,
        POLICY,
        SOCKET_WRITES,
        /** Everything else: the network library, the collector, the compiler, waits for the processor, idle time. */
        OTHER;

        private final String label = name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long[] nanos = new long[Activity.values().length];
    private final int[] counts = new int[Activity.values().length];
    private Activity current = Activity.OTHER;
    private long chargedUntilNanos = System.nanoTime();

    /** Runs a task and counts its time for an activity. */
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

    /** Counts a part of the current activity, which took so many nanoseconds, for another one. */
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

    /** Starts the sums anew. */
    public void reset() {
        Arrays.fill(nanos, 0);
        Arrays.fill(counts, 0);
        chargedUntilNanos = System.nanoTime();
    }

    /** The sums since the last {@link #reset}, in milliseconds, with the number of runs; the shortest are left out. */
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
