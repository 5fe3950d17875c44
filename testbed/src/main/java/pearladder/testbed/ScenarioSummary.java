package pearladder.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import pearladder.emulator.Observation;

/**
 * The part of a scenario's results that is the same for runs with real processes and in virtual time: the verdict of
 * the invariant checker, lines of the table, and the files.
 */
public final class ScenarioSummary {
    private static final String TABLE_FILE = "table.txt";

    private final ScenarioPlan plan;
    private final LoadStatistics statistics;
    private final List<Observation> observations;
    private final long startedAt;
    private final InvariantChecker.Verdict verdict;

    /**
     * Checks the invariants of a run that has ended.
     *
     * @param startedAt start of the scenario on the observations' clock, in nanoseconds
     */
    public ScenarioSummary(
            ScenarioPlan plan, LoadStatistics statistics, List<Observation> observations, long startedAt) {
        this.plan = plan;
        this.statistics = statistics;
        this.observations = observations;
        this.startedAt = startedAt;
        this.verdict = new InvariantChecker(plan.invariantSettings(), plan.slack(), plan.workerLocations())
                .check(observations);
    }

    /** Returns the result of the invariant checks. */
    public InvariantChecker.Verdict verdict() {
        return verdict;
    }

    /** Returns the first lines of the table: the requests by class, the versions that served them, and the loads. */
    public List<String> loadLines() {
        List<String> lines = new ArrayList<>(statistics.table());
        lines.addAll(VersionShares.lines(observations, startedAt, plan.rolloutOrders()));
        lines.add(Results.loadsLine(plan, observations, startedAt));
        return lines;
    }

    /** Returns the last lines of the table: an empty line, the invariants, and other faults. */
    public List<String> verdictLines(List<String> faults) {
        List<String> lines = new ArrayList<>();
        lines.add("");
        lines.addAll(verdict.lines(startedAt, plan.invariantSettings()));
        faults.forEach(fault -> lines.add("fault: " + fault));
        return lines;
    }

    /** Returns the results in the form that {@link #write} accepts; the caller may add members. */
    public ObjectNode results(List<String> table, List<String> faults) {
        return Results.of(plan, statistics, verdict, faults, observations, startedAt, table);
    }

    /**
     * Writes the table and the results into a folder that exists.
     *
     * @throws IOException if a file can't be written
     */
    public static void write(Path folder, List<String> table, JsonNode results) throws IOException {
        Files.write(folder.resolve(TABLE_FILE), table);
        Results.write(folder, results);
    }
}
