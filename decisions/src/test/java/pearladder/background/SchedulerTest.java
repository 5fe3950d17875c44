package pearladder.background;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

class SchedulerTest {
    private static final TimeSpan SECOND = TimeSpan.seconds(1);
    private static final ResourceCost ONE = new ResourceCost(0.01, 0, 0);
    private static final JobClass FLUSH = duty("flush", 0, new ResourceCost(1, 0, 0), 4, true);
    private static final JobClass PROBE = duty("probe", 1, new ResourceCost(0.1, 0, 0), 2, false);
    private static final JobClass REPORT = duty("report", 2, new ResourceCost(0.05, 0, 0), 1, false);

    private MonotonicTime now = new MonotonicTime(0);
    private BackgroundScheduler scheduler = new BackgroundScheduler(1, List.of(FLUSH, PROBE, REPORT), SECOND, now);

    private static JobClass duty(String name, int rank, ResourceCost budget, int atOnce, boolean atStop) {
        return new JobClass(name, rank, budget, 1, atOnce, 20, 2, TimeSpan.millis(100), atStop);
    }

    private static JobEvent.Asked ask(String id, String duty, String account) {
        return new JobEvent.Asked(id, duty, account, ONE, null);
    }

    private List<String> begun(JobEvent event) {
        return scheduler.on(now, event).stream()
                .filter(JobAction.Begin.class::isInstance)
                .map(action -> ((JobAction.Begin) action).id())
                .toList();
    }

    private static List<String> givenUp(List<JobAction> actions) {
        return actions.stream()
                .filter(JobAction.GiveUp.class::isInstance)
                .map(action -> ((JobAction.GiveUp) action).id())
                .toList();
    }

    private void end(String id) {
        scheduler.on(now, new JobEvent.Ended(id, true, ONE));
    }

