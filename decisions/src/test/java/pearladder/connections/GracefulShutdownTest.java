package pearladder.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pearladder.connections.GracefulShutdown.OutstandingWork;
import pearladder.connections.GracefulShutdown.Step;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

class GracefulShutdownTest {
    private static final OutstandingWork NOTHING = new OutstandingWork(0, 0, 0);
    private static final MonotonicTime SIGNALLED_AT = new MonotonicTime(5_000_000_000L);

    private static Step stepAt(
            TimeSpan longestDeadline, long millis, MonotonicTime lastReceivedAt, OutstandingWork outstanding) {
        return new GracefulShutdown(SIGNALLED_AT, longestDeadline)
                .on(SIGNALLED_AT.plus(TimeSpan.millis(millis)), lastReceivedAt, outstanding);
    }

    @Test
    void servesForTheServingTimeAfterTheSignal() {
        assertEquals(Step.SERVE, stepAt(TimeSpan.seconds(4), 0, null, NOTHING));
        assertEquals(Step.SERVE, stepAt(TimeSpan.seconds(4), 699, null, NOTHING));
    }

    @Test
    void exitsAfterTheServingTimeWhenNothingIsOutstanding() {
        assertEquals(Step.EXIT, stepAt(TimeSpan.seconds(4), 700, null, NOTHING));
        assertEquals(Step.EXIT, stepAt(TimeSpan.seconds(4), 700, SIGNALLED_AT.plus(TimeSpan.millis(650)), NOTHING));
    }

    @Test
    void rejectsNewRequestsWhileSomethingIsOutstanding() {
        assertEquals(
                Step.REJECT,
                stepAt(TimeSpan.seconds(4), 3000, null, new OutstandingWork(1, 0, 0)),
                "a request without response");
        assertEquals(
                Step.REJECT,
                stepAt(TimeSpan.seconds(4), 3000, null, new OutstandingWork(0, 1, 0)),
                "a response not yet sent");
        assertEquals(
                Step.REJECT,
                stepAt(TimeSpan.seconds(4), 3000, null, new OutstandingWork(0, 0, 1)),
                "a partial message");
    }

    @Test
    void rejectsNewRequestsWhileAClientSentSomethingWithinTheSlack() {
        assertEquals(Step.REJECT, stepAt(TimeSpan.seconds(4), 740, SIGNALLED_AT.plus(TimeSpan.millis(691)), NOTHING));
    }

    /** The platform kills the process 0.7 s after the longest deadline, which is capped at 3 s. */
    @ParameterizedTest
    @CsvSource({"4000, 3700", "3000, 3700", "1000, 1700", "150, 850"})
    void failsOpenRequestsAndExitsBeforeTheProcessIsKilled(long longestDeadlineMillis, long killedAtMillis) {
        OutstandingWork everything = new OutstandingWork(3, 100, 2);
        TimeSpan longest = TimeSpan.millis(longestDeadlineMillis);
        assertEquals(Step.REJECT, stepAt(longest, killedAtMillis - 101, null, everything));
        assertEquals(Step.FAIL_OPEN_REQUESTS, stepAt(longest, killedAtMillis - 100, null, everything));
        assertEquals(Step.EXIT, stepAt(longest, killedAtMillis - 50, null, everything));
    }

    /** Input that arrived while the process was stalled has not been read yet at the first call after the stall. */
    @Test
    void doesNotExitAtTheFirstCallAfterAStall() {
        GracefulShutdown shutdown = new GracefulShutdown(SIGNALLED_AT, TimeSpan.seconds(3));
        MonotonicTime beforeTheStall = SIGNALLED_AT.plus(TimeSpan.millis(690));
        assertEquals(Step.SERVE, shutdown.on(beforeTheStall, null, NOTHING));
        MonotonicTime afterTheStall = beforeTheStall.plus(TimeSpan.millis(200));
        assertEquals(Step.REJECT, shutdown.on(afterTheStall, null, NOTHING));
        assertEquals(Step.EXIT, shutdown.on(afterTheStall.plus(TimeSpan.millis(10)), null, NOTHING));
    }

    @Test
    void failsRequestsReceivedDuringAStallBeforeExitingOutOfTime() {
        OutstandingWork everything = new OutstandingWork(3, 100, 2);
        GracefulShutdown shutdown = new GracefulShutdown(SIGNALLED_AT, TimeSpan.seconds(3));
        assertEquals(Step.REJECT, shutdown.on(SIGNALLED_AT.plus(TimeSpan.millis(3500)), null, everything));
        assertEquals(Step.FAIL_OPEN_REQUESTS, shutdown.on(SIGNALLED_AT.plus(TimeSpan.millis(3680)), null, everything));
        assertEquals(Step.EXIT, shutdown.on(SIGNALLED_AT.plus(TimeSpan.millis(3690)), null, everything));
    }
}
