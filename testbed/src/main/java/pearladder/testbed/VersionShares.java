package pearladder.testbed;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pearladder.emulator.Observation;
import pearladder.kserve.RequestOutcome;

/** Rollout results seen by clients: the new version's share of the answers in each window, and rollback delays. */
final class VersionShares {
    /** The model named in an answer, "model@version"; the version is empty if the answer names none. */
    record VersionedModel(String model, String version) {
        static VersionedModel of(Observation seen) {
            int separator = seen.model().lastIndexOf('@');
            return separator < 0
                    ? new VersionedModel(seen.model(), "")
                    : new VersionedModel(
                            seen.model().substring(0, separator), seen.model().substring(separator + 1));
        }
    }

    /** A rollout of the models with a name prefix to a version. */
    private record Rollout(String prefix, String version) {
        static Rollout of(RolloutScript.Order start) {
            return new Rollout(start.modelPrefix(), newVersion(start));
        }

        String name() {
            return prefix + "@" + version;
        }
    }

    private static final class Answers {
        private long total;
        private long byNewVersion;

        String share() {
            return String.format(Locale.ROOT, "%.2f", (double) byNewVersion / total);
        }
    }

    private VersionShares() {}

    /**
     * Returns lines for the table of a scenario.
     *
     * @param observations ordered by time for each observer
     * @param startedAt start of the scenario on the observations' clock, in nanoseconds
     */
    static List<String> lines(List<Observation> observations, long startedAt, List<RolloutScript.Order> orders) {
        Map<String, Rollout> rollouts = new TreeMap<>();
        Map<String, Set<String>> models = new TreeMap<>();
        for (RolloutScript.Order order : orders) {
            if (order.plan() != null) {
                Rollout rollout = Rollout.of(order);
                rollouts.put(rollout.name(), rollout);
                models.computeIfAbsent(rollout.name(), name -> new HashSet<>()).addAll(order.models());
            }
        }
        List<String> lines = new ArrayList<>();
        rollouts.forEach((name, rollout) -> lines.add(
                shareLine(rollout, models.get(name), answers(observations, startedAt, rollout, models.get(name)))));
        lines.addAll(new RollbackDelays(observations, orders).lines());
        return lines;
    }

    /** Returns the target version of a start order. */
    static String newVersion(RolloutScript.Order start) {
        return start.plan().path("to").asText();
    }

    private static TreeMap<Long, Answers> answers(
            List<Observation> observations, long startedAt, Rollout rollout, Set<String> models) {
        TreeMap<Long, Answers> windows = new TreeMap<>();
        for (Observation seen : observations) {
            VersionedModel answered = VersionedModel.of(seen);
            if (seen.event().equals(Observation.ANSWERED)
                    && seen.note().equals(RequestOutcome.SETTLED.code())
                    && models.contains(answered.model())
                    && seen.at() >= startedAt) {
                long number = (seen.at() - startedAt) / LoadStatistics.WINDOW_NANOS;
                Answers answers = windows.computeIfAbsent(number, key -> new Answers());
                answers.total++;
                answers.byNewVersion += answered.version().equals(rollout.version()) ? 1 : 0;
            }
        }
        return windows;
    }

    private static String shareLine(Rollout rollout, Set<String> models, TreeMap<Long, Answers> windows) {
        List<String> shares = windows.values().stream().map(Answers::share).toList();
        return "share of " + rollout.name() + " in each 10 s, of " + models.size() + " models: "
                + String.join(" ", shares);
    }
}
