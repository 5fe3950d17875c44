package pearladder.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/**
 * Runs the scenarios of a grid one after the other. Each run stores its results in its own folder, so that an
 * interrupted experiment resumes with the first run without results; a run is repeated if the build or its script has
 * changed since.
 */
public final class Experiment {
    private static final YAMLMapper YAML = new YAMLMapper();
    private static final String[] CSV_HEADER = {
        "run",
        "build",
        "policy",
        "engines",
        "routers",
        "seed",
        "calls",
        "credit",
        "worst_10s",
        "p50_ms",
        "p99_ms",
        "dismissed",
        "terminated",
        "unanswered",
        "lag_p99_ms",
        "breaches",
        "faults"
    };

    private final ExperimentPlan plan;
    private final Path folder;
    private final List<String> program;
    private final String build;
    private final PrintStream progress;
    private long runMillisTotal;
    private int finishedRuns;

    private Experiment(ExperimentPlan plan, Path folder, List<String> program, String build, PrintStream progress) {
        this.plan = plan;
        this.folder = folder;
        this.program = program;
        this.build = build;
        this.progress = progress;
    }

    /**
     * Validates an experiment file and its base script without running anything.
     *
     * @throws pearladder.config.ConfigErrors.ConfigException with every mistake
     */
    public static void check(Path file) {
        ScenarioPlan.read(ExperimentPlan.read(file).base());
    }

    /**
     * Runs the scenarios that have no results yet, then writes results.csv and report.html.
     *
     * @param folder parent of the folders of the runs
     * @param program the command that runs this program
     * @param build identifier of this build, stored with the results of each run
     * @return the number of runs with a violated invariant or a fault
     */
    public static int run(Path file, Path folder, List<String> program, String build, PrintStream progress)
            throws IOException, InterruptedException {
        ExperimentPlan plan = ExperimentPlan.read(file);
        ScenarioPlan.read(plan.base());
        Files.createDirectories(folder);
        return new Experiment(plan, folder, program, build, progress).run();
    }

    private int run() throws IOException, InterruptedException {
        int failedRuns = 0;
        for (int i = 0; i < plan.runs().size(); i++) {
            ExperimentPlan.Run run = plan.runs().get(i);
            JsonNode results = findOrMeasureResults(run, i);
            progress.println(String.format(
                    Locale.ROOT,
                    "  %s: credit %.3f, worst 10 s %.3f, p99 %.0f ms",
                    run.label(),
                    results.path("credit").asDouble(),
                    results.path("worst10s").asDouble(),
                    results.path("latency_ms").path("99.0").asDouble()));
            int violationsAndFaults =
                    results.path("breaches").asInt() + results.path("faults").asInt();
            failedRuns += violationsAndFaults > 0 ? 1 : 0;
        }
        writeTable();
        progress.println("report: " + Report.write(folder));
        return failedRuns;
    }

    /** Returns the results of a run, after running it if they are missing or belong to another build or script. */
    private JsonNode findOrMeasureResults(ExperimentPlan.Run run, int number) throws IOException, InterruptedException {
        Path runFolder = folder.resolve(run.label());
        String script = YAML.writeValueAsString(script(run));
        JsonNode results = Results.read(runFolder);
        if (results != null
                && results.path("build").asText().equals(build)
                && results.path("script").asText().equals(digest(script))) {
            return results;
        }
        int runs = plan.runs().size();
        progress.println("run " + (number + 1) + " of " + runs + ": " + run.label() + timeLeft(runs - number));
        long startedAt = System.nanoTime();
        JsonNode measured = runScenario(run, runFolder, script);
        runMillisTotal += TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
        finishedRuns++;
        return measured;
    }

    private String timeLeft(int runsLeft) {
        if (finishedRuns == 0) {
            return "";
        }
        return ", about " + TimeUnit.MILLISECONDS.toMinutes(runMillisTotal / finishedRuns * runsLeft) + " min left";
    }

    private JsonNode runScenario(ExperimentPlan.Run run, Path runFolder, String script)
            throws IOException, InterruptedException {
        Files.createDirectories(runFolder);
        Path file = runFolder.resolve("day.yaml");
        Files.writeString(file, script);
        TraceWorkload.ReplaySettings trace = plan.trace() == null || Double.isNaN(run.speed())
                ? plan.trace()
                : plan.trace().atSpeed(run.speed());
        Scenario.run(
                file,
                trace,
                runFolder,
                program,
                List.of("--policy", run.policy().toUpperCase(Locale.ROOT)),
                new PrintStream(Files.newOutputStream(runFolder.resolve("progress.txt")), true));
        ObjectNode results = (ObjectNode) Results.read(runFolder);
        results.put("build", build).put("script", digest(script)).put("policy", run.policy());
        Results.write(runFolder, results);
        return results;
    }

    /** Returns the base script with the variations of this run. */
    private ObjectNode script(ExperimentPlan.Run run) throws IOException {
        ObjectNode script = (ObjectNode) YAML.readTree(plan.base().toFile());
        script.withObject("/day").put("seed", run.seed()).put("name", run.label());
        ScenarioScripts.resize(script, run.workers(), run.routers(), run.rate());
        if (run.faults() == ExperimentPlan.Faults.NONE) {
            script.remove("troubles");
        }
        return script;
    }

    private static String digest(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }

    private void writeTable() throws IOException {
        CSVFormat format = CSVFormat.DEFAULT
                .builder()
                .setRecordSeparator('\n')
                .setHeader(CSV_HEADER)
                .get();
        try (Writer writer = Files.newBufferedWriter(folder.resolve("results.csv"));
                CSVPrinter csv = format.print(writer)) {
            for (ExperimentPlan.Run run : plan.runs()) {
                JsonNode results = Results.read(folder.resolve(run.label()));
                csv.printRecord(record(run, results));
            }
        }
    }

    /** Returns the fields of a run, in the order of {@link #CSV_HEADER}. */
    private List<Object> record(ExperimentPlan.Run run, JsonNode results) {
        return Arrays.asList(
                run.label(),
                build,
                run.policy(),
                results.path("engines").asInt(),
                results.path("routers").asInt(),
                run.seed(),
                results.path("calls").asLong(),
                results.path("credit").asDouble(),
                results.path("worst10s").asDouble(),
                results.path("latency_ms").path("50.0").asDouble(),
                results.path("latency_ms").path("99.0").asDouble(),
                results.path("dismissed").asLong(),
                results.path("terminated").asLong(),
                results.path("unanswered").asLong(),
                results.path("lag_p99_ms").asDouble(),
                results.path("breaches").asInt(),
                results.path("faults").asInt());
    }
}
