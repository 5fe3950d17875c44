package pearladder.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pearladder.rollout.RolloutTarget.Mode;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

class ReleasesTest {
    private static final RolloutPlan.Gate GATE = new RolloutPlan.Gate(0.05, 0.01, 0.05);
    private static final RolloutPlan PLAN = plan("pair", RolloutPlan.Breach.ROLL_BACK);

    private final RolloutController releases = new RolloutController(TimeSpan.seconds(8));
    private MonotonicTime now = new MonotonicTime(5_000_000_000L);
    private int numbered;

    private static RolloutPlan plan(String model, RolloutPlan.Breach breach) {
        return new RolloutPlan(model, "1", "2", List.of(0.05, 0.25, 1.0), TimeSpan.seconds(10), 50, GATE, breach);
    }

    private static RolloutTarget target(long epoch, RolloutPlan plan, Mode mode, int step) {
        return new RolloutTarget(epoch, plan, mode, step, "ops", 0);
    }

    private List<RolloutAction> on(RolloutEvent event) {
        return releases.on(now, event);
    }

    private List<RolloutAction> order(long epoch, Mode mode, int step) {
        return order(releases, now, target(epoch, PLAN, mode, step));
    }

    /** Orders, keeps what is to be kept, and hands it back as kept. */
    private static List<RolloutAction> order(RolloutController releases, MonotonicTime now, RolloutTarget target) {
        List<RolloutAction> actions = new ArrayList<>(releases.on(now, new RolloutEvent.Ordered(target)));
        for (RolloutAction.Keep keep : only(actions, RolloutAction.Keep.class)) {
            actions.addAll(releases.on(now, new RolloutEvent.Kept(keep.target())));
        }
        return actions;
    }

