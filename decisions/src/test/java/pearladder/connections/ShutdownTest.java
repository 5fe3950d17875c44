package pearladder.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import pearladder.connections.GracefulShutdown.Owed;
import pearladder.connections.GracefulShutdown.Step;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

class ShutdownTest {
    private static final Owed NOTHING = new Owed(0, 0, 0);
    private static final MonotonicTime TOLD = new MonotonicTime(5_000_000_000L);

    private static Step at(TimeSpan longest, long millis, MonotonicTime heard, Owed owed) {
        return new GracefulShutdown(TOLD, longest).on(TOLD.plus(TimeSpan.millis(millis)), heard, owed);
    }

    @Test
    void itServesWhileRequestsMayComeAndThenEndsAtOnceWhereNothingIsOwed() {
        assertEquals(Step.SERVE, at(TimeSpan.seconds(4), 0, null, NOTHING));
        assertEquals(Step.SERVE, at(TimeSpan.seconds(4), 699, null, NOTHING));
        assertEquals(Step.EXIT, at(TimeSpan.seconds(4), 700, null, NOTHING));
        assertEquals(Step.EXIT, at(TimeSpan.seconds(4), 700, TOLD.plus(TimeSpan.millis(650)), NOTHING));
    }

    @Test
    void itWaitsForWhatIsOwedNotForAFixedTime() {
        assertEquals(Step.REFUSE, at(TimeSpan.seconds(4), 4000, null, new Owed(1, 0, 0)), "a call without its answer");
        assertEquals(
                Step.REFUSE, at(TimeSpan.seconds(4), 4000, null, new Owed(0, 1, 0)), "an answer that has not left");
        assertEquals(
                Step.REFUSE, at(TimeSpan.seconds(4), 4000, null, new Owed(0, 0, 1)), "a request that is half here");
        assertEquals(
                Step.REFUSE,
                at(TimeSpan.seconds(4), 740, TOLD.plus(TimeSpan.millis(691)), NOTHING),
                "a client just heard");
    }

    @Test
    void itEndsBeforeItIsKilledWithAnAnswerToWhatItHolds() {
        Owed all = new Owed(3, 100, 2);
        assertEquals(Step.REFUSE, at(TimeSpan.seconds(4), 4599, null, all));
        assertEquals(Step.GIVE_UP, at(TimeSpan.seconds(4), 4600, null, all));
        assertEquals(Step.EXIT, at(TimeSpan.seconds(4), 4650, null, all));
        assertEquals(Step.GIVE_UP, at(TimeSpan.seconds(1), 3600, null, all), "three seconds at the least");
        assertEquals(Step.REFUSE, at(TimeSpan.seconds(1), 3599, null, all));
    }
}
