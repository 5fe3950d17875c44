package pearladder.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import pearladder.emulator.Observation;
import pearladder.emulator.ObservationLog;

/** Evaluates a scenario that has ended: checks its observation logs and writes its table and its results. */
final class ScenarioEvaluation {
    static final String WORKER_LOG = "engines.tape";
    static final String CLIENT_LOG = "clients.tape";

    /** Above this p99 lag of the load generator, a run measures the generator and not the routers. */
    private static final long MAX_GENERATOR_LAG_MILLIS = 50;
    /** The last line of a log may be incomplete if the process was killed while writing. */
    private static final int MAX_INCOMPLETE_LINES = 1;

    /**
     * Data recorded while a scenario ran.
     *
     * @param startedAt start time on the observations' clock, in nanoseconds
     * @param routerUsage lines about the resource use of the routers
     * @param trace the replayed trace, or null if the workload was synthetic
     */
    record Run(long startedAt, double seconds, List<String> routerUsage, TraceWorkload trace) {}

    private final ScenarioPlan plan;
    private final Path folder;
    private final LoadStatistics statistics;
    private final List<String> faults;

    /**
     * Creates an evaluation.
     *
     * @param folder contains the logs and receives the table and the results
     * @param faults problems found so far; the evaluation adds to them
     */
    ScenarioEvaluation(ScenarioPlan plan, Path folder, LoadStatistics statistics, List<String> faults) {
        this.plan = plan;
        this.folder = folder;
        this.statistics = statistics;
        this.faults = faults;
    }

    Scenario.Result evaluate(Run run) throws IOException {
        ScenarioSummary summary = new ScenarioSummary(plan, statistics, readLogs(), run.startedAt());
        List<String> table = summary.loadLines();
        table.add("");
        table.add(loadLine(run.seconds()));
        table.addAll(run.routerUsage());
        if (run.trace() != null) {
            table.addAll(run.trace().lines());
        }
        findFaults(run.trace());
        table.addAll(summary.verdictLines(faults));
        ScenarioSummary.write(folder, table, summary.results(table, faults));
        return new Scenario.Result(
                statistics.credit(),
                statistics.leastWindowCredit(),
                statistics.requests(),
                table,
                summary.verdict(),
                List.copyOf(faults));
    }

    private List<Observation> readLogs() throws IOException {
        List<Observation> observations = new ArrayList<>();
        for (String name : List.of(WORKER_LOG, CLIENT_LOG)) {
            int incompleteLines = ObservationLog.read(folder.resolve(name), observations::add);
            if (incompleteLines > MAX_INCOMPLETE_LINES) {
                faults.add(name + " has " + incompleteLines + " lines that can't be read");
            }
        }
        return observations;
    }

    private String loadLine(double seconds) {
        return String.format(
                Locale.ROOT,
                "%d calls in %d tries over %.0f s; the generator was late by %.1f ms at p99, %.1f ms at most",
                statistics.requests(),
                statistics.attempts(),
                seconds,
                statistics.generatorLagMillis(99),
                statistics.generatorLagMillis(100));
    }

    private void findFaults(TraceWorkload trace) {
        if (trace != null && trace.failure() != null) {
            faults.add(trace.failure().getMessage());
        }
        faults.addAll(plan.expected().missedRequirements(statistics));
        double lagMillis = statistics.generatorLagMillis(99);
        if (lagMillis > MAX_GENERATOR_LAG_MILLIS) {
            faults.add(String.format(
                    Locale.ROOT,
                    "the generator was late by %.0f ms at p99, over %d ms: not to be quoted",
                    lagMillis,
                    MAX_GENERATOR_LAG_MILLIS));
        }
    }
}
