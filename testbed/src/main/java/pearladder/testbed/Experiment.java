package pearladder.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/**
 * Runs a grid one by one; each run's results stand in a folder of its own, so that an experiment that was cut off goes on
 * where it was. A run is done again where the build or its script has changed since.
 */
public final class Experiment {
    private static final YAMLMapper YAML = new YAMLMapper();

    private final ExperimentPlan plan;
    private final Path out;
    private final List<String> program;
    private final String build;
    private final PrintStream progress;

    private Experiment(ExperimentPlan plan, Path out, List<String> program, String build, PrintStream progress) {
        this.plan = plan;
        this.out = out;
        this.program = program;
        this.build = build;
        this.progress = progress;
    }

    /** Only reads a file and its base; throws {@link pearladder.config.Mistakes.Found} with every mistake. */
    public static void check(Path file) {
        ScenarioPlan.read(ExperimentPlan.read(file).base());
    }

    /**
     * Runs what is not there yet, then writes results.csv and report.html.
     *
     * @param build which build this is, kept with each run
     * @return how many runs broke a rule or had a fault
     */
    public static int run(Path file, Path out, List<String> program, String build, PrintStream progress)
            throws IOException, InterruptedException {
        ExperimentPlan plan = ExperimentPlan.read(file);
        ScenarioPlan.read(plan.base());
        Files.createDirectories(out);
        return new Experiment(plan, out, program, build, progress).run();
    }

    private int run() throws IOException, InterruptedException {
        int broken = 0;
        long spent = 0;
        int done = 0;
        for (int i = 0; i < plan.runs().size(); i++) {
            ExperimentPlan.Run run = plan.runs().get(i);
            Path folder = out.resolve(run.label());
            String script = YAML.writeValueAsString(script(run));
            JsonNode results = Results.read(folder);
            if (results == null
                    || !results.path("build").asText().equals(build)
                    || !results.path("script").asText().equals(digest(script))) {
                String left = done == 0
                        ? ""
                        : ", about " + spent / done * (plan.runs().size() - i) / 60_000 + " min left";
                progress.println("run " + (i + 1) + " of " + plan.runs().size() + ": " + run.label() + left);
                long begun = System.nanoTime();
                results = play(run, folder, script);
                spent += (System.nanoTime() - begun) / 1_000_000;
                done++;
            }
            progress.println(String.format(
                    Locale.ROOT,
                    "  %s: credit %.3f, worst 10 s %.3f, p99 %.0f ms",
                    run.label(),
                    results.path("credit").asDouble(),
                    results.path("worst10s").asDouble(),
                    results.path("latency_ms").path("99.0").asDouble()));
            broken += results.path("breaches").asInt() + results.path("faults").asInt() > 0 ? 1 : 0;
        }
        table();
        progress.println("report: " + Report.write(out));
        return broken;
    }

    private JsonNode play(ExperimentPlan.Run run, Path folder, String script) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Path file = folder.resolve("day.yaml");
        Files.writeString(file, script);
        TraceWorkload.Terms trace = plan.trace() == null || Double.isNaN(run.speed())
                ? plan.trace()
                : plan.trace().at(run.speed());
        Scenario.play(
                file,
                trace,
                folder,
                program,
                List.of("--policy", run.policy().toUpperCase(Locale.ROOT)),
                new PrintStream(Files.newOutputStream(folder.resolve("progress.txt")), true));
        ObjectNode results = (ObjectNode) Results.read(folder);
        results.put("build", build).put("script", digest(script)).put("policy", run.policy());
        Results.write(folder, results);
        return results;
    }

    /** The base's script with what this run varies. */
    private ObjectNode script(ExperimentPlan.Run run) throws IOException {
        ObjectNode script = (ObjectNode) YAML.readTree(plan.base().toFile());
        script.withObject("/day").put("seed", run.seed()).put("name", run.label());
        Scripts.resize(script, run.engines(), run.routers(), run.rate());
        if (run.troubles() == ExperimentPlan.Troubles.NONE) {
            script.remove("troubles");
        }
        return script;
    }

    private static String digest(String text) {
        java.util.zip.CRC32 crc = new java.util.zip.CRC32();
        crc.update(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }

    private void table() throws IOException {
        try (Writer writer = Files.newBufferedWriter(out.resolve("results.csv"));
                CSVPrinter csv = CSVFormat.DEFAULT
                        .builder()
                        .setRecordSeparator('\n')
                        .setHeader(
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
                                "faults")
                        .get()
                        .print(writer)) {
            for (ExperimentPlan.Run run : plan.runs()) {
                JsonNode results = Results.read(out.resolve(run.label()));
                csv.printRecord(
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
    }
}