    private static <T extends RolloutAction> List<T> only(List<RolloutAction> actions, Class<T> kind) {
        return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    private String version(String key, String mark) {
        List<RolloutAction.Use> uses =
                only(on(new RolloutEvent.CallCame("c" + numbered++, "pair", key, mark)), RolloutAction.Use.class);
        assertEquals(1, uses.size());
        return uses.get(0).version();
    }

    private Set<String> onNew() {
        Set<String> keys = new HashSet<>();
        for (int i = 0; i < 2000; i++) {
            if (version("key-" + i, "").equals("2")) {
                keys.add("key-" + i);
            }
        }
        return keys;
    }

    private void stand(double share) {
        on(new RolloutEvent.Standing("pair", "2", share));
        on(new RolloutEvent.Due());
    }

    private void calls(int count, double badOld, double badNew, SplittableRandom random) {
        for (int i = 0; i < count; i++) {
            String call = "j" + numbered++;
            String version = only(on(new RolloutEvent.CallCame(call, "pair", call, "")), RolloutAction.Use.class)
                    .get(0)
                    .version();
            on(new RolloutEvent.CallEnded(
                    call,
                    random.nextDouble() >= (version.equals("2") ? badNew : badOld),
                    List.of("e" + random.nextInt(4))));
        }
    }

    @Test
    void aModelWithoutAReleaseHasNoVersion() {
        assertEquals("", version("k", ""));
    }

    @Test
    void aStepIsTakenOnlyWhereCopiesStandAndAddsKeysOnly() {
        List<RolloutAction> actions = order(1, Mode.RUNNING, 0);
        assertEquals(
                List.of(
                        new RolloutAction.Prepare("pair", "2", "1", 0.05),
                        new RolloutAction.Prepare("pair", "1", "1", 1)),
                only(actions, RolloutAction.Prepare.class));
        assertEquals(Set.of(), onNew(), "before its copies stand nobody gets it");
        stand(0.05);
        Set<String> few = onNew();
        assertTrue(few.size() > 70 && few.size() < 130, "a twentieth of 2000: " + few.size());
        order(2, Mode.RUNNING, 1);
        assertEquals(few, onNew());
        stand(0.3);
        Set<String> more = onNew();
        assertTrue(
                more.containsAll(few) && more.size() > 430 && more.size() < 570, "a quarter of 2000: " + more.size());
        order(3, Mode.ROLLED_BACK, 0);
        assertEquals(Set.of(), onNew());
    }

    @Test
    void aStepIsHeldForItsTimeItsCallsAndItsGate() {
        SplittableRandom random = new SplittableRandom(1);
        order(1, Mode.RUNNING, 0);
        stand(1);
        now = now.plus(TimeSpan.seconds(11));
        on(new RolloutEvent.Due());
        assertTrue(releases.status().get(0).contains("share 0.05"), "no call has judged it: " + releases.status());
        calls(6000, 0.01, 0.01, random);
        on(new RolloutEvent.Due());
        assertTrue(
                releases.status().get(0).contains("share 0.25"),
                releases.status().toString());
        calls(2000, 0.01, 0.01, random);
        on(new RolloutEvent.Due());
        assertTrue(releases.status().get(0).contains("share 0.25"), "it was not held long enough");
        now = now.plus(TimeSpan.seconds(11));
        on(new RolloutEvent.Due());
        assertTrue(
                releases.status().get(0).contains("share 1.00"),
                releases.status().toString());
        assertEquals(
                List.of(), only(on(new RolloutEvent.Due()), RolloutAction.Withdraw.class), "the old copies are kept");
        now = now.plus(TimeSpan.seconds(11));
        assertTrue(
                on(new RolloutEvent.Due()).contains(new RolloutAction.Withdraw("pair", "1")), "until the hold is over");
    }

    @Test
    void aVersionThatFailsEachCallIsTakenBackWithinAFewCalls() {
        order(1, Mode.RUNNING, 0);
        stand(1);
        int given = 0;
        while (releases.status().get(0).contains("share 0.05") && given < 50) {
            String call = "b" + numbered++;
            if (only(on(new RolloutEvent.CallCame(call, "pair", call, "")), RolloutAction.Use.class)
                    .get(0)
                    .version()
                    .equals("2")) {
                given++;
                List<RolloutAction> actions = on(new RolloutEvent.CallEnded(call, false, List.of("e" + given % 2)));
                if (!only(actions, RolloutAction.Withdraw.class).isEmpty()) {
                    break;
                }
            } else {
                on(new RolloutEvent.CallEnded(call, true, List.of("e0")));
            }
        }
        assertTrue(given >= 2 && given <= 12, "bad calls it took: " + given);
        assertEquals(Set.of(), onNew());
        stand(1);
        now = now.plus(TimeSpan.seconds(100));
        on(new RolloutEvent.Due());
        assertEquals(Set.of(), onNew(), "it does not begin again by itself");
        order(2, Mode.RUNNING, 0);
        assertFalse(onNew().isEmpty(), "an operator's order begins it again");
    }

    @Test
    void aTroubleThatMeetsBothVersionsTakesNothingBack() {
        SplittableRandom random = new SplittableRandom(3);
        order(1, Mode.RUNNING, 1);
        stand(1);
        calls(1000, 0.01, 0.01, random);
        for (double bad : new double[] {0.1, 0.2, 0.3, 0.2, 0.05}) {
            calls(800, bad, bad, random);
        }
        assertFalse(
                releases.status().get(0).contains("broken"), releases.status().toString());
    }

    @Test
    void aMarkKeepsItsVersionWhileItIsRememberedThroughStepsAndRollbacks() {
        order(1, Mode.RUNNING, 1);
        stand(1);
        Map<String, String> first = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            first.put("m" + i, version("key-" + i, "m" + i));
        }
        assertTrue(first.containsValue("1") && first.containsValue("2"));
        order(2, Mode.ROLLED_BACK, 0);
        now = now.plus(TimeSpan.seconds(7));
        on(new RolloutEvent.Due());
        first.forEach((mark, version) -> assertEquals(version, version("key-" + mark.substring(1), mark)));
        now = now.plus(TimeSpan.seconds(2));
        on(new RolloutEvent.Due());
        assertEquals("1", version("key-1", "m1"));
        assertTrue(first.keySet().stream()
                .allMatch(mark -> version("key-" + mark.substring(1), mark).equals("1")));
    }

