package pearladder.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.Event.EndpointState;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.RoutingSettings.RequestClass;
import pearladder.routing.api.TimeSpan;

/** Seeded random runs: calls, outcomes, lists and orders as they come; the rig checks the rules at each action. */
class RulesTest {
    private static final List<RequestClass> CATEGORIES =
            List.of(Rig.RETRIABLE, Rig.BINDING, Rig.MARKED, Rig.MARKED_IN_ZONE, Rig.MARKED_BRIEFLY);

    private static RoutingSettings shape(SplittableRandom random) {
        boolean orders = random.nextBoolean();
        RoutingSettings.LoadQuota ration = random.nextBoolean()
                ? new RoutingSettings.LoadQuota(2, 0.1, TimeSpan.seconds(5))
                : new RoutingSettings.LoadQuota(0, 0, TimeSpan.ZERO);
        List<RoutingSettings.Tenant> accounts = random.nextBoolean()
                ? List.of()
                : List.of(new RoutingSettings.Tenant("x", 0.7, 60), new RoutingSettings.Tenant("y", 0.3, 20));
        return Rig.facts(orders, random.nextBoolean(), ration, accounts);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void rulesHoldWhateverHappens(long seed) {
        List<Action> once = run(seed).all;
        Assertions.assertTrue(once.stream().anyMatch(action -> action instanceof Action.SendAttempt));
        Assertions.assertEquals(once, run(seed).all, "the same events give the same actions");
    }

    private static Rig run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RoutingSettings facts = shape(random);
        Rig rig = Rig.withWorkers(facts, 6);
        List<Action.LoadInstances> held = new ArrayList<>();
        int seen = 0;
        double failing = random.nextDouble(0.6);
        for (int step = 0; step < 3000; step++) {
            rig.pass(TimeSpan.millis(random.nextInt(1, 12)));
            endOverdue(rig);
            if (random.nextInt(3) > 0) {
                RequestClass terms = CATEGORIES.get(random.nextInt(CATEGORIES.size()));
                String account = facts.tenants().isEmpty() ? null : random.nextBoolean() ? "x" : "y";
                int function = (int) (12 * Math.pow(random.nextDouble(), 2));
                rig.call("f" + function, terms, account, 1 << function % 3, TimeSpan.millis(random.nextInt(200, 4000)));
            }
            endSome(rig, random, failing);
            if (random.nextInt(60) == 0) {
                String worker = "w" + random.nextInt(6);
                EndpointState standing = EndpointState.values()[random.nextInt(3)];
                rig.stand(worker, standing, random.nextBoolean() ? rig.now : null);
            }
            for (; seen < rig.all.size(); seen++) {
                if (rig.all.get(seen) instanceof Action.LoadInstances hold) {
                    held.add(hold);
                }
            }
            if (!held.isEmpty() && random.nextInt(10) == 0) {
                Action.LoadInstances hold = held.remove(random.nextInt(held.size()));
                Outcome outcome = Outcome.values()[random.nextInt(6)];
                rig.on(new Event.LoadCompleted(
                        hold.worker(),
                        hold.function(),
                        outcome,
                        outcome == Outcome.SUCCESS ? hold.instances() : 0,
                        TimeSpan.millis(900)));
            }
            if (random.nextInt(40) == 0) {
                strays(rig, random);
            }
        }
        for (int i = 0; i < 500; i++) {
            rig.pass(TimeSpan.millis(10));
            endOverdue(rig);
        }
        rig.assertAllAnswered();
        return rig;
    }

    /** As on the wire, a leg still out at the client's abandon time ends as timed out. */
    private static void endOverdue(Rig rig) {
        for (Rig.Taken call : List.copyOf(rig.calls.values())) {
            for (int leg = 0; leg < call.outcomes.size(); leg++) {
                if (call.outcomes.get(leg) == null && !rig.now.isBefore(call.until)) {
                    rig.end(call, leg, Outcome.TIMED_OUT, InstanceStatus.UNTOLD, rig.now.since(call.sent.get(leg)));
                }
            }
            if (call.over && call.out() == 0) {
                rig.calls.remove(call.id);
            }
        }
    }

    private static void endSome(Rig rig, SplittableRandom random, double failing) {
        for (Rig.Taken call : List.copyOf(rig.calls.values())) {
            for (int leg = 0; leg < call.outcomes.size(); leg++) {
                if (call.outcomes.get(leg) == null && random.nextInt(12) == 0) {
                    boolean bad = random.nextDouble() < failing;
                    Outcome outcome = bad ? Outcome.values()[random.nextInt(1, 9)] : Outcome.SUCCESS;
                    InstanceStatus copy = outcome == Outcome.SUCCESS
                            ? InstanceStatus.values()[random.nextInt(1, 4)]
                            : outcome == Outcome.ABSENT ? InstanceStatus.LOAD_FAILED : InstanceStatus.UNTOLD;
                    rig.end(call, leg, outcome, copy, rig.now.since(call.sent.get(leg)));
                }
            }
        }
    }

    /** Events about calls that ended, workers that went and orders of another life do no harm. */
    private static void strays(Rig rig, SplittableRandom random) {
        rig.on(new Event.AttemptEnded(
                "call0", 0, "w0", Outcome.SUCCESS, TimeSpan.millis(5), true, InstanceStatus.STOOD, 3, null));
        rig.on(new Event.ClientDisconnected("call1"));
        rig.on(new Event.LoadCompleted("w9", "f1", Outcome.SUCCESS, 1, TimeSpan.millis(5)));
        rig.on(new Event.HealthCheckCompleted("w9", Outcome.TIMED_OUT, TimeSpan.millis(250), null));
        for (Rig.Taken call : List.copyOf(rig.calls.values())) {
            if (!call.over && random.nextInt(8) == 0) {
                call.over = true;
                rig.on(new Event.ClientDisconnected(call.id));
            }
        }
    }
}
