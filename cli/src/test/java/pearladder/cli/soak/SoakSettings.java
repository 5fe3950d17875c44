package pearladder.cli.soak;

import java.util.Arrays;
import java.util.Random;

/** The settings of a run drawn from its seed: the fleet size and the deadlines of the request classes. */
final class SoakSettings {
    private static final long[] DEADLINES_MILLIS = {150, 250, 500, 1000, 2000, 3000, 5000};
    /** The platform counts longer deadlines as this when it computes the delay between SIGTERM and the kill. */
    private static final long MAX_COUNTED_DEADLINE_MILLIS = 3000;
    /** Time between the longest deadline and the kill. */
    private static final long KILL_MARGIN_MILLIS = 700;

    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Fleet sizes, selected by seed modulo length; the largest size that the platform documents is for seed 2. */
    private static final int[] FLEET_SIZES = {60, 8, 3200, 200, 8, 800, 20, 1600};

    private final long[] deadlinesMillis;
    /** The number of workers. */
    final int workers;

    SoakSettings(long seed, Random random) {
        workers = Integer.getInteger("soak.workers", FLEET_SIZES[(int) (seed % FLEET_SIZES.length)]);
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

    /** Returns the minimum time between SIGTERM and the kill. */
    long killAfterMillis() {
        long longest = Arrays.stream(deadlinesMillis).max().orElseThrow();
        return Math.min(longest, MAX_COUNTED_DEADLINE_MILLIS) + KILL_MARGIN_MILLIS;
    }

    /** Returns the request classes in the form of {@code Services} in the configuration. */
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
