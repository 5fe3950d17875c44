package pearladder.background;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** Random jobs, results, failures and lags: budgets and limits hold after each event, and each job ends once. */
class BackgroundSchedulerRandomizedTest {
    private static final TimeSpan SECOND = TimeSpan.seconds(1);
    private static final List<JobClass> JOB_CLASSES = List.of(
            jobClass("flush", 0, new ResourceCost(1, 0, 0), 4, true),
            jobClass("probe", 1, new ResourceCost(0.1, 0, 0), 2, false),
            jobClass("report", 2, new ResourceCost(0.05, 0, 0), 1, false));

    private static JobClass jobClass(
            String name, int rank, ResourceCost budgetPerSecond, int maxRunning, boolean runsAtShutdown) {
        return new JobClass(name, rank, budgetPerSecond, 1, maxRunning, 20, 2, TimeSpan.millis(100), runsAtShutdown);
    }

    @Test
    void keepsItsLimitsAndEndsEachJobOnce() {
        for (int seed = 0; seed < 60; seed++) {
            new RandomRun(seed).run();
        }
    }

    private static final class RandomRun {
        private final int seed;
        private final SplittableRandom random;
        private final BackgroundScheduler scheduler;
        private MonotonicTime now = new MonotonicTime(0);
        /** Class names of running jobs by identifier. */
        private final Map<String, String> running = new HashMap<>();
        /** CPU seconds by class name. */
        private final Map<String, Double> spent = new HashMap<>();

        private final Set<String> submitted = new HashSet<>();
        private final Set<String> ended = new HashSet<>();
        /** Event-loop lag in seconds, 1 for the full overload. */
        private double lag;

        RandomRun(int seed) {
            this.seed = seed;
            this.random = new SplittableRandom(seed);
            this.scheduler = new BackgroundScheduler(seed, JOB_CLASSES, SECOND, now);
        }

        void run() {
            for (int step = 0; step < 1500; step++) {
                now = now.plus(TimeSpan.millis(random.nextInt(30)));
                scheduler.on(now, randomEvent(step)).forEach(this::checkAction);
                JOB_CLASSES.forEach(this::checkLimits);
                assertEquals(submitted.size() - ended.size(), scheduler.size(), "each job waits, runs or has ended");
            }
        }

        private JobEvent randomEvent(int step) {
            int kind = random.nextInt(10);
            if (kind < 5) {
                return submitRandomJob(step);
            }
            if (kind < 8 && !running.isEmpty()) {
                return endRandomJob();
            }
            if (kind == 8) {
                lag = random.nextInt(3) / 2.0;
                return new JobEvent.LoopLagMeasured(TimeSpan.seconds(lag));
            }
            return new JobEvent.Tick();
        }

        private JobEvent submitRandomJob(int step) {
            JobClass jobClass = JOB_CLASSES.get(random.nextInt(3));
            String id = jobClass.name() + ":" + step;
            submitted.add(id);
            return new JobEvent.JobSubmitted(
                    id,
                    jobClass.name(),
                    "a" + random.nextInt(4),
                    new ResourceCost(0.02 * random.nextDouble(), 0, 0),
                    random.nextInt(3) == 0 ? now.plus(TimeSpan.millis(random.nextInt(2000))) : null);
        }

        private JobEvent endRandomJob() {
            String id = running.keySet().stream().sorted().toList().get(random.nextInt(running.size()));
            boolean isSuccess = random.nextInt(4) > 0;
            running.remove(id);
            if (isSuccess) {
                assertTrue(ended.add(id));
            }
            spent.merge(className(id), 0.01, Double::sum);
            return new JobEvent.JobEnded(id, isSuccess, new ResourceCost(0.01, 0, 0));
        }

        private static String className(String id) {
            return id.substring(0, id.indexOf(':'));
        }

        private void checkAction(JobAction action) {
            if (action instanceof JobAction.StartJob start) {
                String name = className(start.id());
                assertFalse(ended.contains(start.id()), "started after its end");
                assertEquals(null, running.put(start.id(), name), "started while it is running");
                JobClass jobClass = JOB_CLASSES.stream()
                        .filter(candidate -> candidate.name().equals(name))
                        .findFirst()
                        .orElseThrow();
                assertTrue(jobClass.rank() <= (1 - lag) * 2 + 1e-9, "started although its rank is suspended");
            } else if (action instanceof JobAction.DropJob dropped) {
                assertTrue(ended.add(dropped.id()), "ended twice: " + dropped.id());
                assertFalse(running.containsKey(dropped.id()), "dropped while it is running");
            }
        }

        private void checkLimits(JobClass jobClass) {
            String name = jobClass.name();
            long runningCount = running.values().stream().filter(name::equals).count();
            assertTrue(runningCount <= jobClass.maxRunning());
            double earned = jobClass.budgetPerSecond().cpuSeconds() * (now.nanos() / 1e9 + jobClass.burstSeconds());
            double most = earned + 0.01 * jobClass.maxRunning();
            assertTrue(spent.getOrDefault(name, 0.0) <= most + 1e-9, "seed " + seed + ": " + name);
        }
    }
}
