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
 * Statistics of how the requests of a scenario ended: offered and earned priority weight, and latencies measured from
 * the time at which a request was due; in total, by request class, by tenant and by window of ten seconds.
 * Thread-safe: all load generators share one instance.
 */
public final class LoadStatistics {
    /** The result of a request for its client, over all its attempts. */
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

    /** Length of the time windows by which requests are counted. */
    static final long WINDOW_SECONDS = 10;

    static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(WINDOW_SECONDS);

    /** Upper bound of the histograms; longer times are recorded as this value. */
    private static final long MAX_RECORDED_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    /** Statistics of one group of requests. */
    private static final class Group {
        private double weightOffered;
        private double weightEarned;
        private final long[] ends = new long[End.values().length];
        private final Histogram latencies = histogram();

        void add(End end, double offered, double earned, long latencyNanos) {
            weightOffered += offered;
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
            return weightOffered == 0 ? 1 : weightEarned / weightOffered;
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
    /** Statistics by the index of the window. */
    private final TreeMap<Long, Group> windows = new TreeMap<>();

    private final Group all = new Group();
    private final Histogram generatorLag = histogram();
    private long attempts;

    private static Histogram histogram() {
        return new Histogram(MAX_RECORDED_NANOS, SIGNIFICANT_DIGITS);
    }

    private static long clampToRecordable(long nanos) {
        return Math.max(0, Math.min(MAX_RECORDED_NANOS, nanos));
    }

    /** Records how late the generator sent a request. */
    public synchronized void recordSendDelay(long delayNanos) {
        generatorLag.recordValue(clampToRecordable(delayNanos));
    }

    /** Counts an attempt. */
    synchronized void recordAttempt() {
        attempts++;
    }

    /**
     * Counts a request that has ended.
     *
     * @param tenant empty if the request has none
     * @param due nanoseconds from the start of the scenario
     * @param elapsed nanoseconds since it was due
     */
    synchronized void recordEnd(RequestClassTerms terms, String tenant, long due, long elapsed, End end) {
        double earned = earned(terms, end);
        long latency = clampToRecordable(elapsed);
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

    /** Returns the number of requests that have ended. */
    public synchronized long requests() {
        return all.count();
    }

    /** Returns the share of the offered priority weight that was earned, from 0 to 1. */
    public synchronized double credit() {
        return all.earnedShare();
    }

    /** Returns the smallest share of the priority weight earned in any window. */
    public synchronized double leastWindowCredit() {
        return windows.values().stream()
                .filter(window -> window.weightOffered > 0)
                .mapToDouble(Group::earnedShare)
                .min()
                .orElse(1);
    }

    /** Returns the share of the priority weight earned in each window, by the second at which the window begins. */
    synchronized Map<Long, Double> creditByWindow() {
        Map<Long, Double> shares = new LinkedHashMap<>();
        windows.forEach((number, window) -> shares.put(number * WINDOW_SECONDS, window.earnedShare()));
        return shares;
    }

    /** Returns the number of requests by the lower-case name of their {@link End}. */
    public synchronized Map<String, Long> countsByEnd() {
        Map<String, Long> ends = new LinkedHashMap<>();
        for (End end : End.values()) {
            ends.put(end.name().toLowerCase(Locale.ROOT), all.count(end));
        }
        return ends;
    }

    /** Returns a percentile (0 to 100) of the latencies of requests that succeeded, measured from their due time. */
    public synchronized double latencyMillis(double percentile) {
        return all.latencies.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** Returns a percentile (0 to 100) of the delays with which the generator sent requests. */
    synchronized double generatorLagMillis(double percentile) {
        return generatorLag.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** Returns the number of attempts sent. */
    public synchronized long attempts() {
        return attempts;
    }

    /** Returns a table to print, with a row for each group and for the worst window. */
    public synchronized List<String> table() {
        List<String> rows = new ArrayList<>();
        rows.add(header());
        rows.add(all.row("all"));
        requestClasses.forEach((name, group) -> rows.add(group.row("category " + name)));
        tenants.forEach((name, group) -> rows.add(group.row("account " + name)));
        windows.entrySet().stream()
                .min(Comparator.comparingDouble(
                        window -> window.getValue().weightEarned / window.getValue().weightOffered))
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
