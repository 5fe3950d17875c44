package pearladder.testbed;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * What a day's calls came to: credit asked for and earned, by category, account and ten seconds; times from the due time.
 * Every lane of clients writes into the same books.
 */
public final class LoadStatistics {
    /** How a call ended for its client, all its tries together. */
    public enum End {
        SETTLED,
        LATE,
        DISMISSED,
        TERMINATED,
        UNANSWERED
    }

    private static final class Line {
        double asked;
        double earned;
        final long[] ends = new long[End.values().length];
        final Histogram times = new Histogram(60_000_000_000L, 3);
    }

    private static final long WINDOW = 10_000_000_000L;

    private final Map<String, Line> categories = new TreeMap<>();
    private final Map<String, Line> accounts = new TreeMap<>();
    private final TreeMap<Long, Line> windows = new TreeMap<>();
    private final Line all = new Line();
    private final Histogram lag = new Histogram(60_000_000_000L, 3);
    private long tries;

    /** The generator sent a call so late. */
    public synchronized void sent(long lateNanos) {
        lag.recordValue(Math.max(0, Math.min(60_000_000_000L, lateNanos)));
    }

    synchronized void tried() {
        tries++;
    }

    /** A call ended for good; due from the day's start, took from its due time. */
    synchronized void ended(CategoryTerms terms, String account, long due, long took, End end) {
        double earned = end == End.SETTLED ? terms.credit() : end == End.LATE ? terms.credit() * terms.lateCredit() : 0;
        List<Line> lines = new ArrayList<>(List.of(
                all,
                categories.computeIfAbsent(terms.name(), n -> new Line()),
                windows.computeIfAbsent(due / WINDOW, n -> new Line())));
        if (!account.isEmpty()) {
            lines.add(accounts.computeIfAbsent(account, n -> new Line()));
        }
        for (Line line : lines) {
            line.asked += terms.credit();
            line.earned += earned;
            line.ends[end.ordinal()]++;
            if (end == End.SETTLED || end == End.LATE) {
                line.times.recordValue(Math.max(0, Math.min(60_000_000_000L, took)));
            }
        }
    }

    public synchronized long calls() {
        return all.times.getTotalCount() + all.ends[2] + all.ends[3] + all.ends[4];
    }

    /** The share of the credit asked for that was earned. */
    public synchronized double credit() {
        return all.asked == 0 ? 1 : all.earned / all.asked;
    }

    public synchronized double worstWindow() {
        return windows.values().stream()
                .filter(line -> line.asked > 0)
                .mapToDouble(line -> line.earned / line.asked)
                .min()
                .orElse(1);
    }

    synchronized Map<Long, Double> byWindow() {
        Map<Long, Double> credit = new LinkedHashMap<>();
        windows.forEach((at, line) -> credit.put(at * 10, line.asked == 0 ? 1 : line.earned / line.asked));
        return credit;
    }

    /** How many calls ended in each way. */
    public synchronized Map<String, Long> ends() {
        Map<String, Long> ends = new LinkedHashMap<>();
        for (End end : End.values()) {
            ends.put(end.name().toLowerCase(Locale.ROOT), all.ends[end.ordinal()]);
        }
        return ends;
    }

    /** Time from a call's due moment to its answer, of calls that got one. */
    public synchronized double latencyMillis(double percentile) {
        return all.times.getValueAtPercentile(percentile) / 1e6;
    }

    synchronized double lagMillis(double percentile) {
        return lag.getValueAtPercentile(percentile) / 1e6;
    }

    public synchronized long tries() {
        return tries;
    }

    /** The table as people read it. */
    public synchronized List<String> table() {
        List<String> rows = new ArrayList<>();
        rows.add(String.format(
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
                "max ms"));
        rows.add(row("all", all));
        categories.forEach((name, line) -> rows.add(row("category " + name, line)));
        accounts.forEach((name, line) -> rows.add(row("account " + name, line)));
        windows.entrySet().stream()
                .min((a, b) -> Double.compare(
                        a.getValue().earned / a.getValue().asked, b.getValue().earned / b.getValue().asked))
                .ifPresent(worst -> rows.add(row("worst 10 s, from " + worst.getKey() * 10 + " s", worst.getValue())));
        return rows;
    }

    private static String row(String name, Line line) {
        long calls = 0;
        for (long end : line.ends) {
            calls += end;
        }
        return String.format(
                Locale.ROOT,
                "%-22s %8d %7.3f %8d %6d %9d %10d %10d %8.1f %8.1f %8.1f",
                name,
                calls,
                line.asked == 0 ? 1 : line.earned / line.asked,
                line.ends[0],
                line.ends[1],
                line.ends[2],
                line.ends[3],
                line.ends[4],
                line.times.getValueAtPercentile(50) / 1e6,
                line.times.getValueAtPercentile(99) / 1e6,
                line.times.getMaxValue() / 1e6);
    }
}
