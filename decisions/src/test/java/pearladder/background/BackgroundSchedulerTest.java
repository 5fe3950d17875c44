package pearladder.background;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

class BackgroundSchedulerTest {
    private static final TimeSpan SECOND = TimeSpan.seconds(1);
    private static final ResourceCost ONE = new ResourceCost(0.01, 0, 0);
    private static final JobClass FLUSH = jobClass("flush", 0, new ResourceCost(1, 0, 0), 4, true);
    private static final JobClass PROBE = jobClass("probe", 1, new ResourceCost(0.1, 0, 0), 2, false);
    private static final JobClass REPORT = jobClass("report", 2, new ResourceCost(0.05, 0, 0), 1, false);

    private MonotonicTime now = new MonotonicTime(0);
    private BackgroundScheduler scheduler = new BackgroundScheduler(1, List.of(FLUSH, PROBE, REPORT), SECOND, now);

    private static JobClass jobClass(
            String name, int rank, ResourceCost budgetPerSecond, int maxRunning, boolean runsAtShutdown) {
        return new JobClass(name, rank, budgetPerSecond, 1, maxRunning, 20, 2, TimeSpan.millis(100), runsAtShutdown);
    }

    private static JobEvent.JobSubmitted job(String id, String jobClass, String tenant) {
        return new JobEvent.JobSubmitted(id, jobClass, tenant, ONE, null);
    }

    private List<String> started(JobEvent event) {
        return scheduler.on(now, event).stream()
                .filter(JobAction.StartJob.class::isInstance)
                .map(action -> ((JobAction.StartJob) action).id())
                .toList();
    }

    private static List<String> dropped(List<JobAction> actions) {
        return actions.stream()
                .filter(JobAction.DropJob.class::isInstance)
                .map(action -> ((JobAction.DropJob) action).id())
                .toList();
    }

    private void end(String id) {
        scheduler.on(now, new JobEvent.JobEnded(id, true, ONE));
    }

