package pearladder.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pearladder.rollout.RolloutTarget.Mode;
import pearladder.routing.api.TimeSpan;

/** Targets from operators, from other routers and from the journal. */
class RolloutControllerTargetsTest extends RolloutTestBase {
    private List<RolloutAction.RejectTarget> rejections(RolloutEvent event) {
        return only(on(event), RolloutAction.RejectTarget.class);
    }

    @Test
    void rejectsASecondTargetOfTheSameEpochUnlessItIsTheSame() {
        order(1, Mode.RUNNING, 0);
        List<RolloutAction.RejectTarget> second =
                rejections(new RolloutEvent.TargetOrdered(new RolloutTarget(1, PLAN, Mode.PAUSED, 0, "other", 0)));
        assertEquals(1, second.size());
        assertTrue(
                second.get(0).reason().contains("ordered by ops"), second.get(0).reason());
        List<RolloutAction.PersistTarget> same = only(order(1, Mode.RUNNING, 0), RolloutAction.PersistTarget.class);
        assertEquals(1, same.size(), "the same target is accepted again");
    }

    @Test
    void rejectsAnInvalidPlanAndAStepThatItDoesNotHave() {
        RolloutPlan invalid = new RolloutPlan(
                "pair",
                "1",
                "1",
                List.of(0.5, 0.2, 1.5),
                TimeSpan.ZERO,
                0,
                new RolloutPlan.Gate(0, 0.7, 0.1),
                RolloutPlan.Breach.PAUSE);
        assertEquals(
                List.of("to", "steps", "steps", "gate.excess", "gate"),
                invalid.faults().stream().map(RolloutPlan.Fault::key).toList());
        order(1, Mode.RUNNING, 0);
        assertEquals(
                1,
                rejections(new RolloutEvent.TargetOrdered(target(9, invalid, Mode.RUNNING, 0)))
                        .size());
        assertEquals(
                1,
                only(order(9, Mode.RUNNING, 7), RolloutAction.RejectTarget.class)
                        .size());
    }

    @Test
    void followsTheTargetThatWasPersistedFirstOfTwoWithTheSameEpoch() {
        RolloutTarget one = target(1, PLAN, Mode.RUNNING, 0);
        RolloutTarget two = new RolloutTarget(1, PLAN, Mode.PAUSED, 0, "other", 0);
        assertEquals(
                1,
                only(on(new RolloutEvent.TargetOrdered(one)), RolloutAction.PersistTarget.class)
                        .size());
        assertEquals(List.of(), controller.targets(), "a target that is not in the journal yet is not followed");
        assertEquals(
                1,
                only(on(new RolloutEvent.TargetOrdered(two)), RolloutAction.PersistTarget.class)
                        .size());
        on(new RolloutEvent.TargetPersisted(two));
        assertEquals(1, rejections(new RolloutEvent.TargetPersisted(one)).size());
        assertEquals(List.of(two), controller.targets());
    }

    @Test
    void persistsTheTargetOfAnotherRouterOnlyIfItIsNewerAndValid() {
        order(2, Mode.PAUSED, 0);
        assertEquals(List.of(), on(new RolloutEvent.TargetReceived(target(1, PLAN, Mode.RUNNING, 0))));
        assertEquals(List.of(), on(new RolloutEvent.TargetReceived(target(2, PLAN, Mode.RUNNING, 0))));
        assertEquals(List.of(), on(new RolloutEvent.TargetReceived(target(9, PLAN, Mode.RUNNING, 7))), "no such step");
        RolloutTarget newer = target(3, PLAN, Mode.ROLLED_BACK, 0);
        assertEquals(List.of(new RolloutAction.PersistTarget(newer)), on(new RolloutEvent.TargetReceived(newer)));
        on(new RolloutEvent.TargetPersisted(newer));
        assertEquals(List.of(newer), controller.targets());
    }

    /** Guards against a router that, killed during a rollout and restarted, gives every key back to the old version. */
    @Test
    void resumesAtTheReachedStepAfterARestart() {
        RolloutController before = newController();
        List<RolloutProgress> journal = new ArrayList<>();
        collect(order(before, now, target(1, PLAN, Mode.RUNNING, 1)), journal);
        collect(before.on(now, new RolloutEvent.InstancesReady("pair", "2", 0.3)), journal);
        collect(before.on(now, new RolloutEvent.Tick()), journal);
        assertEquals(new RolloutProgress("pair", 1, 1, false), journal.get(journal.size() - 1));
        Collections.shuffle(journal, new Random(2));
        on(new RolloutEvent.JournalRestored(List.of(target(1, PLAN, Mode.RUNNING, 1)), journal));
        Set<String> keys = keysOnNewVersion();
        assertTrue(keys.size() > 430 && keys.size() < 570, "a quarter of 2000 at once: " + keys.size());
        collect(order(2, Mode.PAUSED, 1), journal);
        assertEquals(
                new RolloutProgress("pair", 2, 1, false),
                journal.get(journal.size() - 1),
                "the new epoch is at the step of the old one");
    }

    private static void collect(List<RolloutAction> actions, List<RolloutProgress> journal) {
        only(actions, RolloutAction.PersistProgress.class).forEach(persist -> journal.add(persist.progress()));
    }

    @Test
    void staysRolledBackAfterARestartWhenTheVersionWasFoundWorse() {
        on(new RolloutEvent.JournalRestored(
                List.of(target(1, PLAN, Mode.RUNNING, 0)),
                List.of(new RolloutProgress("pair", 1, 1, true), new RolloutProgress("pair", 1, 0, false))));
        assertStatusContains("broken, share 0.00");
    }

    @Test
    void ignoresProgressOfAnOlderEpochAfterARestart() {
        on(new RolloutEvent.JournalRestored(
                List.of(target(2, PLAN, Mode.ROLLED_BACK, 0), target(1, PLAN, Mode.RUNNING, 0)),
                List.of(new RolloutProgress("pair", 1, 2, false))));
        assertStatusContains("rolled_back, share 0.00");
    }
}
