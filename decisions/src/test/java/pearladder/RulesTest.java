package pearladder;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pearladder.api.Action;
import pearladder.api.Event;
import pearladder.api.Event.Copy;
import pearladder.api.Event.Standing;
import pearladder.api.Facts;
import pearladder.api.Facts.Terms;
import pearladder.api.Outcome;
import pearladder.api.Span;

/** Seeded random runs: calls, outcomes, lists and orders as they come; the rig checks the rules at each action. */
class RulesTest {
    private static final List<Terms> CATEGORIES =
            List.of(Rig.RETRIABLE, Rig.BINDING, Rig.MARKED, Rig.MARKED_IN_ZONE, Rig.MARKED_BRIEFLY);

    private static Facts shape(SplittableRandom random) {
        boolean orders = random.nextBoolean();
        Facts.Ration ration =
                random.nextBoolean() ? new Facts.Ration(2, 0.1, Span.seconds(5)) : new Facts.Ration(0, 0, Span.NONE);
        List<Facts.Account> accounts = random.nextBoolean()
                ? List.of()
                : List.of(new Facts.Account("x", 0.7, 60), new Facts.Account("y", 0.3, 20));
        return Rig.facts(orders, random.nextBoolean(), ration, accounts);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void rulesHoldWhateverHappens(long seed) {
        List<Action> once = run(seed).all;
        Assertions.assertTrue(once.stream().anyMatch(action -> action instanceof Action.Send));
        Assertions.assertEquals(once, run(seed).all, "the same events give the same actions");
    }

    private static Rig run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Facts facts = shape(random);
        Rig rig = Rig.withWorkers(facts, 6);
        List<Action.Hold> held = new ArrayList<>();
        int seen = 0;
        double failing = random.nextDouble(0.6);
        for (int step = 0; step < 3000; step++) {
            rig.pass(Span.millis(random.nextInt(1, 12)));
            endOverdue(rig);
            if (random.nextInt(3) > 0) {
                Terms terms = CATEGORIES.get(random.nextInt(CATEGORIES.size()));
                String account = facts.accounts().isEmpty() ? null : random.nextBoolean() ? "x" : "y";
                int function = (int) (12 * Math.pow(random.nextDouble(), 2));
                rig.call("f" + function, terms, account, 1 << function % 3, Span.millis(random.nextInt(200, 4000)));
            }
            endSome(rig, random, failing);
            if (random.nextInt(60) == 0) {
                String worker = "w" + random.nextInt(6);
                Standing standing = Standing.values()[random.nextInt(3)];
                rig.stand(worker, standing, random.nextBoolean() ? rig.now : null);
            }
            for (; seen < rig.all.size(); seen++) {
                if (rig.all.get(seen) instanceof Action.Hold hold) {
                    held.add(hold);
                }
            }
            if (!held.isEmpty() && random.nextInt(10) == 0) {
                Action.Hold hold = held.remove(random.nextInt(held.size()));
                Outcome outcome = Outcome.values()[random.nextInt(6)];
                rig.on(new Event.LoadAnswered(
                        hold.worker(),
                        hold.function(),
                        outcome,
                        outcome == Outcome.SUCCESS ? hold.copies() : 0,
                        Span.millis(900)));
            }
            if (random.nextInt(40) == 0) {
                strays(rig, random);
            }
        }
        for (int i = 0; i < 500; i++) {
            rig.pass(Span.millis(10));
            endOverdue(rig);
        }
        rig.assertAllAnswered();
        return rig;
    }

    /** As on the wire, a leg still out at the client's abandon time ends as timed out. */
    private static void endOverdue(Rig rig) {
        for (Rig.Taken call : List.copyOf(rig.calls.values())) {
            for (int leg = 0; leg < call.outcomes.size(); leg++) {
                if (call.outcomes.get(leg) == null && !rig.now.before(call.until)) {
                    rig.end(call, leg, Outcome.TIMED_OUT, Copy.UNTOLD, rig.now.since(call.sent.get(leg)));
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
                    Copy copy = outcome == Outcome.SUCCESS
                            ? Copy.values()[random.nextInt(1, 4)]
                            : outcome == Outcome.ABSENT ? Copy.LOAD_FAILED : Copy.UNTOLD;
                    rig.end(call, leg, outcome, copy, rig.now.since(call.sent.get(leg)));
                }
            }
        }
    }

    /** Events about calls that ended, workers that went and orders of another life do no harm. */
    private static void strays(Rig rig, SplittableRandom random) {
        rig.on(new Event.LegEnded("call0", 0, "w0", Outcome.SUCCESS, Span.millis(5), true, Copy.STOOD, 3, null));
        rig.on(new Event.ClientLeft("call1"));
        rig.on(new Event.LoadAnswered("w9", "f1", Outcome.SUCCESS, 1, Span.millis(5)));
        rig.on(new Event.Probed("w9", Outcome.TIMED_OUT, Span.millis(250), null));
        for (Rig.Taken call : List.copyOf(rig.calls.values())) {
            if (!call.over && random.nextInt(8) == 0) {
                call.over = true;
                rig.on(new Event.ClientLeft(call.id));
            }
        }
    }
}
