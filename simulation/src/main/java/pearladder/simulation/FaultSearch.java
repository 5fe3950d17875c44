package pearladder.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
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
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import pearladder.testbed.ScenarioPlan;

/**
 * Looks for the seed and the troubles, their times and their overlap, under which a router does worst or a rule breaks, and
 * makes what it found as small as it stays as bad. The search is as repeatable as a rehearsal is.
 */
public final class FaultSearch {
    /**
     * What was found.
     *
     * @param script as small as it could be made
     * @param rule that breaks, in words; empty where none does and it is only the credit that is low
     */
    public record Found(ObjectNode script, String rule, double credit, int rehearsed) {}

    private static final int MOST = 6;
    private static final int ROUNDS = 4;
    private static final double AS_BAD = 0.02;
    private static final long SECOND = 1_000_000_000L;
    private static final YAMLMapper YAML = new YAMLMapper();

    private final ObjectNode base;
    private final String name;
    private final Simulation.Maker maker;
    private final ExecutorService pool;
    private final PrintStream progress;
    private final SplittableRandom chance;
    private final ScenarioPlan plan;
    private int rehearsed;

    private FaultSearch(
            ObjectNode base, String name, Simulation.Maker maker, ExecutorService pool, PrintStream progress)
            throws IOException {
        this.base = base;
        this.name = name;
        this.maker = maker;
        this.pool = pool;
        this.progress = progress;
        this.plan = ScenarioPlan.read(pearladder.config.YamlParser.read(name, YAML.writeValueAsString(base)));
        this.chance = new SplittableRandom(plan.seed());
    }

    /** One script and what it came to. */
    private record Tried(ObjectNode script, Simulation.Outcome outcome) {
        String rule() {
            return outcome.verdict().breaches().isEmpty()
                    ? ""
                    : outcome.verdict().breaches().get(0).rule().words();
        }

        /** The lower the worse; a broken rule is worse than any credit. */
        double worth() {
            return outcome.verdict().breaches().isEmpty() ? outcome.credit() : outcome.credit() - 2;
        }
    }

