package pearladder.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
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
                stepAt(TimeSpan.seconds(4), 4000, null, new OutstandingWork(1, 0, 0)),
                "a request without response");
        assertEquals(
                Step.REJECT,
                stepAt(TimeSpan.seconds(4), 4000, null, new OutstandingWork(0, 1, 0)),
                "a response not yet sent");
        assertEquals(
                Step.REJECT,
                stepAt(TimeSpan.seconds(4), 4000, null, new OutstandingWork(0, 0, 1)),
                "a partial message");
    }

    @Test
    void rejectsNewRequestsWhileAClientSentSomethingWithinTheSlack() {
        assertEquals(Step.REJECT, stepAt(TimeSpan.seconds(4), 740, SIGNALLED_AT.plus(TimeSpan.millis(691)), NOTHING));
    }

    @Test
    void failsOpenRequestsAndExitsBeforeTheProcessIsKilled() {
        OutstandingWork everything = new OutstandingWork(3, 100, 2);
        assertEquals(Step.REJECT, stepAt(TimeSpan.seconds(4), 4599, null, everything));
        assertEquals(Step.ABANDON, stepAt(TimeSpan.seconds(4), 4600, null, everything));
        assertEquals(Step.EXIT, stepAt(TimeSpan.seconds(4), 4650, null, everything));
    }

    @Test
    void countsAShortDeadlineAsThreeSeconds() {
        OutstandingWork everything = new OutstandingWork(3, 100, 2);
        assertEquals(Step.ABANDON, stepAt(TimeSpan.seconds(1), 3600, null, everything));
        assertEquals(Step.REJECT, stepAt(TimeSpan.seconds(1), 3599, null, everything));
    }
}
