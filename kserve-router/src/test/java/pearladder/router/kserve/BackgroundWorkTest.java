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

class BackgroundWorkTest {
    /** A clock that goes on when it is told to. */
    private static final class Steps implements Timers {
        private record Waiting(long at, long number, Runnable what) {}

        private final PriorityQueue<Waiting> waiting = new PriorityQueue<>(
                java.util.Comparator.comparingLong(Waiting::at).thenComparingLong(Waiting::number));
        private long now;
        private long number;

        @Override
        public MonotonicTime now() {
            return new MonotonicTime(now);
        }

        @Override
        public Timer after(TimeSpan span, Runnable what) {
            Waiting one = new Waiting(now + Timers.millis(span) * 1_000_000, number++, what);
            waiting.add(one);
            return () -> waiting.remove(one);
        }

        void on(long millis) {
            long until = now + millis * 1_000_000;
            while (!waiting.isEmpty() && waiting.peek().at() <= until) {
                Waiting next = waiting.poll();
                now = next.at();
                next.what().run();
            }
            now = until;
        }
    }

    private final Steps steps = new Steps();
    private final BackgroundWork work = new BackgroundWork(
            steps,
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
                    steps.now()));

    @Test
    void aJobThatThrowsHoldsUpNoStop() {
        Future<Void> thrown = work.submit(JobClasses.SYNC, "", ResourceCost.NONE, null, () -> {
            throw new IllegalStateException("the client is closed");
        });
        assertTrue(thrown.failed());
        assertTrue(work.stop().succeeded());
    }

    @Test
    void aStopWaitsForWhatMustBeWrittenAndItsRetries() {
        Promise<ResourceCost> first = Promise.promise();
        Promise<ResourceCost> second = Promise.promise();
        List<Promise<ResourceCost>> tries = new java.util.ArrayList<>(List.of(first, second));
        Future<Void> flushed = work.submit(JobClasses.FLUSH, "", ResourceCost.NONE, null, () -> tries.remove(0)
                .future());
        Future<Void> stopped = work.stop();
        first.fail("no space");
        assertFalse(stopped.isComplete());
        steps.on(1000);
        assertEquals(List.of(), tries);
        assertFalse(stopped.isComplete());
        second.complete(ResourceCost.NONE);
        assertTrue(flushed.succeeded());
        assertTrue(stopped.succeeded());
    }
}
