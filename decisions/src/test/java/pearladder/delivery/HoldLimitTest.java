package pearladder.delivery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** How stalls of the event loop shorten the time for which requests are held. */
class HoldLimitTest {
    private static final MonotonicTime START = new MonotonicTime(1_000_000_000L);

    private final HoldLimit limit = new HoldLimit(TimeSpan.millis(500));

    private static MonotonicTime after(long millis) {
        return START.plus(TimeSpan.millis(millis));
    }

    private long limitMillis(long atMillis, long timeLeftMillis) {
        return limit.limit(after(atMillis), TimeSpan.millis(timeLeftMillis)).toMillis();
    }

    @ParameterizedTest
    @CsvSource({"100, 200, 200", "450, 200, 200", "600, 200, 50", "600, 1400, 1250", "1000, 1400, 850"})
    void stallBeyondTheGraceShortensWhatIsHeld(long stallMillis, long timeLeftMillis, long expectedMillis) {
        limit.onStall(START, TimeSpan.millis(stallMillis));
        assertEquals(expectedMillis, limitMillis(1000, timeLeftMillis));
    }

    @Test
    void shortRequestIsNotHeldAtAllAfterALongStall() {
        limit.onStall(START, TimeSpan.millis(1000));
        assertEquals(-350, limitMillis(10, 200));
    }

    @Test
    void longestStallCountsUntilItIsForgotten() {
        assertEquals(200, limitMillis(0, 200));
        limit.onStall(START, TimeSpan.millis(600));
        limit.onStall(after(20_000), TimeSpan.millis(520));
        assertEquals(50, limitMillis(30_000, 200));
        assertEquals(200, limitMillis(30_001, 200));
        limit.onStall(after(31_000), TimeSpan.millis(550));
        assertEquals(100, limitMillis(31_001, 200));
    }
}
