package pearladder.testbed;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import pearladder.emulator.VirtualTimeline;

/**
 * Compares the time per event of the simulation event queue with that of a calendar queue (R. Brown, Calendar queues,
 * CACM 31(10), 1988). Uses the hold model: each executed event schedules another after an exponentially distributed
 * delay.
 */
public final class QueueCost {
    private static final int EVENTS = 400_000;
    private static final int[] QUEUE_SIZES = {1_000, 30_000, 1_000_000};
    private static final double MEAN_DELAY_NANOS = 1e9;
    /** Mean number of events executed in each step of the heap's clock. */
    private static final int EVENTS_PER_STEP = 1000;

    /**
     * A calendar queue: a ring of buckets ("days") of fixed width. The width is derived from the mean delay and the
     * queue size, so that each bucket holds a few events.
     */
    private static final class Calendar {
        private final List<List<long[]>> days;
        private final long width;
        private long day;
        private int size;

        Calendar(int events, double meanDelayNanos) {
            days = new ArrayList<>();
            for (int i = 0; i < Integer.highestOneBit(Math.max(2, events)); i++) {
                days.add(new ArrayList<>());
            }
            width = Math.max(1, Math.round(3 * meanDelayNanos / events));
        }

        void add(long at) {
            List<long[]> bucket = days.get((int) (at / width % days.size()));
            int index = bucket.size();
            while (index > 0 && bucket.get(index - 1)[0] < at) {
                index--;
            }
            bucket.add(index, new long[] {at});
            size++;
        }

        long poll() {
            while (true) {
                List<long[]> bucket = days.get((int) (day % days.size()));
                if (!bucket.isEmpty() && bucket.get(bucket.size() - 1)[0] / width <= day) {
                    size--;
                    return bucket.remove(bucket.size() - 1)[0];
                }
                day++;
            }
        }
    }

    private QueueCost() {}

    /** Measures both queues alternately; returns one line per queue size, with the median nanoseconds per event. */
    public static List<String> run(int rounds) {
        List<String> lines = new ArrayList<>();
        for (int size : QUEUE_SIZES) {
            double[] heap = new double[rounds];
            double[] calendar = new double[rounds];
            for (int i = 0; i < rounds; i++) {
                heap[i] = heap(size, i);
                calendar[i] = calendar(size, i);
            }
            Arrays.sort(heap);
            Arrays.sort(calendar);
            lines.add(String.format(
                    Locale.ROOT,
                    "%d events planned: heap %.0f ns an event (%.0f to %.0f), calendar queue %.0f (%.0f to %.0f)",
                    size,
                    heap[rounds / 2],
                    heap[0],
                    heap[rounds - 1],
                    calendar[rounds / 2],
                    calendar[0],
                    calendar[rounds - 1]));
        }
        return lines;
    }

    private static long delayNanos(SplittableRandom random) {
        return Math.round(-Math.log(1 - random.nextDouble()) * MEAN_DELAY_NANOS);
    }

    private static double heap(int size, int seed) {
        VirtualTimeline time = new VirtualTimeline();
        SplittableRandom random = new SplittableRandom(seed);
        Runnable[] event = {null};
        event[0] = () -> time.after(delayNanos(random), event[0]);
        for (int i = 0; i < size; i++) {
            time.after(delayNanos(random), event[0]);
        }
        long startedAt = System.nanoTime();
        while (time.executedTasks() < EVENTS) {
            time.advanceTo(time.now() + Math.max(1, Math.round(MEAN_DELAY_NANOS / size * EVENTS_PER_STEP)));
        }
        return (double) (System.nanoTime() - startedAt) / time.executedTasks();
    }

    private static double calendar(int size, int seed) {
        Calendar queue = new Calendar(size, MEAN_DELAY_NANOS);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            queue.add(delayNanos(random));
        }
        long startedAt = System.nanoTime();
        for (int i = 0; i < EVENTS; i++) {
            long now = queue.poll();
            queue.add(now + delayNanos(random));
        }
        if (queue.size != size) {
            throw new IllegalStateException("events were lost: " + queue.size);
        }
        return (double) (System.nanoTime() - startedAt) / EVENTS;
    }
}
