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
 * Trials of the rollout controller alone, in simulated time and with random results: traffic shares reached against
 * those configured, and the number of rollouts rolled back, by the excess failure rate of the new version.
 */
public final class RolloutTrials {
    private static final double[] CONFIGURED_SHARES = {0.05, 0.25, 0.5};
    private static final double[] EXCESS_FAILURE_RATES = {0, 0.01, 0.02, 0.05, 0.1, 0.3, 0.98};
    private static final List<Double> STEPS = List.of(0.05, 0.25, 1.0);
    private static final String OLD_VERSION = "1";
    private static final String NEW_VERSION = "2";
    private static final String MODEL = "pair";
    /** Part of the controller's status of a rollout that has reached all requests. */
    private static final String COMPLETE = "share 1.00";

    private static final int REQUESTS_PER_MODEL = 10_000;
    private static final int MODELS = 40;
    private static final int ROLLOUTS = 200;
    private static final int MAX_REQUESTS_PER_ROLLOUT = 40_000;
    private static final double BASELINE_FAILURE_RATE = 0.02;
    private static final double SHARE_TOLERANCE = 0.01;
    private static final int WORKERS = 6;
    private static final long REQUEST_INTERVAL_NANOS = 1_000_000;
    private static final int LEAST_REQUESTS_PER_STEP = 200;
    private static final TimeSpan CONTROLLER_TIMEOUT = TimeSpan.seconds(8);

    private enum End {
        ROLLED_BACK,
        COMPLETED,
        HELD
    }

    /** How a rollout ended, and the number of requests sent to the new version. */
    private record Trial(End end, int requestsToNew) {}

    private RolloutTrials() {}

    /** Runs all trials and returns one line per result. The results are deterministic. */
    public static List<String> run() {
        List<String> lines = new ArrayList<>();
        for (double configuredShare : CONFIGURED_SHARES) {
            lines.add(shareLine(configuredShare));
        }
        for (double excess : EXCESS_FAILURE_RATES) {
            lines.add(rollbackLine(excess));
        }
        return lines;
    }

    private static RolloutController started(String model, List<Double> steps) {
        RolloutController controller = new RolloutController(CONTROLLER_TIMEOUT);
        RolloutPlan plan = new RolloutPlan(
                model,
                OLD_VERSION,
                NEW_VERSION,
                steps,
                TimeSpan.ZERO,
                LEAST_REQUESTS_PER_STEP,
                new RolloutPlan.Gate(0.05, 0.01, 0.05),
                RolloutPlan.Breach.ROLL_BACK);
        MonotonicTime now = new MonotonicTime(0);
        RolloutTarget target = new RolloutTarget(1, plan, RolloutTarget.Mode.RUNNING, 0, "trial", 0);
        controller.on(now, new RolloutEvent.TargetPersisted(target));
        controller.on(now, new RolloutEvent.InstancesReady(model, NEW_VERSION, 1));
        return controller;
    }

    private static String shareLine(double configuredShare) {
        double maxError = 0;
        int withinTolerance = 0;
        for (int i = 0; i < MODELS; i++) {
            double error = Math.abs(shareReached("pair-" + i, configuredShare) - configuredShare);
            maxError = Math.max(maxError, error);
            withinTolerance += error <= SHARE_TOLERANCE ? 1 : 0;
        }
        double standardError = Math.sqrt(configuredShare * (1 - configuredShare) / REQUESTS_PER_MODEL);
        return String.format(
                Locale.ROOT,
                "share %.2f asked, %d calls of a key each: within 1 point at %d of %d models, furthest "
                        + "%.2f points (a fair draw's standard error is %.2f)",
                configuredShare,
                REQUESTS_PER_MODEL,
                withinTolerance,
                MODELS,
                maxError * 100,
                standardError * 100);
    }

    private static double shareReached(String model, double configuredShare) {
        RolloutController controller = started(model, List.of(configuredShare, 1.0));
        controller.on(new MonotonicTime(1), new RolloutEvent.Tick());
        MonotonicTime now = new MonotonicTime(2);
        int requestsToNew = 0;
        for (int i = 0; i < REQUESTS_PER_MODEL; i++) {
            boolean toNew = isNew(versionFor(controller, now, model, i));
            requestsToNew += toNew ? 1 : 0;
            controller.on(now, new RolloutEvent.ClientDisconnected("c" + i));
        }
        return (double) requestsToNew / REQUESTS_PER_MODEL;
    }

    private static boolean isNew(String version) {
        return version.equals(NEW_VERSION);
    }

    private static String versionFor(RolloutController controller, MonotonicTime now, String model, int request) {
        String id = "c" + request;
        for (RolloutAction action :
                controller.on(now, new RolloutEvent.RequestReceived(id, model, "doc-" + request, ""))) {
            if (action instanceof RolloutAction.UseVersion use) {
                return use.version();
            }
        }
        throw new IllegalStateException("no version for " + id);
    }

    private static String rollbackLine(double excess) {
        int completed = 0;
        List<Integer> requestsBeforeRollback = new ArrayList<>();
        for (int seed = 0; seed < ROLLOUTS; seed++) {
            Trial trial = rollout(seed, excess);
            completed += trial.end() == End.COMPLETED ? 1 : 0;
            if (trial.end() == End.ROLLED_BACK) {
                requestsBeforeRollback.add(trial.requestsToNew());
            }
        }
        requestsBeforeRollback.sort(null);
        int rolledBack = requestsBeforeRollback.size();
        String median =
                rolledBack == 0 ? "" : " after " + requestsBeforeRollback.get(rolledBack / 2) + " calls to it (median)";
        return String.format(
                Locale.ROOT,
                "worse by %.2f over a usual share of %.2f, %d releases of at most %d calls: %d taken back"
                        + "%s, %d went all the way, %d were still held",
                excess,
                BASELINE_FAILURE_RATE,
                ROLLOUTS,
                MAX_REQUESTS_PER_ROLLOUT,
                rolledBack,
                median,
                completed,
                ROLLOUTS - rolledBack - completed);
    }

    private static Trial rollout(int seed, double excess) {
        SplittableRandom random = new SplittableRandom(seed);
        RolloutController controller = started(MODEL, STEPS);
        int requestsToNew = 0;
        for (int i = 0; i < MAX_REQUESTS_PER_ROLLOUT; i++) {
            MonotonicTime now = new MonotonicTime(REQUEST_INTERVAL_NANOS * (i + 1));
            boolean toNew = isNew(versionFor(controller, now, MODEL, i));
            requestsToNew += toNew ? 1 : 0;
            double failureRate = toNew ? Math.min(1, BASELINE_FAILURE_RATE + excess) : BASELINE_FAILURE_RATE;
            boolean succeeded = random.nextDouble() >= failureRate;
            List<String> workers = List.of("e" + random.nextInt(WORKERS));
            List<RolloutAction> actions =
                    controller.on(now, new RolloutEvent.RequestCompleted("c" + i, succeeded, workers));
            boolean rolledBack = actions.stream().anyMatch(RolloutAction.ReleaseInstances.class::isInstance);
            controller.on(now, new RolloutEvent.Tick());
            if (rolledBack) {
                return new Trial(End.ROLLED_BACK, requestsToNew);
            }
            if (controller.status().get(0).contains(COMPLETE)) {
                return new Trial(End.COMPLETED, requestsToNew);
            }
        }
        return new Trial(End.HELD, requestsToNew);
    }
}
