package pearladder.simulation;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import pearladder.testbed.InvariantChecker;
import pearladder.testbed.LoadStatistics;
import pearladder.testbed.ScenarioPlan;
import pearladder.testbed.ScenarioSummary;
import pearladder.testbed.TraceWorkload;

/**
 * Evaluates a finished run and writes its results.
 *
 * @param trace the replayed trace; null if the run used the scenario's own traffic
 * @param startedAt virtual time of the scenario's start
 * @param endedAt virtual time of the run's end
 * @param events number of tasks that the virtual clock ran
 * @param wallSeconds wall-clock time of the run, in seconds
 * @param faults errors during the run; missed expectations and trace errors are added
 */
record SimulationReport(
        ScenarioPlan plan,
        LoadStatistics statistics,
        ObservationRecorder recorder,
        SimulatedRouters routers,
        TraceWorkload trace,
        RouterLogs routerLogs,
        long startedAt,
        long endedAt,
        long events,
        double wallSeconds,
        List<String> faults) {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MICRO = 1e3;

    /** @param folder folder for the results; null writes none */
    Simulation.Result write(Path folder) throws IOException {
        ScenarioSummary summary = new ScenarioSummary(plan, statistics, recorder.observations(), startedAt);
        faults.addAll(plan.expected().missedRequirements(statistics));
        String digest = recorder.digest();
        List<String> table = table(summary, digest);
        if (folder != null) {
            Files.createDirectories(folder);
            ObjectNode results = summary.results(table, faults);
            addRouterLogs(results);
            addScalingFigures(results);
            ScenarioSummary.write(folder, table, results);
        }
        return outcome(summary.verdict(), digest, table);
    }

    private List<String> table(ScenarioSummary summary, String digest) {
        List<String> lines = summary.loadLines();
        if (trace != null) {
            lines.addAll(trace.lines());
            if (trace.failure() != null) {
                faults.add(trace.failure().getMessage());
            }
        }
        lines.add("");
        lines.add(String.format(
                Locale.ROOT,
                "simulated %d workers and %d routers: %d requests in %d attempts, %d loads, digest %s",
                plan.fleet().workers().size(),
                plan.routers(),
                statistics.requests(),
                statistics.attempts(),
                recorder.loads(),
                digest));
        lines.addAll(summary.verdictLines(faults));
        return lines;
    }

    private void addRouterLogs(ObjectNode results) {
        ArrayNode lines = results.putArray("staff");
        routerLogs.lines().forEach(lines::add);
    }

    /** Adds the figures that show how costs scale with the size of the fleet. */
    private void addScalingFigures(ObjectNode results) {
        double decisionNanos = routers.decisionNanos();
        results.putObject("growth")
                .put("loads_per_1000", 1000.0 * recorder.loads() / Math.max(1, statistics.requests()))
                .put("decision_us", decisionNanos / NANOS_PER_MICRO / Math.max(1, routers.decisions()))
                .put("decided_share", decisionNanos / NANOS_PER_SECOND / plan.routers() / durationSeconds())
                .put("told_per_second", recorder.endpointsSent() / (double) plan.routers() / durationSeconds())
                .put("events", events)
                .put("wall_s", wallSeconds)
                .put("lasting_s", durationSeconds());
    }

    private double durationSeconds() {
        return (endedAt - startedAt) / NANOS_PER_SECOND;
    }

    private Simulation.Result outcome(InvariantChecker.Verdict verdict, String digest, List<String> table) {
        return new Simulation.Result(
                digest,
                statistics.credit(),
                statistics.leastWindowCredit(),
                statistics.requests(),
                recorder.loads(),
                statistics.latencyMillis(50),
                statistics.latencyMillis(99),
                events,
                routers.decisions(),
                routers.decisionNanos(),
                recorder.endpointsSent(),
                wallSeconds,
                table,
                verdict,
                List.copyOf(faults));
    }
}
