package pearladder.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Supplier;
import pearladder.config.YamlParser;
import pearladder.testbed.ScenarioPlan;

/**
 * Searches for the seed and the timing and overlap of faults that give the lowest credit or violate an invariant. It
 * draws random scenarios, varies the worst of them, and reduces the result while it stays as bad. The search is
 * deterministic: the same script gives the same result.
 */
public final class FaultSearch {
    /**
     * Worst scenario found.
     *
     * @param script the scenario's script, reduced as far as possible
     * @param violatedInvariant description of the violated invariant; empty if only the credit is low
     * @param credit credit that the clients got, 0 to 1
     * @param runs number of scenarios that were run
     */
    public record Found(ObjectNode script, String violatedInvariant, double credit, int runs) {}

    /** One script with the result of its run. */
    private record Trial(ObjectNode script, Simulation.Result outcome) {
        /** Returns the description of the first violated invariant; empty if none was violated. */
        String brokenInvariant() {
            return outcome.verdict().violations().isEmpty()
                    ? ""
                    : outcome.verdict().violations().get(0).rule().description();
        }

        /** Returns the score of the run. Lower is worse; a violated invariant is worse than any credit. */
        double score() {
            return outcome.verdict().violations().isEmpty()
                    ? outcome.credit()
                    : outcome.credit() - INVARIANT_VIOLATION_PENALTY;
        }

        boolean isAsBadAs(Trial other) {
            return other.brokenInvariant().isEmpty()
                    ? outcome.credit() <= other.outcome().credit() + CREDIT_TOLERANCE
                    : brokenInvariant().equals(other.brokenInvariant());
        }
    }

    private static final int VARIATION_ROUNDS = 4;
    private static final int MIN_VARIATIONS = 4;
    /** Greater than the largest possible difference of two credits. */
    private static final double INVARIANT_VIOLATION_PENALTY = 2;
    /** Maximum by which a reduced scenario's credit may exceed the original's. */
    private static final double CREDIT_TOLERANCE = 0.02;

    private static final YAMLMapper YAML = new YAMLMapper();

    private final String name;
    private final Simulation.PolicyFactory policyFactory;
    private final ExecutorService pool;
    private final PrintStream progress;
    private final FaultScenarioGenerator generator;
    private int runs;

    private FaultSearch(
            ObjectNode base,
            String name,
            Simulation.PolicyFactory policyFactory,
            ExecutorService pool,
            PrintStream progress)
            throws IOException {
        this.name = name;
        this.policyFactory = policyFactory;
        this.pool = pool;
        this.progress = progress;
        ScenarioPlan plan = ScenarioPlan.read(YamlParser.parse(name, YAML.writeValueAsString(base)));
        this.generator = new FaultScenarioGenerator(base, plan);
    }

    /**
     * Searches for the worst scenario.
     *
     * @param script script whose fleet, traffic and rules are kept and whose faults are replaced
     * @param name name of the script in error messages
     * @param draws number of scenarios to draw
     * @param jobs number of concurrent runs; the result does not depend on it
     * @param progress receives a line after each step
     */
    public static Found search(
            ObjectNode script,
            String name,
            Simulation.PolicyFactory policyFactory,
            int draws,
            int jobs,
            PrintStream progress)
            throws IOException, InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, jobs));
        try {
            return new FaultSearch(script, name, policyFactory, pool, progress).search(draws);
        } finally {
            pool.shutdownNow();
        }
    }

    private Found search(int draws) throws IOException, InterruptedException {
        Trial worst = worstOf(draws, generator::draw);
        report("drawn " + draws, worst);
        for (int round = 1; round <= VARIATION_ROUNDS; round++) {
            ObjectNode original = worst.script();
            Trial varied = worstOf(Math.max(MIN_VARIATIONS, draws / 4), () -> generator.vary(original));
            if (varied.score() < worst.score()) {
                worst = varied;
                report("varied, round " + round, worst);
            }
        }
        Trial reduced = reduce(worst);
        report("reduced", reduced);
        return new Found(
                reduced.script(), reduced.brokenInvariant(), reduced.outcome().credit(), runs);
    }

    private Trial worstOf(int count, Supplier<ObjectNode> scripts) throws IOException, InterruptedException {
        List<ObjectNode> drawn = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            drawn.add(scripts.get());
        }
        return run(drawn).stream().min(Comparator.comparingDouble(Trial::score)).orElseThrow();
    }

    private void report(String step, Trial trial) {
        progress.println(String.format(
                Locale.ROOT,
                "%s: credit %.3f, %d faults, %s",
                step,
                trial.outcome().credit(),
                trial.script().path("troubles").size(),
                trial.brokenInvariant().isEmpty() ? "invariants kept" : "violated: " + trial.brokenInvariant()));
    }

    /** Runs all scripts and waits for completion; writes a script whose run fails to a file for inspection. */
    private List<Trial> run(List<ObjectNode> scripts) throws IOException, InterruptedException {
        List<Future<Simulation.Result>> outcomes = new ArrayList<>();
        for (ObjectNode script : scripts) {
            outcomes.add(pool.submit(() -> Simulation.run(script, name, policyFactory, null, null)));
        }
        List<Trial> trials = new ArrayList<>();
        for (int i = 0; i < scripts.size(); i++) {
            try {
                trials.add(new Trial(scripts.get(i), outcomes.get(i).get()));
                runs++;
            } catch (ExecutionException e) {
                Path scriptFile = Files.createTempFile("pearladder-search", ".yaml");
                YAML.writeValue(scriptFile.toFile(), scripts.get(i));
                throw new IOException("simulation of script " + scriptFile + " failed: " + e.getCause(), e.getCause());
            }
        }
        return trials;
    }

    /** Reduces a scenario step by step while it stays as bad. */
    private Trial reduce(Trial found) throws IOException, InterruptedException {
        Trial reduced = found;
        while (true) {
            List<ObjectNode> candidates = FaultScenarioGenerator.reductionsOf(reduced.script());
            Trial smaller = run(candidates).stream()
                    .filter(candidate -> candidate.isAsBadAs(found))
                    .findFirst()
                    .orElse(null);
            if (smaller == null) {
                return reduced;
            }
            reduced = smaller;
        }
    }
}
