package pearladder.testbed;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import pearladder.testbed.ClosedLoopClients.Round;

/** Prints the rounds of a benchmark as a table of medians and compares the request paths with a baseline. */
final class BenchmarkTable {
    /** Largest ratio of failures to successes with which the figures of a request path are valid. */
    private static final double MAX_FAILURE_RATIO = 0.01;

    /** The values of one metric over all rounds, sorted. */
    private record Metric(double[] sorted) {
        static Metric of(List<Round> rounds, ToDoubleFunction<Round> metric) {
            return new Metric(rounds.stream().mapToDouble(metric).sorted().toArray());
        }

        double median() {
            return sorted[sorted.length / 2];
        }

        String range() {
            return String.format(Locale.ROOT, "%.0f (%.0f to %.0f)", median(), sorted[0], sorted[sorted.length - 1]);
        }
    }

    /** The metrics of one request path. */
    private record Row(Metric p50Micros, Metric p99Micros, Metric perSecond, long failures, long successes) {
        static Row of(List<Round> rounds) {
            return new Row(
                    Metric.of(rounds, round -> round.latencyMicros(50)),
                    Metric.of(rounds, round -> round.latencyMicros(99)),
                    Metric.of(rounds, Round::successesPerSecond),
                    rounds.stream().mapToLong(Round::failures).sum(),
                    rounds.stream().mapToLong(Round::successes).sum());
        }
    }

    private final Map<String, Row> rows = new LinkedHashMap<>();
    private final PrintStream out;

    /**
     * Creates a table.
     *
     * @param rounds rounds by the name of the request path, in the order of the rows
     */
    BenchmarkTable(Map<String, List<Round>> rounds, PrintStream out) {
        rounds.forEach((name, each) -> rows.put(name, Row.of(each)));
        this.out = out;
    }

    /**
     * Prints the table.
     *
     * @param baseline name of the request path with which the paths after it are compared
     */
    void print(String baseline) {
        out.printf(
                Locale.ROOT, "%-14s %22s %22s %26s %10s%n", "", "p50 us", "p99 us", "settled a second", "not settled");
        rows.forEach((name, row) -> out.printf(
                Locale.ROOT,
                "%-14s %22s %22s %26s %10d%n",
                name,
                row.p50Micros().range(),
                row.p99Micros().range(),
                row.perSecond().range(),
                row.failures()));
        rows.forEach(BenchmarkTable::requireSuccesses);
        List<String> names = List.copyOf(rows.keySet());
        names.subList(names.indexOf(baseline) + 1, names.size()).forEach(name -> compare(name, baseline));
    }

    /** Fails if too many requests failed for the figures to be a valid measurement. */
    private static void requireSuccesses(String name, Row row) {
        if (row.failures() > MAX_FAILURE_RATIO * row.successes()) {
            throw new IllegalStateException(name + ": more than one call in a hundred was not settled");
        }
    }

    private void compare(String name, String baseline) {
        Row row = rows.get(name);
        Row base = rows.get(baseline);
        out.printf(
                Locale.ROOT,
                "%s against %s: p50 %.2f times, p99 %.2f times, throughput %.2f times%n",
                name,
                baseline,
                row.p50Micros().median() / base.p50Micros().median(),
                row.p99Micros().median() / base.p99Micros().median(),
                row.perSecond().median() / base.perSecond().median());
    }
}
