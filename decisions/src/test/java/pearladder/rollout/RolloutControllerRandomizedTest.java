package pearladder.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pearladder.rollout.RolloutTarget.Mode;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

class RolloutControllerRandomizedTest extends RolloutTestBase {
    /** Targets are lost, duplicated and reordered, and routers restart: every router ends with the newest target. */
    @Test
    void everyRouterEndsWithTheNewestTarget() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<RolloutTarget> targets = randomTargets(random);
            RolloutTarget newest = targets.get(11);
            for (int router = 0; router < 4; router++) {
                List<RolloutTarget> received = new ArrayList<>(targets);
                received.addAll(targets.subList(3, 9));
                Collections.shuffle(received, new Random(seed * 31L + router));
                received.removeIf(target -> target != newest && random.nextInt(3) == 0);
                assertEquals(List.of(newest), followAll(received, random, seed).targets(), "seed " + seed);
            }
        }
    }

    private static List<RolloutTarget> randomTargets(SplittableRandom random) {
        RolloutPlan otherPlan =
                new RolloutPlan("pair", "2", "3", PLAN.steps(), PLAN.hold(), 5, GATE, RolloutPlan.Breach.PAUSE);
        List<RolloutTarget> targets = new ArrayList<>();
        for (int epoch = 1; epoch <= 12; epoch++) {
            RolloutPlan plan = random.nextInt(4) == 0 ? otherPlan : PLAN;
            targets.add(target(epoch, plan, Mode.values()[random.nextInt(3)], random.nextInt(3)));
        }
        return targets;
    }

    /** Passes the targets in turn to a router that is restarted at random, with its journal in random order. */
    private RolloutController followAll(List<RolloutTarget> received, SplittableRandom random, int seed) {
        List<RolloutTarget> journal = new ArrayList<>();
        RolloutController router = newController();
        for (RolloutTarget target : received) {
            only(order(router, now, target), RolloutAction.PersistTarget.class)
                    .forEach(persist -> journal.add(persist.target()));
            if (random.nextInt(6) == 0) {
                router = newController();
                List<RolloutTarget> shuffled = new ArrayList<>(journal);
                Collections.shuffle(shuffled, new Random(seed));
                router.on(now, new RolloutEvent.JournalRestored(shuffled, List.of()));
            }
        }
        return router;
    }

    /** Random targets, results and instances: each request gets one version, and keys move back only by a rollback. */
    @Test
    void movesKeysBackOnlyByARollback() {
        for (int seed = 0; seed < 60; seed++) {
            new RandomRun(seed).run();
        }
    }

    private static final class RandomRun {
        private final int seed;
        private final SplittableRandom random;
        private final RolloutController controller = newController();
        private final Set<String> keysOnNewVersion = new HashSet<>();
        private MonotonicTime now = new MonotonicTime(0);
        private long epoch;

        RandomRun(int seed) {
            this.seed = seed;
            this.random = new SplittableRandom(seed);
        }

        void run() {
            for (int step = 0; step < 600; step++) {
                now = now.plus(TimeSpan.millis(random.nextInt(400)));
                List<RolloutAction> actions = randomEvent(step);
                if (!only(actions, RolloutAction.ReleaseInstances.class).isEmpty()) {
                    keysOnNewVersion.clear();
                }
            }
        }

        private List<RolloutAction> randomEvent(int step) {
            switch (random.nextInt(20)) {
                case 0:
                    return orderRandomTarget();
                case 1:
                    return controller.on(now, new RolloutEvent.InstancesReady("pair", "2", random.nextDouble()));
                case 2:
                case 3:
                    return controller.on(now, new RolloutEvent.Tick());
                default:
                    return completeRequest(step);
            }
        }

        private List<RolloutAction> orderRandomTarget() {
            Mode mode = Mode.values()[random.nextInt(3)];
            List<RolloutAction> actions = order(controller, now, target(++epoch, PLAN, mode, random.nextInt(3)));
            if (mode == Mode.ROLLED_BACK) {
                keysOnNewVersion.clear();
            }
            return actions;
        }

        private List<RolloutAction> completeRequest(int step) {
            String key = "k" + random.nextInt(60);
            String requestId = "c" + step;
            List<RolloutAction.UseVersion> uses = only(
                    controller.on(now, new RolloutEvent.RequestReceived(requestId, "pair", key, "")),
                    RolloutAction.UseVersion.class);
            assertEquals(1, uses.size());
            boolean isNew = uses.get(0).version().equals("2");
            assertTrue(isNew || !keysOnNewVersion.contains(key), "a key moved back at seed " + seed + " step " + step);
            if (isNew) {
                keysOnNewVersion.add(key);
            }
            boolean isGood = random.nextInt(50) > 0;
            return controller.on(now, new RolloutEvent.RequestCompleted(requestId, isGood, List.of("e")));
        }
    }
}