    @Test
    void twoOperatorsAtOnceAndPlansThatBreakAreRefusedInWords() {
        order(1, Mode.RUNNING, 0);
        List<RolloutAction.Refuse> second = only(
                on(new RolloutEvent.Ordered(new RolloutTarget(1, PLAN, Mode.PAUSED, 0, "other", 0))),
                RolloutAction.Refuse.class);
        assertEquals(1, second.size());
        assertTrue(second.get(0).why().contains("ordered by ops"), second.get(0).why());
        assertEquals(
                1,
                only(order(1, Mode.RUNNING, 0), RolloutAction.Keep.class).size(),
                "the same order again is no other");
        RolloutPlan down = new RolloutPlan(
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
                down.faults().stream().map(RolloutPlan.Fault::key).toList());
        assertEquals(
                1,
                only(on(new RolloutEvent.Ordered(target(9, down, Mode.RUNNING, 0))), RolloutAction.Refuse.class)
                        .size());
        assertEquals(
                1, only(order(9, Mode.RUNNING, 7), RolloutAction.Refuse.class).size());
    }

    @Test
    void anOrderThatWasNotKeptIsNotFollowedAndOfTwoOnTheirWayTheFirstKeptHolds() {
        RolloutTarget one = target(1, PLAN, Mode.RUNNING, 0);
        RolloutTarget two = new RolloutTarget(1, PLAN, Mode.PAUSED, 0, "other", 0);
        assertEquals(
                1,
                only(on(new RolloutEvent.Ordered(one)), RolloutAction.Keep.class)
                        .size());
        assertEquals(List.of(), releases.targets(), "the journal could not be written, say");
        assertEquals(
                1,
                only(on(new RolloutEvent.Ordered(two)), RolloutAction.Keep.class)
                        .size());
        on(new RolloutEvent.Kept(two));
        assertEquals(
                1,
                only(on(new RolloutEvent.Kept(one)), RolloutAction.Refuse.class).size());
        assertEquals(List.of(two), releases.targets());
    }

    @Test
    void aPausedReleaseStaysWhereItIsAndGoesOn() {
        SplittableRandom random = new SplittableRandom(4);
        order(1, Mode.RUNNING, 0);
        stand(1);
        order(2, Mode.PAUSED, 0);
        calls(6000, 0.01, 0.01, random);
        now = now.plus(TimeSpan.seconds(60));
        on(new RolloutEvent.Due());
        assertTrue(
                releases.status().get(0).contains("paused, share 0.05"),
                releases.status().toString());
        order(3, Mode.RUNNING, 1);
        assertTrue(
                releases.status().get(0).contains("share 0.25"),
                releases.status().toString());
    }

    /** Found on a day with failing engines: a good version whose one copy stood on one of them was taken back. */
    @Test
    void oneSickEngineTakesNoVersionBackAndTwoDo() {
        VersionComparison doubt = new VersionComparison(GATE);
        for (int i = 0; i < 400; i++) {
            doubt.onOldVersionResult(true);
            if (i % 10 == 0) {
                doubt.onNewVersionResult(false, List.of("sick"));
            }
        }
        assertFalse(doubt.isFoundWorse(), doubt.figures());
        for (int i = 0; i < 12; i++) {
            doubt.onNewVersionResult(false, List.of("other"));
        }
        assertTrue(doubt.isFoundWorse(), doubt.figures());
    }