    @Test
    void noMoreRunsAtOnceThanAllowedAndTheBudgetIsKept() {
        List<String> first = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            first.addAll(begun(ask("p" + i, "probe", "")));
        }
        assertEquals(List.of("p0", "p1"), first);
        Set<String> all = new HashSet<>(first);
        List<String> running = new ArrayList<>(first);
        while (!running.isEmpty()) {
            String ended = running.remove(0);
            running.addAll(begun(new JobEvent.Ended(ended, true, ONE)));
            all.addAll(running);
        }
        assertEquals(10, all.size(), "a second's budget is ten pieces");
        now = now.plus(TimeSpan.millis(210));
        assertEquals(List.of("p10", "p11"), begun(new JobEvent.Due()), "0.21 s earn two more");
    }

    @Test
    void whatAPieceCostBeyondItsEstimateIsPaidBack() {
        begun(ask("a", "report", ""));
        scheduler.on(now, new JobEvent.Ended("a", true, new ResourceCost(0.1, 0, 0)));
        assertEquals(List.of(), begun(ask("b", "report", "")));
        now = now.plus(TimeSpan.millis(1100));
        assertEquals(List.of(), begun(new JobEvent.Due()), "0.05 s are left of a debt of 0.05 s and 0.01 are asked");
        now = now.plus(TimeSpan.millis(200));
        assertEquals(List.of("b"), begun(new JobEvent.Due()));
    }

    @Test
    void underStrainTheLowestRankStandsStillFirstAndSaysSo() {
        scheduler.on(now, new JobEvent.Strained(TimeSpan.millis(400)));
        List<JobAction> actions = scheduler.on(now, ask("r", "report", ""));
        assertTrue(actions.stream()
                .anyMatch(action ->
                        action instanceof JobAction.Log log && log.text().contains("report stands still")));
        assertEquals(List.of("p"), begun(ask("p", "probe", "")));
        scheduler.on(now, new JobEvent.Strained(TimeSpan.seconds(3)));
        assertEquals(List.of(), begun(ask("p2", "probe", "")));
        assertEquals(List.of("f"), begun(ask("f", "flush", "")), "rank 0 always works");
        assertEquals(List.of("p2", "r"), begun(new JobEvent.Strained(TimeSpan.ZERO)));
    }

    /** Found over sockets: with two classes a microsecond's lateness of the loop stopped the second one for good. */
    @Test
    void aTraceOfStrainStopsNobody() {
        scheduler = JobClasses.scheduler(1, now);
        scheduler.on(now, new JobEvent.Strained(TimeSpan.millis(2)));
        assertEquals(List.of("l"), begun(new JobEvent.Asked("l", JobClasses.LEARN, "", ResourceCost.NONE, null)));
        scheduler.on(now, new JobEvent.Strained(TimeSpan.seconds(1)));
        assertEquals(List.of(), begun(new JobEvent.Asked("l2", JobClasses.LEARN, "", ResourceCost.NONE, null)));
    }

    @Test
    void aFailedPieceComesBackLaterAndLaterAndIsThenGivenUp() {
        begun(ask("a", "flush", ""));
        List<Double> waits = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            scheduler.on(now, new JobEvent.Ended("a", false, ONE));
            MonotonicTime failed = now;
            List<String> again = List.of();
            while (again.isEmpty()) {
                now = now.plus(TimeSpan.millis(5));
                again = begun(new JobEvent.Due());
            }
            waits.add(now.since(failed).toSeconds());
        }
        assertTrue(waits.get(0) >= 0.05 && waits.get(0) <= 0.16, waits.toString());
        assertTrue(waits.get(1) >= 0.1 && waits.get(1) <= 0.31, waits.toString());
        assertEquals(List.of("a"), givenUp(scheduler.on(now, new JobEvent.Ended("a", false, ONE))));
        assertEquals(0, scheduler.size());
    }

    @Test
    void whatCantBeginByItsTimeIsGivenUpAtOnce() {
        begun(ask("a", "report", ""));
        scheduler.on(now, new JobEvent.Ended("a", true, new ResourceCost(0.2, 0, 0)));
        List<JobAction> actions =
                scheduler.on(now, new JobEvent.Asked("b", "report", "", ONE, now.plus(TimeSpan.seconds(1))));
        assertEquals(List.of("b"), givenUp(actions), "three seconds of debt, and one second to begin");
        assertEquals(
                List.of(),
                givenUp(scheduler.on(now, new JobEvent.Asked("c", "report", "", ONE, now.plus(TimeSpan.seconds(9))))));
    }

    @Test
    void aFullClassGivesUpWhatIsDueLastAndAnUnknownOneIsSaid() {
        for (int i = 0; i < 22; i++) {
            scheduler.on(now, new JobEvent.Asked("r" + i, "report", "", ONE, now.plus(TimeSpan.seconds(100 + i))));
        }
        assertEquals(List.of("late"), givenUp(scheduler.on(now, new JobEvent.Asked("late", "report", "", ONE, null))));
        assertEquals(List.of("x"), givenUp(scheduler.on(now, ask("x", "other", ""))));
    }

    @Test
    void atAStopOnlyWhatIsToBeDoneThenIsBegun() {
        for (int i = 0; i < 6; i++) {
            begun(ask("f" + i, "flush", ""));
            begun(ask("r" + i, "report", ""));
        }
        assertEquals(5, givenUp(scheduler.on(now, new JobEvent.Stopping())).size());
        assertEquals(List.of("f4"), begun(new JobEvent.Ended("f0", true, ONE)));
        assertEquals(List.of("late"), givenUp(scheduler.on(now, ask("late", "probe", ""))));
    }

    @Test
    void accountsShareAClassWhoeverAsksMore() {
        scheduler = new BackgroundScheduler(
                1,
                List.of(new JobClass("cut", 0, new ResourceCost(0.1, 0, 0), 0.1, 1, 1000, 0, TimeSpan.ZERO, false)),
                SECOND,
                now);
        for (int i = 0; i < 200; i++) {
            begun(ask("big" + i, "cut", "tender"));
        }
        for (int i = 0; i < 20; i++) {
            begun(ask("small" + i, "cut", "filing"));
        }
        Map<Boolean, Integer> done = new HashMap<>();
        String running = "big0";
        for (int step = 0; step < 3000 && done.getOrDefault(true, 0) < 20; step++) {
            if (running != null) {
                done.merge(running.startsWith("small"), 1, Integer::sum);
                assertTrue(done.getOrDefault(false, 0) <= done.getOrDefault(true, 0) + 2, done.toString());
                List<String> next = begun(new JobEvent.Ended(running, true, ONE));
                running = next.isEmpty() ? null : next.get(0);
            }
            now = now.plus(TimeSpan.millis(20));
            List<String> next = begun(new JobEvent.Due());
            running = next.isEmpty() ? running : next.get(0);
        }
        assertEquals(20, done.get(true));
    }

    /** Random asking, ending, failing, strain and stops: budgets, numbers at once, and one end for each piece. */
    @Test
    void lawsHoldAfterEveryStep() {
        for (int seed = 0; seed < 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<JobClass> duties = List.of(FLUSH, PROBE, REPORT);
            BackgroundScheduler one = new BackgroundScheduler(seed, duties, SECOND, new MonotonicTime(0));
            MonotonicTime at = new MonotonicTime(0);
            Map<String, String> running = new HashMap<>();
            Map<String, Double> spent = new HashMap<>();
            Set<String> over = new HashSet<>();
            Set<String> asked = new HashSet<>();
            double strain = 0;
            for (int step = 0; step < 1500; step++) {
                at = at.plus(TimeSpan.millis(random.nextInt(30)));
                JobEvent event;
                int what = random.nextInt(10);
                if (what < 5) {
                    JobClass duty = duties.get(random.nextInt(3));
                    String id = duty.name() + ":" + step;
                    asked.add(id);
                    event = new JobEvent.Asked(
                            id,
                            duty.name(),
                            "a" + random.nextInt(4),
                            new ResourceCost(0.02 * random.nextDouble(), 0, 0),
                            random.nextInt(3) == 0 ? at.plus(TimeSpan.millis(random.nextInt(2000))) : null);
                } else if (what < 8 && !running.isEmpty()) {
                    String id = running.keySet().stream().sorted().toList().get(random.nextInt(running.size()));
                    boolean well = random.nextInt(4) > 0;
                    running.remove(id);
                    if (well) {
                        assertTrue(over.add(id));
                    }
                    event = new JobEvent.Ended(id, well, new ResourceCost(0.01, 0, 0));
                    spent.merge(id.substring(0, id.indexOf(':')), 0.01, Double::sum);
                } else if (what == 8) {
                    strain = random.nextInt(3) / 2.0;
                    event = new JobEvent.Strained(TimeSpan.seconds(strain));
                } else {
                    event = new JobEvent.Due();
                }
                for (JobAction action : one.on(at, event)) {
                    if (action instanceof JobAction.Begin begin) {
                        String name = begin.id().substring(0, begin.id().indexOf(':'));
                        assertFalse(over.contains(begin.id()), "begun after its end");
                        assertEquals(null, running.put(begin.id(), name), "begun twice at once");
                        JobClass duty = duties.stream()
                                .filter(d -> d.name().equals(name))
                                .findFirst()
                                .orElseThrow();
                        assertTrue(duty.rank() <= (1 - strain) * 2 + 1e-9, "a rank that stands still");
                    } else if (action instanceof JobAction.GiveUp up) {
                        assertTrue(over.add(up.id()), "ended twice: " + up.id());
                        assertFalse(running.containsKey(up.id()), "given up while it runs");
                    }
                }
                for (JobClass duty : duties) {
                    assertTrue(running.values().stream()
                                    .filter(duty.name()::equals)
                                    .count()
                            <= duty.atOnce());
                    double most = duty.budget().cpu() * (at.nanos() / 1e9 + duty.saved()) + 0.01 * duty.atOnce();
                    assertTrue(
                            spent.getOrDefault(duty.name(), 0.0) <= most + 1e-9, "seed " + seed + ": " + duty.name());
                }
                assertEquals(asked.size() - over.size(), one.size(), "each piece waits, runs or has ended");
            }
        }
    }
}