    /**
     * Searches.
     *
     * @param script whose fleet, traffic and rules are kept, and whose troubles are replaced
     * @param tries scripts that are drawn
     * @param jobs rehearsals at once; what is found does not depend on it
     */
    public static Found search(
            ObjectNode script, String name, Simulation.Maker maker, int tries, int jobs, PrintStream progress)
            throws IOException, InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, jobs));
        try {
            return new FaultSearch(script, name, maker, pool, progress).search(tries);
        } finally {
            pool.shutdownNow();
        }
    }

    private Found search(int tries) throws IOException, InterruptedException {
        List<ObjectNode> drawn = new ArrayList<>();
        for (int i = 0; i < tries; i++) {
            drawn.add(draw());
        }
        Tried worst = play(drawn).stream()
                .min(Comparator.comparingDouble(Tried::worth))
                .orElseThrow();
        say("drawn " + tries, worst);
        for (int round = 0; round < ROUNDS; round++) {
            List<ObjectNode> near = new ArrayList<>();
            for (int i = 0; i < Math.max(4, tries / 4); i++) {
                near.add(shifted(worst.script()));
            }
            Tried best = play(near).stream()
                    .min(Comparator.comparingDouble(Tried::worth))
                    .orElseThrow();
            if (best.worth() < worst.worth()) {
                worst = best;
                say("shifted, round " + (round + 1), worst);
            }
        }
        Tried small = shrink(worst);
        say("made small", small);
        return new Found(small.script(), small.rule(), small.outcome().credit(), rehearsed);
    }

    private void say(String what, Tried tried) {
        progress.println(String.format(
                Locale.ROOT,
                "%s: credit %.3f, %d troubles, %s",
                what,
                tried.outcome().credit(),
                tried.script().path("troubles").size(),
                tried.rule().isEmpty() ? "rules kept" : "broken: " + tried.rule()));
    }

    private List<Tried> play(List<ObjectNode> scripts) throws IOException, InterruptedException {
        List<Future<Simulation.Outcome>> all = new ArrayList<>();
        for (ObjectNode script : scripts) {
            all.add(pool.submit(() -> Simulation.play(script, name, maker, null, null)));
        }
        List<Tried> tried = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            try {
                tried.add(new Tried(scripts.get(i), all.get(i).get()));
                rehearsed++;
            } catch (ExecutionException failed) {
                Path left = Files.createTempFile("pearladder-search", ".yaml");
                YAML.writeValue(left.toFile(), scripts.get(i));
                throw new IOException(
                        "a rehearsal failed, its script is " + left + ": " + failed.getCause(), failed.getCause());
            }
        }
        return tried;
    }

    // ---- drawing

    private ObjectNode draw() {
        ObjectNode script = base.deepCopy();
        script.withObject("/day").put("seed", chance.nextInt(1_000_000));
        ArrayNode troubles = script.putArray("troubles");
        int count = 1 + chance.nextInt(MOST);
        for (int i = 0; i < count; i++) {
            troubles.add(trouble());
        }
        return script;
    }

    private ObjectNode trouble() {
        ScenarioPlan.Kind[] kinds = ScenarioPlan.Kind.values();
        ScenarioPlan.Kind kind = kinds[chance.nextInt(kinds.length)];
        double day = plan.lasting() / (double) SECOND;
        double lasting = Math.min(
                day / 2,
                switch (kind) {
                    case RELEASE, RESET, LIST_CUT -> 0;
                    default -> 0.5 + chance.nextDouble() * day / 4;
                });
        double at = chance.nextDouble() * (day - lasting);
        ObjectNode trouble = YAML.createObjectNode()
                .put("at", millis(at))
                .put("lasting", millis(lasting))
                .put("what", kind.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .put("share", Math.round(5 + chance.nextInt(60)) / 100.0)
                .put("part", Math.round(20 + chance.nextInt(80)) / 100.0)
                .put("times", 1 + chance.nextInt(9));
        if (chance.nextInt(3) == 0 || kind == ScenarioPlan.Kind.HALL_LOST) {
            trouble.put("hall", plan.halls().get(chance.nextInt(plan.halls().size())));
        }
        return trouble;
    }

    private static String millis(double seconds) {
        return Math.round(seconds * 1000) + " ms";
    }

    /** The same troubles at other moments, one of them another, or one more. */
    private ObjectNode shifted(ObjectNode of) {
        ObjectNode script = of.deepCopy();
        ArrayNode troubles = (ArrayNode) script.path("troubles");
        for (JsonNode trouble : troubles) {
            if (chance.nextInt(2) == 0) {
                move((ObjectNode) trouble, chance.nextDouble() * 6 - 3);
            }
        }
        int how = chance.nextInt(4);
        if (how == 0) {
            script.withObject("/day").put("seed", chance.nextInt(1_000_000));
        } else if (how == 1 && troubles.size() < MOST) {
            troubles.add(trouble());
        } else if (how == 2) {
            troubles.set(chance.nextInt(troubles.size()), trouble());
        }
        return script;
    }

    private void move(ObjectNode trouble, double seconds) {
        long lasting = number(trouble, "lasting");
        long at = Math.max(
                0, Math.min(plan.lasting() / 1_000_000 - lasting, number(trouble, "at") + Math.round(seconds * 1000)));
        trouble.put("at", at + " ms");
    }

    private static long number(JsonNode trouble, String key) {
        return Long.parseLong(trouble.path(key).asText().split(" ")[0]);
    }

    // ---- making small

    private Tried shrink(Tried found) throws IOException, InterruptedException {
        Tried small = found;
        boolean smaller = true;
        while (smaller) {
            smaller = false;
            List<ObjectNode> less = new ArrayList<>();
            int count = small.script().path("troubles").size();
            for (int i = 0; i < count; i++) {
                ObjectNode without = small.script().deepCopy();
                ((ArrayNode) without.path("troubles")).remove(i);
                less.add(without);
            }
            for (int i = 0; i < count; i++) {
                ObjectNode shorter = small.script().deepCopy();
                ObjectNode trouble = (ObjectNode) shorter.path("troubles").get(i);
                if (number(trouble, "lasting") > 1000) {
                    less.add(shorter);
                    trouble.put("lasting", number(trouble, "lasting") / 2 + " ms");
                }
            }
            for (Tried tried : play(less)) {
                boolean asBad = found.rule().isEmpty()
                        ? tried.outcome().credit() <= found.outcome().credit() + AS_BAD
                        : tried.rule().equals(found.rule());
                if (asBad) {
                    small = tried;
                    smaller = true;
                    break;
                }
            }
        }
        return small;
    }
}