    @Test
    void keepsTheLimitOfRunningJobsAndTheBudget() {
        List<String> first = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            first.addAll(started(job("p" + i, "probe", "")));
        }
        assertEquals(List.of("p0", "p1"), first);
        Set<String> all = new HashSet<>(first);
        List<String> running = new ArrayList<>(first);
        while (!running.isEmpty()) {
            String ended = running.remove(0);
            running.addAll(started(new JobEvent.JobEnded(ended, true, ONE)));
            all.addAll(running);
        }
        assertEquals(10, all.size(), "the burst of one second pays for ten jobs");
        now = now.plus(TimeSpan.millis(210));
        assertEquals(List.of("p10", "p11"), started(new JobEvent.Tick()), "0.21 s refill the budget for two more");
    }

    @Test
    void chargesTheCostOfAJobBeyondItsEstimate() {
        started(job("a", "report", ""));
        scheduler.on(now, new JobEvent.JobEnded("a", true, new ResourceCost(0.1, 0, 0)));
        assertEquals(List.of(), started(job("b", "report", "")));
        now = now.plus(TimeSpan.millis(1100));
        assertEquals(List.of(), started(new JobEvent.Tick()), "the budget is 0.005 s, the cost 0.01 s");
        now = now.plus(TimeSpan.millis(200));
        assertEquals(List.of("b"), started(new JobEvent.Tick()));
    }

    @Test
    void suspendsTheHighestRankFirstWhenTheEventLoopLagsAndLogsIt() {
        scheduler.on(now, new JobEvent.LoopLagMeasured(TimeSpan.millis(400)));
        List<JobAction> actions = scheduler.on(now, job("r", "report", ""));
        assertTrue(actions.stream()
                .anyMatch(action ->
                        action instanceof JobAction.Log log && log.text().contains("report suspended")));
        assertEquals(List.of("p"), started(job("p", "probe", "")));
        scheduler.on(now, new JobEvent.LoopLagMeasured(TimeSpan.seconds(3)));
        assertEquals(List.of(), started(job("p2", "probe", "")));
        assertEquals(List.of("f"), started(job("f", "flush", "")), "rank 0 is never suspended");
        assertEquals(List.of("p2", "r"), started(new JobEvent.LoopLagMeasured(TimeSpan.ZERO)));
    }

    /** Guards against a fault seen over real sockets: with two classes, a lag of 1 us suspended the second for good. */
    @Test
    void suspendsNothingOverASmallLag() {
        scheduler = JobClasses.createScheduler(1, now);
        scheduler.on(now, new JobEvent.LoopLagMeasured(TimeSpan.millis(2)));
        assertEquals(
                List.of("l"), started(new JobEvent.JobSubmitted("l", JobClasses.SYNC, "", ResourceCost.NONE, null)));
        scheduler.on(now, new JobEvent.LoopLagMeasured(TimeSpan.seconds(1)));
        assertEquals(List.of(), started(new JobEvent.JobSubmitted("l2", JobClasses.SYNC, "", ResourceCost.NONE, null)));
    }

    @Test
    void retriesAFailedJobWithGrowingBackoffAndThenDropsIt() {
        started(job("a", "flush", ""));
        List<Double> backoffs = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            scheduler.on(now, new JobEvent.JobEnded("a", false, ONE));
            MonotonicTime failedAt = now;
            List<String> restarted = List.of();
            while (restarted.isEmpty()) {
                now = now.plus(TimeSpan.millis(5));
                restarted = started(new JobEvent.Tick());
            }
            backoffs.add(now.since(failedAt).toSeconds());
        }
        assertTrue(backoffs.get(0) >= 0.05 && backoffs.get(0) <= 0.16, backoffs.toString());
        assertTrue(backoffs.get(1) >= 0.1 && backoffs.get(1) <= 0.31, backoffs.toString());
        assertEquals(List.of("a"), dropped(scheduler.on(now, new JobEvent.JobEnded("a", false, ONE))));
        assertEquals(0, scheduler.size());
    }

    @Test
    void dropsAJobThatCannotStartByItsDeadlineAtOnce() {
        started(job("a", "report", ""));
        scheduler.on(now, new JobEvent.JobEnded("a", true, new ResourceCost(0.2, 0, 0)));
        List<JobAction> actions =
                scheduler.on(now, new JobEvent.JobSubmitted("b", "report", "", ONE, now.plus(TimeSpan.seconds(1))));
        assertEquals(List.of("b"), dropped(actions), "the budget is refilled in 3.2 s, the deadline is in 1 s");
        assertEquals(
                List.of(),
                dropped(scheduler.on(
                        now, new JobEvent.JobSubmitted("c", "report", "", ONE, now.plus(TimeSpan.seconds(9))))));
    }

    @Test
    void dropsTheJobWithTheLatestDeadlineWhenAClassIsFull() {
        for (int i = 0; i < 22; i++) {
            scheduler.on(
                    now, new JobEvent.JobSubmitted("r" + i, "report", "", ONE, now.plus(TimeSpan.seconds(100 + i))));
        }
        assertEquals(
                List.of("late"),
                dropped(scheduler.on(now, new JobEvent.JobSubmitted("late", "report", "", ONE, null))));
    }

    @Test
    void dropsAJobOfAnUnknownClass() {
        assertEquals(List.of("x"), dropped(scheduler.on(now, job("x", "other", ""))));
    }

    @Test
    void startsOnlyJobsOfShutdownClassesWhileShuttingDown() {
        for (int i = 0; i < 6; i++) {
            started(job("f" + i, "flush", ""));
            started(job("r" + i, "report", ""));
        }
        assertEquals(5, dropped(scheduler.on(now, new JobEvent.ShutdownBegun())).size());
        assertEquals(List.of("f4"), started(new JobEvent.JobEnded("f0", true, ONE)));
        assertEquals(List.of("late"), dropped(scheduler.on(now, job("late", "probe", ""))));
    }

    @Test
    void sharesAClassEquallyBetweenTenants() {
        scheduler = new BackgroundScheduler(
                1,
                List.of(new JobClass("cut", 0, new ResourceCost(0.1, 0, 0), 0.1, 1, 1000, 0, TimeSpan.ZERO, false)),
                SECOND,
                now);
        for (int i = 0; i < 200; i++) {
            started(job("big" + i, "cut", "tender"));
        }
        for (int i = 0; i < 20; i++) {
            started(job("small" + i, "cut", "filing"));
        }
        Map<Boolean, Integer> done = new HashMap<>();
        String running = "big0";
        for (int step = 0; step < 3000 && done.getOrDefault(true, 0) < 20; step++) {
            if (running != null) {
                done.merge(running.startsWith("small"), 1, Integer::sum);
                assertTrue(done.getOrDefault(false, 0) <= done.getOrDefault(true, 0) + 2, done.toString());
                List<String> next = started(new JobEvent.JobEnded(running, true, ONE));
                running = next.isEmpty() ? null : next.get(0);
            }
            now = now.plus(TimeSpan.millis(20));
            List<String> next = started(new JobEvent.Tick());
            running = next.isEmpty() ? running : next.get(0);
        }
        assertEquals(20, done.get(true));
    }
}