    /** Two hundred releases of a version that is no worse, and two hundred of one whose calls fail more by ten points. */
    @Test
    void goodVersionsPassAndBadOnesAreTakenBack() {
        int wrongly = 0;
        int missed = 0;
        for (int seed = 0; seed < 200; seed++) {
            wrongly += broken(seed, 0.02, 0.02, 8000) ? 1 : 0;
            missed += broken(seed + 1000, 0.02, 0.12, 8000) ? 0 : 1;
        }
        assertTrue(wrongly <= 6, "good releases taken back of 200: " + wrongly);
        assertTrue(missed <= 2, "bad releases missed of 200: " + missed);
    }

    private boolean broken(int seed, double badOld, double badNew, int calls) {
        VersionComparison doubt = new VersionComparison(GATE);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < calls && !doubt.isFoundWorse(); i++) {
            if (random.nextDouble() < 0.1) {
                doubt.onNewVersionResult(random.nextDouble() >= badNew, List.of("e" + random.nextInt(3)));
            } else {
                doubt.onOldVersionResult(random.nextDouble() >= badOld);
            }
        }
        return doubt.isFoundWorse();
    }

    /** Found when routers were killed amid a release: one that came back gave every key back to the old version. */
    @Test
    void aRestartGoesOnAtTheStepThatWasReachedAndABreachOutlivesIt() {
        RolloutController before = new RolloutController(TimeSpan.seconds(8));
        List<RolloutProgress> notes = new ArrayList<>();
        collect(order(before, now, target(1, PLAN, Mode.RUNNING, 1)), notes);
        collect(before.on(now, new RolloutEvent.Standing("pair", "2", 0.3)), notes);
        collect(before.on(now, new RolloutEvent.Due()), notes);
        assertEquals(new RolloutProgress("pair", 1, 1, false), notes.get(notes.size() - 1));
        Collections.shuffle(notes, new Random(2));
        releases.on(now, new RolloutEvent.Restored(List.of(target(1, PLAN, Mode.RUNNING, 1)), notes));
        Set<String> keys = onNew();
        assertTrue(keys.size() > 430 && keys.size() < 570, "a quarter of 2000 at once: " + keys.size());
        collect(order(2, Mode.PAUSED, 1), notes);
        assertEquals(
                new RolloutProgress("pair", 2, 1, false),
                notes.get(notes.size() - 1),
                "the new epoch stands where the old one did");

        RolloutController broken = new RolloutController(TimeSpan.seconds(8));
        broken.on(
                now,
                new RolloutEvent.Restored(
                        List.of(target(1, PLAN, Mode.RUNNING, 0)),
                        List.of(new RolloutProgress("pair", 1, 1, true), new RolloutProgress("pair", 1, 0, false))));
        assertTrue(
                broken.status().get(0).contains("broken, share 0.00"),
                broken.status().toString());
        RolloutController ordered = new RolloutController(TimeSpan.seconds(8));
        ordered.on(
                now,
                new RolloutEvent.Restored(
                        List.of(target(2, PLAN, Mode.ROLLED_BACK, 0), target(1, PLAN, Mode.RUNNING, 0)),
                        List.of(new RolloutProgress("pair", 1, 2, false))));
        assertTrue(
                ordered.status().get(0).contains("rolled_back, share 0.00"),
                "what an older epoch reached says nothing");
    }

    private static void collect(List<RolloutAction> actions, List<RolloutProgress> notes) {
        only(actions, RolloutAction.Note.class).forEach(note -> notes.add(note.reached()));
    }

    @Test
    void whatAnotherRouterTellsIsFollowedOnlyWhereItIsNewerAndWhole() {
        order(2, Mode.PAUSED, 0);
        assertEquals(List.of(), on(new RolloutEvent.Heard(target(1, PLAN, Mode.RUNNING, 0))));
        assertEquals(List.of(), on(new RolloutEvent.Heard(target(2, PLAN, Mode.RUNNING, 0))));
        assertEquals(List.of(), on(new RolloutEvent.Heard(target(9, PLAN, Mode.RUNNING, 7))), "no such step");
        RolloutTarget newer = target(3, PLAN, Mode.ROLLED_BACK, 0);
        assertEquals(List.of(new RolloutAction.Keep(newer)), on(new RolloutEvent.Heard(newer)));
        on(new RolloutEvent.Kept(newer));
        assertEquals(List.of(newer), releases.targets());
    }

    /** Whatever is lost, doubled, out of order or restarted: the newest order holds at every router in the end. */
    @Test
    void everyRouterEndsInTheNewestState() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<RolloutTarget> orders = new ArrayList<>();
            for (int epoch = 1; epoch <= 12; epoch++) {
                RolloutPlan plan = random.nextInt(4) == 0
                        ? new RolloutPlan(
                                "pair", "2", "3", PLAN.steps(), PLAN.hold(), 5, GATE, RolloutPlan.Breach.PAUSE)
                        : PLAN;
                orders.add(target(epoch, plan, Mode.values()[random.nextInt(3)], random.nextInt(3)));
            }
            RolloutTarget newest = orders.get(11);
            for (int router = 0; router < 4; router++) {
                List<RolloutTarget> journal = new ArrayList<>();
                RolloutController one = new RolloutController(TimeSpan.seconds(8));
                List<RolloutTarget> coming = new ArrayList<>(orders);
                coming.addAll(orders.subList(3, 9));
                Collections.shuffle(coming, new Random(seed * 31L + router));
                coming.removeIf(target -> target != newest && random.nextInt(3) == 0);
                for (RolloutTarget target : coming) {
                    order(one, now, target).stream()
                            .filter(RolloutAction.Keep.class::isInstance)
                            .forEach(keep -> journal.add(((RolloutAction.Keep) keep).target()));
                    if (random.nextInt(6) == 0) {
                        one = new RolloutController(TimeSpan.seconds(8));
                        List<RolloutTarget> read = new ArrayList<>(journal);
                        Collections.shuffle(read, new Random(seed));
                        one.on(now, new RolloutEvent.Restored(read, List.of()));
                    }
                }
                assertEquals(List.of(newest), one.targets(), "seed " + seed);
            }
        }
    }

    /** Through random orders, endings and copies: one version a call, keys never move back but by a rollback. */
    @Test
    void lawsHoldAfterEveryStep() {
        for (int seed = 0; seed < 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RolloutController one = new RolloutController(TimeSpan.seconds(8));
            long epoch = 0;
            Set<String> news = new HashSet<>();
            MonotonicTime at = new MonotonicTime(0);
            for (int step = 0; step < 600; step++) {
                at = at.plus(TimeSpan.millis(random.nextInt(400)));
                List<RolloutAction> actions = new ArrayList<>();
                boolean back = false;
                switch (random.nextInt(20)) {
                    case 0 -> {
                        Mode mode = Mode.values()[random.nextInt(3)];
                        back = mode == Mode.ROLLED_BACK;
                        actions.addAll(order(one, at, target(++epoch, PLAN, mode, random.nextInt(3))));
                    }
                    case 1 -> actions.addAll(one.on(at, new RolloutEvent.Standing("pair", "2", random.nextDouble())));
                    case 2, 3 -> actions.addAll(one.on(at, new RolloutEvent.Due()));
                    default -> {
                        String key = "k" + random.nextInt(60);
                        String call = "c" + step;
                        List<RolloutAction.Use> uses = only(
                                one.on(at, new RolloutEvent.CallCame(call, "pair", key, "")), RolloutAction.Use.class);
                        assertEquals(1, uses.size());
                        boolean isNew = uses.get(0).version().equals("2");
                        assertTrue(isNew || !news.contains(key), "a key moved back at seed " + seed + " step " + step);
                        if (isNew) {
                            news.add(key);
                        }
                        actions.addAll(
                                one.on(at, new RolloutEvent.CallEnded(call, random.nextInt(50) > 0, List.of("e"))));
                    }
                }
                boolean withdrawn = !only(actions, RolloutAction.Withdraw.class).isEmpty();
                if (back || withdrawn) {
                    news.clear();
                }
            }
        }
    }
}
