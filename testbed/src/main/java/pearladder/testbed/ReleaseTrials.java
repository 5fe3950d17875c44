package pearladder.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import pearladder.rollout.RolloutAction;
import pearladder.rollout.RolloutController;
import pearladder.rollout.RolloutEvent;
import pearladder.rollout.RolloutPlan;
import pearladder.rollout.RolloutTarget;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Trials of the release module alone, in simulated time and with drawn results: shares reached against those asked for, and
 * how many of many releases were taken back, by how much worse the new version is.
 */
public final class ReleaseTrials {
    private static final int CALLS = 10_000;
    private static final int MODELS = 40;
    private static final int RELEASES = 200;
    private static final int LONGEST = 40_000;
    private static final double USUAL = 0.02;
    private static final int ENGINES = 6;

    private ReleaseTrials() {}

    /** Runs all trials; a line a result. The same each time. */
    public static List<String> run() {
        List<String> lines = new ArrayList<>();
        for (double asked : new double[] {0.05, 0.25, 0.5}) {
            lines.add(share(asked));
        }
        for (double excess : new double[] {0, 0.01, 0.02, 0.05, 0.1, 0.3, 0.98}) {
            lines.add(verdicts(excess));
        }
        return lines;
    }

    private static RolloutController started(String model, List<Double> steps, int step) {
        RolloutController releases = new RolloutController(TimeSpan.seconds(8));
        RolloutPlan plan = new RolloutPlan(
                model,
                "1",
                "2",
                steps,
                TimeSpan.ZERO,
                200,
                new RolloutPlan.Gate(0.05, 0.01, 0.05),
                RolloutPlan.Breach.ROLL_BACK);
        MonotonicTime now = new MonotonicTime(0);
        releases.on(
                now, new RolloutEvent.Kept(new RolloutTarget(1, plan, RolloutTarget.Mode.RUNNING, step, "trial", 0)));
        releases.on(now, new RolloutEvent.Standing(model, "2", 1));
        return releases;
    }

    private static String share(double asked) {
        double furthest = 0;
        int within = 0;
        for (int model = 0; model < MODELS; model++) {
            String name = "pair-" + model;
            RolloutController releases = started(name, List.of(asked, 1.0), 0);
            releases.on(new MonotonicTime(1), new RolloutEvent.Due());
            int given = 0;
            for (int call = 0; call < CALLS; call++) {
                given += use(releases, new MonotonicTime(2), name, "c" + call, "doc-" + call)
                                .equals("2")
                        ? 1
                        : 0;
                releases.on(new MonotonicTime(2), new RolloutEvent.CallLeft("c" + call));
            }
            double off = Math.abs((double) given / CALLS - asked);
            furthest = Math.max(furthest, off);
            within += off <= 0.01 ? 1 : 0;
        }
        double error = Math.sqrt(asked * (1 - asked) / CALLS);
        return String.format(
                Locale.ROOT,
                "share %.2f asked, %d calls of a key each: within 1 point at %d of %d models, furthest "
                        + "%.2f points (a fair draw's standard error is %.2f)",
                asked,
                CALLS,
                within,
                MODELS,
                furthest * 100,
                error * 100);
    }

    private static String use(RolloutController releases, MonotonicTime now, String model, String call, String key) {
        for (RolloutAction action : releases.on(now, new RolloutEvent.CallCame(call, model, key, ""))) {
            if (action instanceof RolloutAction.Use use) {
                return use.version();
            }
        }
        throw new IllegalStateException("no version for " + call);
    }

    private static String verdicts(double excess) {
        int back = 0;
        int through = 0;
        List<Integer> spent = new ArrayList<>();
        for (int trial = 0; trial < RELEASES; trial++) {
            SplittableRandom random = new SplittableRandom(trial);
            RolloutController releases = started("pair", List.of(0.05, 0.25, 1.0), 0);
            int given = 0;
            boolean ended = false;
            for (int call = 0; call < LONGEST && !ended; call++) {
                MonotonicTime now = new MonotonicTime(1_000_000L * (call + 1));
                String version = use(releases, now, "pair", "c" + call, "doc-" + call);
                boolean toNew = version.equals("2");
                given += toNew ? 1 : 0;
                boolean well = random.nextDouble() >= (toNew ? Math.min(1, USUAL + excess) : USUAL);
                for (RolloutAction action : releases.on(
                        now, new RolloutEvent.CallEnded("c" + call, well, List.of("e" + random.nextInt(ENGINES))))) {
                    ended |= action instanceof RolloutAction.Withdraw;
                }
                releases.on(now, new RolloutEvent.Due());
                if (!ended && releases.status().get(0).contains("share 1.00")) {
                    through++;
                    break;
                }
            }
            if (ended) {
                back++;
                spent.add(given);
            }
        }
        spent.sort(null);
        return String.format(
                Locale.ROOT,
                "worse by %.2f over a usual share of %.2f, %d releases of at most %d calls: %d taken back"
                        + "%s, %d went all the way, %d were still held",
                excess,
                USUAL,
                RELEASES,
                LONGEST,
                back,
                spent.isEmpty() ? "" : " after " + spent.get(spent.size() / 2) + " calls to it (median)",
                through,
                RELEASES - back - through);
    }
}
