package pearladder.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * How the requests of a scenario ended: the priority weight asked for and earned, and latencies from the moment at
 * which a request was due; in all, by request class, by tenant and by ten seconds. Thread-safe: all load generators
 * share one.
 */
public final class LoadStatistics {
    /** How a request ended for its client, all its attempts together. */
    public enum End {
        /** Succeeded within its latency objective. */
        SETTLED,
        /** Succeeded after its latency objective and before its deadline. */
        LATE,
        /** Rejected. */
        DISMISSED,
        /** Failed. */
        TERMINATED,
        /** No answer before its deadline. */
        UNANSWERED
    }

    /** Length of the windows of time by which requests are counted, in seconds. */
    static final long WINDOW_SECONDS = 10;

    static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(WINDOW_SECONDS);

    /** Longer times are recorded as this. */
    private static final long LONGEST_RECORDED_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    /** Counts of some of the requests. */
    private static final class Group {
        private double weightAsked;
        private double weightEarned;
        private final long[] ends = new long[End.values().length];
        private final Histogram latencies = histogram();

        void add(End end, double asked, double earned, long latencyNanos) {
            weightAsked += asked;
            weightEarned += earned;
            ends[end.ordinal()]++;
            if (end == End.SETTLED || end == End.LATE) {
                latencies.recordValue(latencyNanos);
            }
        }

        long count(End end) {
            return ends[end.ordinal()];
        }

        long count() {
            long count = 0;
            for (long ended : ends) {
                count += ended;
            }
            return count;
        }

        double earnedShare() {
            return weightAsked == 0 ? 1 : weightEarned / weightAsked;
        }

        String row(String name) {
            return String.format(
                    Locale.ROOT,
                    "%-22s %8d %7.3f %8d %6d %9d %10d %10d %8.1f %8.1f %8.1f",
                    name,
                    count(),
                    earnedShare(),
                    count(End.SETTLED),
                    count(End.LATE),
                    count(End.DISMISSED),
                    count(End.TERMINATED),
                    count(End.UNANSWERED),
                    latencies.getValueAtPercentile(50) / NANOS_PER_MILLI,
                    latencies.getValueAtPercentile(99) / NANOS_PER_MILLI,
                    latencies.getMaxValue() / NANOS_PER_MILLI);
        }
    }

    private final Map<String, Group> requestClasses = new TreeMap<>();
    private final Map<String, Group> tenants = new TreeMap<>();
    /** By the number of the window. */
    private final TreeMap<Long, Group> windows = new TreeMap<>();

    private final Group all = new Group();
    private final Histogram generatorLag = histogram();
    private long attempts;

    private static Histogram histogram() {
        return new Histogram(LONGEST_RECORDED_NANOS, SIGNIFICANT_DIGITS);
    }

    private static long recordable(long nanos) {
        return Math.max(0, Math.min(LONGEST_RECORDED_NANOS, nanos));
    }

    /** Counts a request that the generator sent so late. */
    public synchronized void recordSendDelay(long lateNanos) {
        generatorLag.recordValue(recordable(lateNanos));
    }

    /** Counts an attempt. */
    synchronized void recordAttempt() {
        attempts++;
    }

    /**
     * Counts a request that has ended.
     *
     * @param tenant empty where it has none
     * @param due nanoseconds from the start of the scenario
     * @param took nanoseconds since it was due
     */
    synchronized void recordEnd(RequestClassTerms terms, String tenant, long due, long took, End end) {
        double earned = earned(terms, end);
        long latency = recordable(took);
        for (Group group : groupsOf(terms.name(), tenant, due)) {
            group.add(end, terms.priorityWeight(), earned, latency);
        }
    }

    private static double earned(RequestClassTerms terms, End end) {
        return switch (end) {
            case SETTLED -> terms.priorityWeight();
            case LATE -> terms.priorityWeight() * terms.lateWeightShare();
            case DISMISSED, TERMINATED, UNANSWERED -> 0;
        };
    }

    private List<Group> groupsOf(String requestClass, String tenant, long due) {
        List<Group> groups = new ArrayList<>();
        groups.add(all);
        groups.add(requestClasses.computeIfAbsent(requestClass, name -> new Group()));
        groups.add(windows.computeIfAbsent(due / WINDOW_NANOS, window -> new Group()));
        if (!tenant.isEmpty()) {
            groups.add(tenants.computeIfAbsent(tenant, name -> new Group()));
        }
        return groups;
    }

    /** How many requests have ended. */
    public synchronized long requests() {
        return all.count();
    }

    /** The share of the priority weight asked for that was earned, 0 to 1. */
    public synchronized double credit() {
        return all.earnedShare();
    }

    /** The least share of the priority weight earned in a window. */
    public synchronized double leastWindowCredit() {
        return windows.values().stream()
                .filter(window -> window.weightAsked > 0)
                .mapToDouble(Group::earnedShare)
                .min()
                .orElse(1);
    }

    /** The share of the priority weight earned in each window, by the second at which it begins. */
    synchronized Map<Long, Double> creditByWindow() {
        Map<Long, Double> shares = new LinkedHashMap<>();
        windows.forEach((number, window) -> shares.put(number * WINDOW_SECONDS, window.earnedShare()));
        return shares;
    }

    /** How many requests ended in each way, by its word in lower case. */
    public synchronized Map<String, Long> countsByEnd() {
        Map<String, Long> ends = new LinkedHashMap<>();
        for (End end : End.values()) {
            ends.put(end.name().toLowerCase(Locale.ROOT), all.count(end));
        }
        return ends;
    }

    /** A percentile (0 to 100) of the latencies of requests that succeeded, from the moment at which they were due. */
    public synchronized double latencyMillis(double percentile) {
        return all.latencies.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** A percentile (0 to 100) of how late the generator sent. */
    synchronized double generatorLagMillis(double percentile) {
        return generatorLag.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** How many attempts were sent. */
    public synchronized long attempts() {
        return attempts;
    }

    /** A table for people: a row for each group and for the worst window. */
    public synchronized List<String> table() {
        List<String> rows = new ArrayList<>();
        rows.add(header());
        rows.add(all.row("all"));
        requestClasses.forEach((name, group) -> rows.add(group.row("category " + name)));
        tenants.forEach((name, group) -> rows.add(group.row("account " + name)));
        windows.entrySet().stream()
                .min(Comparator.comparingDouble(
                        window -> window.getValue().weightEarned / window.getValue().weightAsked))
                .ifPresent(worst ->
                        rows.add(worst.getValue().row("worst 10 s, from " + worst.getKey() * WINDOW_SECONDS + " s")));
        return rows;
    }

    private static String header() {
        return String.format(
                Locale.ROOT,
                "%-22s %8s %7s %8s %6s %9s %10s %10s %8s %8s %8s",
                "",
                "calls",
                "credit",
                "settled",
                "late",
                "dismissed",
                "terminated",
                "unanswered",
                "p50 ms",
                "p99 ms",
                "max ms");
    }
}
