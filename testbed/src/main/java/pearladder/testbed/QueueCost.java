package pearladder.testbed;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import pearladder.emulator.VirtualTimeline;

/**
 * What an event costs in the rehearsals' queue, against a calendar queue (Brown, CACM 31, 1988): the hold model, in which
 * each event that happens plans one more after an exponential span.
 */
public final class QueueCost {
    private static final int EVENTS = 400_000;

    /** Days of a fixed width in a ring; the width is set for a few events a day, from the mean span and the size. */
    private static final class Calendar {
        private final List<List<long[]>> days;
        private final long width;
        private long day;
        private int size;

        Calendar(int events, double meanSpan) {
            days = new ArrayList<>();
            for (int i = 0; i < Integer.highestOneBit(Math.max(2, events)); i++) {
                days.add(new ArrayList<>());
            }
            width = Math.max(1, Math.round(3 * meanSpan / events));
        }

        void add(long at) {
            List<long[]> on = days.get((int) (at / width % days.size()));
            int place = on.size();
            while (place > 0 && on.get(place - 1)[0] < at) {
                place--;
            }
            on.add(place, new long[] {at});
            size++;
        }

        long poll() {
            while (true) {
                List<long[]> on = days.get((int) (day % days.size()));
                if (!on.isEmpty() && on.get(on.size() - 1)[0] / width <= day) {
                    size--;
                    return on.remove(on.size() - 1)[0];
                }
                day++;
            }
        }
    }

    private QueueCost() {}

    /** A line a size: nanoseconds an event, medians of some rounds in turns. */
    public static List<String> run(int rounds) {
        List<String> lines = new ArrayList<>();
        for (int size : new int[] {1_000, 30_000, 1_000_000}) {
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
                    "%d events planned: heap %.0f ns an event (%.0f to %.0f), calendar queue %.0f (%.0f to" + " %.0f)",
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

    private static final double MEAN = 1e9;

    private static long span(SplittableRandom random) {
        return Math.round(-Math.log(1 - random.nextDouble()) * MEAN);
    }

    private static double heap(int size, int seed) {
        VirtualTimeline time = new VirtualTimeline();
        SplittableRandom random = new SplittableRandom(seed);
        Runnable[] again = {null};
        again[0] = () -> time.after(span(random), again[0]);
        for (int i = 0; i < size; i++) {
            time.after(span(random), again[0]);
        }
        long begun = System.nanoTime();
        while (time.ran() < EVENTS) {
            time.runTo(time.now() + Math.max(1, Math.round(MEAN / size * 1000)));
        }
        return (double) (System.nanoTime() - begun) / time.ran();
    }

    private static double calendar(int size, int seed) {
        Calendar queue = new Calendar(size, MEAN);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            queue.add(span(random));
        }
        long begun = System.nanoTime();
        for (int i = 0; i < EVENTS; i++) {
            long now = queue.poll();
            queue.add(now + span(random));
        }
        if (queue.size != size) {
            throw new IllegalStateException("events were lost: " + queue.size);
        }
        return (double) (System.nanoTime() - begun) / EVENTS;
    }
}
