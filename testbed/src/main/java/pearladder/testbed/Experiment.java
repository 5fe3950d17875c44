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
 * Runs the scenarios of a grid one by one. Each run keeps its results in a folder of its own, so that an experiment
 * that was cut off resumes where it was; a run is repeated where the build or its script has changed since.
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
    private long spentMillis;
    private int finished;

    private Experiment(ExperimentPlan plan, Path folder, List<String> program, String build, PrintStream progress) {
        this.plan = plan;
        this.folder = folder;
        this.program = program;
        this.build = build;
        this.progress = progress;
    }

    /**
     * Only reads a file and its base.
     *
     * @throws pearladder.config.ConfigErrors.ConfigException with every mistake
     */
    public static void check(Path file) {
        ScenarioPlan.read(ExperimentPlan.read(file).base());
    }

    /**
     * Runs what has no results yet, then writes results.csv and report.html.
     *
     * @param folder for the runs' folders
     * @param program the command that runs this program
     * @param build which build this is, kept with each run
     * @return how many runs broke an invariant or had a fault
     */
    public static int run(Path file, Path folder, List<String> program, String build, PrintStream progress)
            throws IOException, InterruptedException {
        ExperimentPlan plan = ExperimentPlan.read(file);
        ScenarioPlan.read(plan.base());
        Files.createDirectories(folder);
        return new Experiment(plan, folder, program, build, progress).run();
    }

    private int run() throws IOException, InterruptedException {
        int broken = 0;
        for (int i = 0; i < plan.runs().size(); i++) {
            ExperimentPlan.Run run = plan.runs().get(i);
            JsonNode results = resultsOf(run, i);
            progress.println(String.format(
                    Locale.ROOT,
                    "  %s: credit %.3f, worst 10 s %.3f, p99 %.0f ms",
                    run.label(),
                    results.path("credit").asDouble(),
                    results.path("worst10s").asDouble(),
                    results.path("latency_ms").path("99.0").asDouble()));
            int wrong =
                    results.path("breaches").asInt() + results.path("faults").asInt();
            broken += wrong > 0 ? 1 : 0;
        }
        writeTable();
        progress.println("report: " + Report.write(folder));
        return broken;
    }

    /** The results of a run, which is run first where they are missing or of another build or script. */
    private JsonNode resultsOf(ExperimentPlan.Run run, int number) throws IOException, InterruptedException {
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
        JsonNode measured = play(run, runFolder, script);
        spentMillis += TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
        finished++;
        return measured;
    }

    private String timeLeft(int runsLeft) {
        if (finished == 0) {
            return "";
        }
        return ", about " + TimeUnit.MILLISECONDS.toMinutes(spentMillis / finished * runsLeft) + " min left";
    }

    private JsonNode play(ExperimentPlan.Run run, Path runFolder, String script)
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

    /** The base's script with what this run varies. */
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

    /** The fields of a run, in the order of {@link #CSV_HEADER}. */
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
