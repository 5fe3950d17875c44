package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.Event.EndpointState;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.PolicySnapshot;

/** Plain cases: the ordinary path, each rule, and each failure that was found. */
class PolicyTest {
    private static final TimeSpan QUICK = TimeSpan.millis(100);

    private static String home(Rig rig, String function) {
        Rig.Taken call = rig.call(function, Rig.RETRIABLE);
        rig.pass(QUICK);
        rig.settle(call, QUICK);
        return call.workers.get(0);
    }

    @Test
    void callsStickToTheirWorkerAndRoutersAgreeOnIt() {
        Rig rig = Rig.withWorkers(Rig.plain(), 8);
        Rig other = Rig.withWorkers(Rig.plain(), 8);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            String home = home(rig, "f" + i);
            used.add(home);
            assertEquals(home, home(rig, "f" + i));
            assertEquals(home, home(other, "f" + i));
        }
        assertTrue(used.size() >= 6, "functions spread over the fleet, not over " + used);
    }

    @Test
    void aHotFunctionReachesMoreWorkersAndIsThenDismissedAtOnce() {
        Rig rig = Rig.withWorkers(Rig.plain(), 3);
        home(rig, "f");
        Set<String> used = new HashSet<>();
        Rig.Taken last = null;
        for (int i = 0; i < 200 && (last == null || last.end == null); i++) {
            last = rig.call("f", Rig.RETRIABLE);
            used.addAll(last.workers);
        }
        assertTrue(used.size() > 1);
        Action.Reject dismissed = assertInstanceOf(Action.Reject.class, last.end);
        assertTrue(dismissed.retryAfter().nanos() > 0);
        assertTrue(last.workers.isEmpty());
    }

    @Test
    void aWorkerThatRefusesAsFullIsPassedOverForAWhile() {
        Rig rig = Rig.withWorkers(Rig.plain(), 4);
        String home = home(rig, "f");
        Rig.Taken call = rig.call("f", Rig.RETRIABLE);
        rig.end(call, 0, Outcome.FULL, InstanceStatus.UNTOLD, TimeSpan.millis(2));
        Rig.Taken next = rig.call("f", Rig.RETRIABLE);
        assertTrue(!call.workers.subList(1, call.workers.size()).contains(home) && !next.workers.contains(home));
        rig.pass(TimeSpan.seconds(1));
        assertEquals(home, rig.call("f", Rig.RETRIABLE).workers.get(0));
    }

    /* Found on the platform's churn day: half of the fleet refused two calls in five and reported room. */
    @Test
    void aRefusalByAWorkerThatReportsRoomIsItsFailureAndNoFullness() {
        Rig rig = Rig.withWorkers(Rig.plain(), 4);
        String home = home(rig, "f");
        Rig.Taken call = rig.call("f", Rig.RETRIABLE);
        rig.end(call, 0, Outcome.FULL, InstanceStatus.UNTOLD, TimeSpan.millis(120), 0, 0);
        assertFalse(call.workers.subList(1, call.workers.size()).contains(home));
        rig.end(call, 1, Outcome.SUCCESS, InstanceStatus.STOOD, TimeSpan.millis(120));
        for (int i = 0; i < 12; i++) {
            Rig.Taken next = rig.call("f", Rig.RETRIABLE);
            assertTrue(i > 2 || next.workers.get(0).equals(home), "it is not passed over");
            for (int leg = 0; leg < next.workers.size(); leg++) {
                boolean there = next.workers.get(leg).equals(home);
                rig.end(
                        next,
                        leg,
                        there ? Outcome.FULL : Outcome.SUCCESS,
                        InstanceStatus.STOOD,
                        TimeSpan.millis(120),
                        0,
                        0);
            }
            Rig.Taken other = rig.call("g" + i, Rig.RETRIABLE);
            rig.end(other, 0, Outcome.SUCCESS, InstanceStatus.STOOD, TimeSpan.millis(120), 0, 0);
            rig.pass(TimeSpan.millis(100));
        }
        assertFalse(rig.call("f", Rig.RETRIABLE).workers.contains(home), "it is set aside");
    }

    @Test
    void aBindingCallThatMayHaveRunIsTerminated() {
        Rig rig = Rig.withWorkers(Rig.plain(), 4);
        Rig.Taken failed = rig.call("f", Rig.BINDING);
        rig.end(failed, 0, Outcome.ERROR, InstanceStatus.UNTOLD, QUICK);
        assertInstanceOf(Action.Fail.class, failed.end);
        Rig.Taken refused = rig.call("g", Rig.BINDING);
        rig.end(refused, 0, Outcome.UNREACHABLE, InstanceStatus.UNTOLD, QUICK);
        assertEquals(2, refused.workers.size());
        assertNotEquals(refused.workers.get(0), refused.workers.get(1));
    }

    @Test
    void aFingerprintedCallStaysInTheGroupThatDropsItsRepeats() {
        Rig rig = Rig.withWorkers(Rig.plain(), 6);
        Rig.Taken call = rig.call("f", Rig.MARKED_IN_ZONE);
        rig.end(call, 0, Outcome.BROKEN, InstanceStatus.UNTOLD, QUICK);
        assertEquals(2, call.workers.size());
        rig.end(call, 1, Outcome.BROKEN, InstanceStatus.UNTOLD, QUICK);
        rig.end(call, 2, Outcome.BROKEN, InstanceStatus.UNTOLD, QUICK);
        assertInstanceOf(Action.Fail.class, call.end);
    }

    /** Guards against a repeat that leaves late, on a connection that comes up late, when it is no longer remembered. */
    @Test
    void aFingerprintedCallIsSentAgainOnlyIfItsRepeatArrivesWhileItIsRemembered() {
        Rig rig = Rig.withWorkers(Rig.plain(), 6);
        Rig.Taken early = rig.call("f", Rig.MARKED_BRIEFLY);
        rig.pass(TimeSpan.millis(1200));
        rig.end(early, 0, Outcome.BROKEN, InstanceStatus.UNTOLD, TimeSpan.millis(1200));
        assertEquals(2, early.workers.size());
        Rig.Taken late = rig.call("g", Rig.MARKED_BRIEFLY);
        rig.pass(TimeSpan.millis(1300));
        rig.end(late, 0, Outcome.BROKEN, InstanceStatus.UNTOLD, TimeSpan.millis(1300));
        assertEquals(1, late.workers.size());
        assertInstanceOf(Action.Reject.class, late.end);
    }

    @Test
    void aDrainingWorkerGetsNothingNew() {
        Rig rig = Rig.withWorkers(Rig.plain(), 3);
        String home = home(rig, "f");
        rig.stand(home, EndpointState.DRAINING, null);
        assertNotEquals(home, rig.call("f", Rig.RETRIABLE).workers.get(0));
        rig.stand(home, EndpointState.IN_SERVICE, null);
        assertEquals(home, home(rig, "g" + functionFor(rig, home)));
    }

    private static int functionFor(Rig rig, String worker) {
        for (int i = 0; i < 200; i++) {
            if (home(rig, "g" + i).equals(worker)) {
                return i;
            }
        }
        throw new AssertionError("no function has its home at " + worker);
    }

    @Test
    void aColdWorkerGetsNoMoreThanOurPartOfWhatItBears() {
        Rig rig = Rig.withWorkers(Rig.plain(), 4);
        for (int i = 0; i < 400; i++) {
            home(rig, "f" + i % 40);
        }
        rig.stand("w1", EndpointState.IN_SERVICE, rig.now);
        int toCold = 0;
        int warm = 0;
        for (int i = 0; i < 15; i++) {
            if (home(rig, "f" + i % 40).equals("w1")) {
                toCold++;
            } else {
                warm++;
            }
        }
        assertTrue(toCold <= 1 + 0.5 * 1.1 * warm / 3, toCold + " to the cold worker, " + warm + " to three");
    }

    @Test
    void aSlowingWorkerLeavesTheListsAndItsCallsAreMoved() {
        Rig rig = Rig.withWorkers(Rig.plain(), 6);
        String slow = home(rig, "f0");
        for (int i = 0; i < 300; i++) {
            home(rig, "f" + i % 30);
        }
        List<Rig.Taken> stuck = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            Rig.Taken call = rig.call("f" + i, Rig.RETRIABLE);
            rig.pass(TimeSpan.millis(50));
            if (call.workers.get(0).equals(slow)) {
                stuck.add(call);
            } else {
                rig.settle(call, TimeSpan.millis(50));
            }
        }
        rig.pass(TimeSpan.seconds(1));
        assertTrue(rig.all.stream()
                .anyMatch(a -> a instanceof Action.Log log && log.text().contains(slow)));
        assertTrue(stuck.stream().anyMatch(call -> rig.all.contains(new Action.CancelAttempt(call.id, 0))));
        for (Rig.Taken call : stuck) {
            if (call.outcomes.get(0) == null) {
                rig.end(call, 0, Outcome.WITHDRAWN, InstanceStatus.UNTOLD, TimeSpan.seconds(1));
            }
        }
        assertNotEquals(slow, home(rig, "f0"));
        rig.pass(TimeSpan.seconds(6));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            used.add(home(rig, "g" + i));
        }
        assertTrue(used.contains(slow), "it returns after the fixed time and its random part");
    }

    /* Found on wire-campus-main: refusals as full sent a function on to begin a load at every other worker. */
    @Test
    void refusalsAsFullDoNotBeginALoadOnEveryWorker() {
        Rig rig = Rig.withWorkers(Rig.plain(), 10);
        String home = home(rig, "f");
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            Rig.Taken call = rig.call("f", Rig.RETRIABLE);
            if (!call.over && call.workers.get(0).equals(home)) {
                rig.end(call, 0, Outcome.FULL, InstanceStatus.UNTOLD, TimeSpan.millis(1));
            }
            used.addAll(call.workers);
            rig.pass(TimeSpan.millis(20));
        }
        assertTrue(used.size() <= 2, "loads begun at " + used);
    }

    /* Found on slope-maps-later big-2: each of many routers kept one call out at a hot function's home. */
    @Test
    void aHotFunctionLeavesAStrainedWorkerThatManyRoutersShare() {
        assertEquals(1, reached("hot", TimeSpan.millis(50), 20).size());
        assertTrue(reached("hot", TimeSpan.millis(1500), 20).size() > 1);
    }

    /* Found on wire-campus-main-later: light functions were sent away for a load each time a hot one was served. */
    @Test
    void aLightFunctionStaysWhereItsCopyStands() {
        assertEquals(1, reached("light", TimeSpan.millis(600), 8).size());
    }

    private static Set<String> reached(String function, TimeSpan took, int calls) {
        Rig rig = Rig.withWorkers(Rig.among(60), 4);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < calls; i++) {
            Rig.Taken call = rig.call(function, Rig.RETRIABLE);
            rig.pass(took);
            if (!call.over) {
                rig.settle(call, took);
            }
            used.addAll(call.workers);
        }
        return used;
    }

    /* Found on slope-maps-later rough-1: each of many routers had a load under way whatever the store did. */
    @Test
    void manyRoutersBeginFewerLoadsEach() {
        assertTrue(begun(60, 3) < begun(3, 3));
        assertTrue(begun(3, 3) < begun(3, 0), "refusals narrow only where loads fill the rooms");
    }

    private static int begun(int peers, double loads) {
        Rig rig = Rig.withWorkers(Rig.among(peers), 10);
        int begun = 0;
        for (int i = 0; i < 800; i++) {
            Rig.Taken call = rig.call("f" + i % 40, Rig.RETRIABLE);
            for (int leg = 0; leg < call.workers.size(); leg++) {
                rig.end(call, leg, Outcome.FULL, InstanceStatus.UNTOLD, TimeSpan.millis(1), loads);
            }
            begun += call.workers.size();
            rig.pass(TimeSpan.millis(20));
        }
        return begun;
    }

    /* Found on slope-maps (i12d551, i63f7e7): with every worker holding too much, all answers came late. */
    @Test
    void aStrainedWorkerBearsFewerCalls() {
        assertTrue(borne(TimeSpan.millis(900)) < borne(TimeSpan.millis(100)));
    }

    private static int borne(TimeSpan took) {
        Rig rig = Rig.withWorkers(Rig.plain(), 2);
        for (int round = 0; round < 20; round++) {
            List<Rig.Taken> calls = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                calls.add(rig.call("f" + i, Rig.RETRIABLE));
            }
            rig.pass(took);
            for (Rig.Taken call : calls) {
                if (!call.over) {
                    rig.settle(call, took);
                }
            }
        }
        int taken = 0;
        for (int i = 0; i < 100; i++) {
            taken += rig.call("f" + i % 8, Rig.RETRIABLE).over ? 0 : 1;
        }
        return taken;
    }

    /* Found on slope-maps (i5d4f4a): functions spread to all workers and pushed each other out of memory. */
    @Test
    void functionsSpreadOnlyWhereMemoryIsLeft() {
        assertTrue(spread(500) > 1);
        assertEquals(1, spread(30000));
    }

    private static int spread(double memoryMb) {
        Rig rig = Rig.withWorkers(Rig.plain(), 4);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            String id = "m" + i;
            Rig.Taken call = new Rig.Taken(id, Rig.RETRIABLE, rig.now.plus(TimeSpan.seconds(4)));
            rig.calls.put(id, call);
            rig.on(new Event.RequestArrived(
                    id, "f", "draw", null, TimeSpan.seconds(4), 2, memoryMb, QUICK, null, false, false));
            used.addAll(call.workers);
            if (i == 0) {
                rig.settle(call, QUICK);
            }
        }
        return used.size();
    }

    @Test
    void aCopyInUseIsHeldWithinTheRation() {
        RoutingSettings facts =
                Rig.facts(true, true, new RoutingSettings.LoadQuota(2, 0.1, TimeSpan.seconds(5)), List.of());
        Rig rig = Rig.withWorkers(facts, 4);
        String home = home(rig, "f");
        home(rig, "f");
        rig.pass(TimeSpan.seconds(7));
        assertTrue(rig.all.contains(new Action.LoadInstances(home, "f", 1)));
    }

    @Test
    void aForgottenFunctionFindsItsFirstWorkerAgain() {
        Rig rig = Rig.withWorkers(Rig.plain(), 8);
        String home = home(rig, "f");
        rig.pass(TimeSpan.seconds(200));
        assertEquals(home, home(rig, "f"));
        rig.on(new Event.LoadCompleted(home, "f", Outcome.SUCCESS, 1, QUICK));
        rig.assertAllAnswered();
    }

    @Test
    void anUnsettledLegAtTheAbandonTimeIsAnsweredAtOnce() {
        Rig rig = Rig.withWorkers(Rig.plain(), 3);
        Rig.Taken call = rig.call("f", Rig.BINDING);
        rig.pass(TimeSpan.millis(3992));
        rig.on(new Event.AttemptEnded("nobody", 0, "w0", Outcome.ERROR, QUICK, false, InstanceStatus.UNTOLD, 0, null));
        rig.end(call, 0, Outcome.TIMED_OUT, InstanceStatus.UNTOLD, TimeSpan.millis(3992));
        assertInstanceOf(Action.Fail.class, call.end);
        rig.on(new Event.ClientDisconnected(call.id));
    }

    private static List<Action> beat(Rig rig) {
        int from = rig.all.size();
        rig.pass(TimeSpan.millis(100));
        return List.copyOf(rig.all.subList(from, rig.all.size()));
    }

    /** A new version's copies come up ahead of its calls, one at a time, and are told once they bear the share. */
    @Test
    void copiesWantedAheadAreOrderedOneByOneAndToldWhenTheyStand() {
        Rig rig = Rig.withWorkers(
                Rig.facts(true, true, new RoutingSettings.LoadQuota(4, 0, TimeSpan.seconds(10)), List.of()), 4);
        rig.now = rig.now.plus(TimeSpan.millis(100));
        rig.on(new Event.PrewarmRequested("f@2", "f", 1, 2, 100, TimeSpan.millis(500)));
        List<Action> first = beat(rig);
        List<Action.LoadInstances> holds = first.stream()
                .filter(Action.LoadInstances.class::isInstance)
                .map(Action.LoadInstances.class::cast)
                .toList();
        assertEquals(1, holds.size());
        assertTrue(first.contains(new Action.PrewarmProgress("f@2", 0)), first.toString());
        assertTrue(beat(rig).stream().noneMatch(Action.LoadInstances.class::isInstance), "one at a time");
        rig.on(new Event.LoadCompleted(holds.get(0).worker(), "f@2", Outcome.SUCCESS, 1, TimeSpan.millis(500)));
        assertTrue(beat(rig).contains(new Action.PrewarmProgress("f@2", 1)));
        rig.on(new Event.PrewarmRequested("f@2", "f", 0, 2, 100, TimeSpan.millis(500)));
        assertTrue(beat(rig).stream()
                .noneMatch(
                        action -> action instanceof Action.PrewarmProgress || action instanceof Action.LoadInstances));
    }

    @Test
    void whatIsToldAsKnownIsKnownToTheNextLife() {
        Rig one = Rig.withWorkers(
                Rig.facts(true, true, new RoutingSettings.LoadQuota(3, 0, TimeSpan.seconds(30)), List.of()), 4);
        for (int i = 0; i < 12; i++) {
            one.settle(one.call("f" + i % 3, Rig.RETRIABLE), QUICK);
        }
        one.pass(TimeSpan.seconds(7));
        PolicySnapshot known = one.policy.snapshot(one.now);
        assertEquals(3, known.functions().size());
        assertTrue(known.functions().stream()
                .allMatch(function -> function.instances().size() == 1));
        assertEquals(3, known.loadRequestAges().size(), "copies in use were renewed, up to the ration");
        Rig two = Rig.withWorkers(one.facts, 4);
        two.now = one.now;
        two.on(new Event.SnapshotRestored(known));
        assertEquals(known, two.policy.snapshot(two.now));
        for (int i = 0; i < 12; i++) {
            two.settle(two.call("f" + i % 3, Rig.RETRIABLE), QUICK);
        }
        two.pass(TimeSpan.seconds(7));
        assertTrue(
                two.all.stream().noneMatch(Action.LoadInstances.class::isInstance), "the ration counts across lives");
    }

    @Test
    void aWorkerThatWasSetAsideStaysSoInTheNextLife() {
        Rig rig = Rig.withWorkers(Rig.plain(), 4);
        String home = home(rig, "f");
        Rig next = Rig.withWorkers(Rig.plain(), 4);
        next.on(new Event.SnapshotRestored(new PolicySnapshot(
                TimeSpan.ZERO,
                List.of(new PolicySnapshot.WorkerSnapshot(home, null, TimeSpan.seconds(2))),
                List.of(),
                List.of(),
                0,
                0)));
        assertNotEquals(home, home(next, "f"));
        next.pass(TimeSpan.seconds(12));
        assertEquals(home, home(next, "f"));
    }
}
