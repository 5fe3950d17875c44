package pearladder.testbed;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import pearladder.testbed.ClosedLoopClients.Round;

/** Prints the rounds of a benchmark as a table of medians and compares the ways with a baseline. */
final class BenchmarkTable {
    /** A way with more failures than this, as a share of its successes, was not measured. */
    private static final double MOST_FAILURES = 0.01;

    /** A figure over the rounds, sorted. */
    private record Figure(double[] sorted) {
        static Figure of(List<Round> rounds, ToDoubleFunction<Round> figure) {
            return new Figure(rounds.stream().mapToDouble(figure).sorted().toArray());
        }

        double median() {
            return sorted[sorted.length / 2];
        }

        String range() {
            return String.format(Locale.ROOT, "%.0f (%.0f to %.0f)", median(), sorted[0], sorted[sorted.length - 1]);
        }
    }

    /** The figures of one way. */
    private record Row(Figure p50Micros, Figure p99Micros, Figure perSecond, long failures, long successes) {
        static Row of(List<Round> rounds) {
            return new Row(
                    Figure.of(rounds, round -> round.latencyMicros(50)),
                    Figure.of(rounds, round -> round.latencyMicros(99)),
                    Figure.of(rounds, Round::successesPerSecond),
                    rounds.stream().mapToLong(Round::failures).sum(),
                    rounds.stream().mapToLong(Round::successes).sum());
        }
    }

    private final Map<String, Row> rows = new LinkedHashMap<>();
    private final PrintStream out;

    /**
     * Creates a table.
     *
     * @param rounds by the name of the way, in the order of the rows
     */
    BenchmarkTable(Map<String, List<Round>> rounds, PrintStream out) {
        rounds.forEach((name, each) -> rows.put(name, Row.of(each)));
        this.out = out;
    }

    /**
     * Prints the table.
     *
     * @param baseline the ways after this one are compared with it
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

    /** A table of failures is no measurement. */
    private static void requireSuccesses(String name, Row row) {
        if (row.failures() > MOST_FAILURES * row.successes()) {
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
