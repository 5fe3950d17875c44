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
import pearladder.testbed.ScenarioScripts;
import pearladder.testbed.TraceWorkload;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays a scenario in virtual time. */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        description = {
            "Play a scenario in virtual time: the routers' own code, emulated workers and network, in one process.",
            "The same script and seed give the same digest. Ends with 1 if an invariant or an expectation was broken."
        })
final class SimulationCommand implements Callable<Integer> {
    /** Longest time by which rows of a trace may be out of order and still be put in order. */
    private static final long REORDER_WINDOW_NANOS = 60_000_000_000L;

    private static final long MAX_WORK_NANOS = 500_000_000L;
    private static final long DEFAULT_WORK_NANOS = 20_000_000L;

    @Parameters(paramLabel = "FILE", description = "the script")
    private Path file;

    @Option(
            names = "--engines",
            defaultValue = "0",
            description = "number of workers in place of the script's, in its shares")
    private int engines;

    @Option(names = "--routers", defaultValue = "0", description = "number of routers in place of the script's")
    private int routers;

    @Option(names = "--rate", defaultValue = "0", description = "requests a second in place of the script's")
    private double rate;

    @Option(names = "--seed", defaultValue = "-1", description = "seed in place of the script's")
    private int seed;

    @Option(names = "--trace", paramLabel = "FILE", description = "a trace's requests in place of the script's traffic")
    private Path trace;

    @Option(
            names = "--speed",
            defaultValue = "1",
            description = "factor on the trace's speed (default: ${DEFAULT-VALUE})")
    private double speed;

    @Option(
            names = "--lasting",
            defaultValue = "0",
            paramLabel = "SECONDS",
            description = "play this much of the trace; 0 for all of it")
    private double lasting;

    @Option(
            names = "--runs",
            defaultValue = "1",
            description = "runs with consecutive seeds (default: ${DEFAULT-VALUE})")
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
                "the same scenario at these sizes, one after the other;",
                "requests, models and model store grow with the workers;",
                "the report charts what grows. 100x10,1000x100"
            })
    private List<String> sizes = List.of();

    @Option(names = "--sockets", description = "run the same script with processes over sockets")
    private boolean sockets;

    @Option(names = "--out", defaultValue = "rehearse-out", paramLabel = "DIR", description = "results and report")
    private Path out;

    @Option(names = "--policy", defaultValue = "MODULE", description = "which policy decides: ${COMPLETION-CANDIDATES}")
    private PolicyChoice policy;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Logs.setUp(Logs.Form.TEXT);
        Logs.quiet();
        ObjectNode script = (ObjectNode) new YAMLMapper().readTree(file.toFile());
        ScenarioScripts.check(file);
        ScenarioScripts.resize(script, engines, routers, rate);
        int firstSeed = seed >= 0 ? seed : script.at("/day/seed").asInt(1);
        if (sockets) {
            return runOverSockets(script, firstSeed);
        }
        boolean kept = sizes.isEmpty() ? runSeeds(script, firstSeed) : runSizes(script, firstSeed);
        System.setProperty("java.awt.headless", "true");
        System.out.println("report: " + Report.write(out.toAbsolutePath().normalize()));
        return kept ? 0 : 1;
    }

    /** Returns the trace that replaces the script's traffic; null for none. */
    private TraceWorkload.ReplaySettings traceTerms() {
        if (trace == null) {
            return null;
        }
        return new TraceWorkload.ReplaySettings(
                trace,
                null,
                null,
                null,
                speed,
                REORDER_WINDOW_NANOS,
                0,
                Math.round(lasting * 1e9),
                1,
                MAX_WORK_NANOS,
                DEFAULT_WORK_NANOS,
                false);
    }

    private int runOverSockets(ObjectNode script, int firstSeed) throws IOException, InterruptedException {
        Files.createDirectories(out);
        Path resized = out.resolve("day.yaml");
        script.withObject("/day").put("seed", firstSeed);
        new YAMLMapper().writeValue(resized.toFile(), script);
        return ScenarioCommand.play(resized, traceTerms(), out, policy);
    }

    /** Runs one simulation for each seed, some at once; returns whether all kept the invariants and expectations. */
    private boolean runSeeds(ObjectNode script, int firstSeed) throws IOException, InterruptedException {
        TraceWorkload.ReplaySettings terms = traceTerms();
        ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, jobs));
        List<Future<Simulation.Result>> outcomes = new ArrayList<>();
        for (int i = 0; i < runs; i++) {
            ObjectNode seeded = script.deepCopy();
            seeded.withObject("/day").put("seed", firstSeed + i);
            Path folder = runs == 1 ? out : out.resolve("run.s" + (firstSeed + i));
            outcomes.add(pool.submit(() -> Simulation.run(
                    seeded, file.toString(), terms, policy.maker::create, folder, runs == 1 ? System.out : null)));
        }
        pool.shutdown();
        boolean kept = true;
        for (int i = 0; i < runs; i++) {
            Simulation.Result outcome = await(outcomes.get(i));
            kept &= outcome.passed();
            if (runs == 1) {
                System.out.println();
                outcome.table().forEach(System.out::println);
            }
            System.out.println("seed " + (firstSeed + i) + ": " + summary(outcome));
        }
        return kept;
    }

    private static Simulation.Result await(Future<Simulation.Result> run) throws IOException, InterruptedException {
        try {
            return run.get();
        } catch (ExecutionException failure) {
            if (failure.getCause() instanceof RuntimeException cause) {
                throw cause;
            }
            throw new IOException(failure.getCause().getMessage(), failure.getCause());
        }
    }

    /** Runs the scenario at each size; returns whether all runs kept the invariants and expectations. */
    private boolean runSizes(ObjectNode script, int firstSeed) throws IOException {
        boolean kept = true;
        for (String size : sizes) {
            if (!size.matches("[1-9][0-9]{0,5}x[1-9][0-9]{0,4}")) {
                throw new IOException("--grow " + size + ": a size is ENGINESxROUTERS, such as 1000x100");
            }
            ObjectNode grown = script.deepCopy();
            grown.withObject("/day").put("seed", firstSeed);
            String[] parts = size.split("x");
            ScenarioScripts.grow(grown, Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
            Simulation.Result outcome =
                    Simulation.run(grown, file.toString(), policy.maker::create, out.resolve(size), System.out);
            kept &= outcome.passed();
            System.out.println(size + ": " + summary(outcome));
        }
        return kept;
    }

    private static String summary(Simulation.Result outcome) {
        return String.format(
                Locale.ROOT,
                "credit %.3f, worst 10 s %.3f, %d calls, %d loads, digest %s, %s; %d events at %.0f a second,"
                        + " decisions %.2f us each, %d list entries told, %.1f s of this machine",
                outcome.credit(),
                outcome.worstWindowCredit(),
                outcome.requests(),
                outcome.loads(),
                outcome.digest(),
                outcome.passed() ? "kept" : "NOT KEPT",
                outcome.events(),
                outcome.events() / outcome.wallSeconds(),
                outcome.decisionNanos() / 1e3 / Math.max(1, outcome.decisions()),
                outcome.endpointsSent(),
                outcome.wallSeconds());
    }
}
