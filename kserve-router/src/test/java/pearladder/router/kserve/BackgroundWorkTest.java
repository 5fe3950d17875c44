package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import pearladder.background.BackgroundScheduler;
import pearladder.background.JobClass;
import pearladder.background.JobClasses;
import pearladder.background.ResourceCost;
import pearladder.router.core.Timers;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** Background jobs while a router stops. */
class BackgroundWorkTest {
    /** A clock that advances only in {@link #advance}. */
    private static final class ManualTimers implements Timers {
        private record ScheduledTask(long dueAt, long number, Runnable task) {}

        private final PriorityQueue<ScheduledTask> scheduled = new PriorityQueue<>(
                java.util.Comparator.comparingLong(ScheduledTask::dueAt).thenComparingLong(ScheduledTask::number));
        private long now;
        private long number;

        @Override
        public MonotonicTime now() {
            return new MonotonicTime(now);
        }

        @Override
        public Timer after(TimeSpan span, Runnable task) {
            ScheduledTask scheduledTask = new ScheduledTask(now + Timers.millis(span) * 1_000_000, number++, task);
            scheduled.add(scheduledTask);
            return () -> scheduled.remove(scheduledTask);
        }

        void advance(long millis) {
            long until = now + millis * 1_000_000;
            while (!scheduled.isEmpty() && scheduled.peek().dueAt() <= until) {
                ScheduledTask next = scheduled.poll();
                now = next.dueAt();
                next.task().run();
            }
            now = until;
        }
    }

    private final ManualTimers timers = new ManualTimers();
    private final BackgroundWork work = new BackgroundWork(
            timers,
            new BackgroundScheduler(
                    1,
                    List.of(
                            new JobClass(
                                    JobClasses.FLUSH,
                                    0,
                                    new ResourceCost(0, 50e6, 0),
                                    2,
                                    1,
                                    100,
                                    3,
                                    TimeSpan.millis(200),
                                    true),
                            new JobClass(
                                    JobClasses.SYNC,
                                    1,
                                    new ResourceCost(0, 2e6, 0),
                                    10,
                                    4,
                                    1000,
                                    0,
                                    TimeSpan.millis(500),
                                    false)),
                    TimeSpan.millis(50),
                    timers.now()));

    @Test
    void aJobThatThrowsDoesNotDelayTheStop() {
        Future<Void> thrown = work.submit(JobClasses.SYNC, "", ResourceCost.NONE, null, () -> {
            throw new IllegalStateException("the client is closed");
        });
        assertTrue(thrown.failed());
        assertTrue(work.stop().succeeded());
    }

    @Test
    void aStopWaitsForDurableWritesAndTheirRetries() {
        Promise<ResourceCost> first = Promise.promise();
        Promise<ResourceCost> second = Promise.promise();
        List<Promise<ResourceCost>> attempts = new java.util.ArrayList<>(List.of(first, second));
        Future<Void> flushed = work.submit(JobClasses.FLUSH, "", ResourceCost.NONE, null, () -> attempts.remove(0)
                .future());
        Future<Void> stopped = work.stop();
        first.fail("no space");
        assertFalse(stopped.isComplete());
        timers.advance(1000);
        assertEquals(List.of(), attempts);
        assertFalse(stopped.isComplete());
        second.complete(ResourceCost.NONE);
        assertTrue(flushed.succeeded());
        assertTrue(stopped.succeeded());
    }
}
