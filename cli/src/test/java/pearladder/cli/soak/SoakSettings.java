package pearladder.cli.soak;

import java.util.Arrays;
import java.util.Random;

/** What a seed draws for a run: the deadlines of the request classes, and what follows from them. */
final class SoakSettings {
    private static final long[] DEADLINES_MILLIS = {150, 250, 500, 1000, 2000, 3000, 5000};
    /** By the platform's page a longer deadline counts as this before the kill that follows SIGTERM. */
    private static final long LONGEST_COUNTED_MILLIS = 3000;
    /** The kill comes so long after the longest deadline. */
    private static final long KILL_MARGIN_MILLIS = 700;

    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Sizes of fleets, by the seed in turn; the pages' largest comes second. */
    private static final int[] WORKERS = {60, 8, 3200, 200, 8, 800, 20, 1600};

    private final long[] deadlinesMillis;
    /** The number of workers. */
    final int workers;

    SoakSettings(long seed, Random random) {
        workers = Integer.getInteger("soak.workers", WORKERS[(int) (seed % WORKERS.length)]);
        deadlinesMillis = random.ints(SoakRequest.RequestClass.values().length, 0, DEADLINES_MILLIS.length)
                .mapToLong(index -> DEADLINES_MILLIS[index])
                .toArray();
    }

    long deadlineMillis(SoakRequest.RequestClass requestClass) {
        return deadlinesMillis[requestClass.ordinal()];
    }

    long shortestDeadlineMillis() {
        return Arrays.stream(deadlinesMillis).min().orElseThrow();
    }

    /** When the kill comes at the earliest, after SIGTERM. */
    long killAfterMillis() {
        long longest = Arrays.stream(deadlinesMillis).max().orElseThrow();
        return Math.min(longest, LONGEST_COUNTED_MILLIS) + KILL_MARGIN_MILLIS;
    }

    /** The classes of requests as a router's settings hold them. */
    String services() {
        return service(SoakRequest.RequestClass.DRAFT, "free", 5000) + ", "
                + service(SoakRequest.RequestClass.COMMIT, "guarded", 8000) + ", "
                + service(SoakRequest.RequestClass.PAYMENT, "single_shot", 0);
    }

    private String service(SoakRequest.RequestClass requestClass, String effect, long keyMillis) {
        long deadline = deadlineMillis(requestClass);
        return "{\"AimNs\": " + deadline / 2 * NANOS_PER_MILLI + ", \"DedupScope\": \"all\", \"Effect\": \"" + effect
                + "\", \"GiveUpNs\": " + deadline * NANOS_PER_MILLI + ", \"KeyTtlNs\": " + keyMillis * NANOS_PER_MILLI
                + ", \"LateWorth\": 0.2, \"Name\": \"" + requestClass.method
                + "\", \"Streamed\": false, \"Worth\": 3.0}";
    }

    @Override
    public String toString() {
        return workers + " workers, deadlines " + Arrays.toString(deadlinesMillis) + " ms";
    }
}
