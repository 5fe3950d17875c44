package pearladder.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import pearladder.simulation.Simulation;
import pearladder.testbed.Report;
import pearladder.testbed.Scripts;
import pearladder.testbed.TraceWorkload;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        description = {
            "Play a day's script in virtual time: the routers' own code, emulated engines and network, in one process.",
            "The same script and seed give the same digest. Ends with 1 where a rule or an expectation was not kept."
        })
final class RehearseCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the script")
    private Path file;

    @Option(
            names = "--engines",
            defaultValue = "0",
            description = "as many engines in place of the script's, in its shares")
    private int engines;

    @Option(names = "--routers", defaultValue = "0", description = "as many routers in place of the script's")
    private int routers;

    @Option(names = "--rate", defaultValue = "0", description = "calls a second in place of the script's")
    private double rate;

    @Option(names = "--seed", defaultValue = "-1", description = "in place of the script's")
    private int seed;

    @Option(names = "--trace", paramLabel = "FILE", description = "a trace's calls in place of the script's traffic")
    private Path trace;

    @Option(names = "--speed", defaultValue = "1", description = "of the trace (default: ${DEFAULT-VALUE})")
    private double speed;

    @Option(
            names = "--lasting",
            defaultValue = "0",
            paramLabel = "SECONDS",
            description = "of the trace; 0 for all of it")
    private double lasting;

    @Option(names = "--runs", defaultValue = "1", description = "one after the other seed (default: ${DEFAULT-VALUE})")
    private int runs;

    @Option(
            names = "--jobs",
            defaultValue = "1",
            description = "runs at once; the results are the same (default: ${DEFAULT-VALUE})")
    private int jobs;

    @Option(
            names = "--grow",
            split = ",",
            paramLabel = "ENGINESxROUTERS",
            description = {
                "the same day at these sizes, one after the other: calls, models and the shelf go with the engines;",
                "the page charts what grows. 100x10,1000x100"
            })
    private List<String> sizes = List.of();

    @Option(names = "--sockets", description = "the same script with processes over sockets")
    private boolean sockets;

    @Option(
            names = "--out",
            defaultValue = "rehearse-out",
            paramLabel = "DIR",
            description = "results and the report's page")
    private Path out;

    @Option(names = "--policy", defaultValue = "MODULE", description = "who decides: ${COMPLETION-CANDIDATES}")
    private PolicyChoice policy;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Logs.setUp(Logs.Form.TEXT);
        Logs.quiet();
        ObjectNode script = (ObjectNode) new YAMLMapper().readTree(file.toFile());
        Scripts.check(file);
        Scripts.resize(script, engines, routers, rate);
        int first = seed >= 0 ? seed : script.at("/day/seed").asInt(1);
        TraceWorkload.Terms terms = trace == null
                ? null
                : new TraceWorkload.Terms(
                        trace,
                        null,
                        null,
                        null,
                        speed,
                        60_000_000_000L,
                        0,
                        Math.round(lasting * 1e9),
                        1,
                        500_000_000L,
                        20_000_000L,
                        false);
        if (sockets) {
            Files.createDirectories(out);
            Path written = out.resolve("day.yaml");
            script.withObject("/day").put("seed", first);
            new YAMLMapper().writeValue(written.toFile(), script);
            return ScenarioCommand.play(written, terms, out, policy);
        }
        if (!sizes.isEmpty()) {
            return grow(script, first);
        }
        ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, jobs));
        List<Future<Simulation.Outcome>> all = new ArrayList<>();
        for (int i = 0; i < runs; i++) {
            ObjectNode one = script.deepCopy();
            one.withObject("/day").put("seed", first + i);
            Path folder = runs == 1 ? out : out.resolve("run.s" + (first + i));
            all.add(pool.submit(() -> Simulation.play(
                    one, file.toString(), terms, policy.maker::make, folder, runs == 1 ? System.out : null)));
        }
        pool.shutdown();
        boolean kept = true;
        for (int i = 0; i < runs; i++) {
            try {
                Simulation.Outcome outcome = all.get(i).get();
                kept &= outcome.kept();
                if (runs == 1) {
                    System.out.println();
                    outcome.table().forEach(System.out::println);
                }
                System.out.println("seed " + (first + i) + ": " + line(outcome));
            } catch (ExecutionException failed) {
                if (failed.getCause() instanceof RuntimeException cause) {
                    throw cause;
                }
                throw new IOException(failed.getCause().getMessage(), failed.getCause());
            }
        }
        System.setProperty("java.awt.headless", "true");
        System.out.println("report: " + Report.write(out.toAbsolutePath().normalize()));
        return kept ? 0 : 1;
    }

    private int grow(ObjectNode script, int seed) throws IOException {
        boolean kept = true;
        for (String size : sizes) {
            if (!size.matches("[1-9][0-9]{0,5}x[1-9][0-9]{0,4}")) {
                throw new IOException("--grow " + size + ": a size is ENGINESxROUTERS, such as 1000x100");
            }
            ObjectNode grown = script.deepCopy();
            grown.withObject("/day").put("seed", seed);
            String[] parts = size.split("x");
            Scripts.grow(grown, Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
            Simulation.Outcome outcome =
                    Simulation.play(grown, file.toString(), policy.maker::make, out.resolve(size), System.out);
            kept &= outcome.kept();
            System.out.println(size + ": " + line(outcome));
        }
        System.setProperty("java.awt.headless", "true");
        System.out.println("report: " + Report.write(out.toAbsolutePath().normalize()));
        return kept ? 0 : 1;
    }

    private static String line(Simulation.Outcome outcome) {
        return String.format(
                Locale.ROOT,
                "credit %.3f, worst 10 s %.3f, %d calls, %d loads, digest %s, %s; %d events at %.0f a second,"
                        + " decisions %.2f us each, %d list entries told, %.1f s of this machine",
                outcome.credit(),
                outcome.worst(),
                outcome.calls(),
                outcome.loads(),
                outcome.digest(),
                outcome.kept() ? "kept" : "NOT KEPT",
                outcome.events(),
                outcome.events() / outcome.wallSeconds(),
                outcome.decidedNanos() / 1e3 / Math.max(1, outcome.decisions()),
                outcome.told(),
                outcome.wallSeconds());
    }
}
