package pearladder.cli.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks each rule of {@link RouterStarts} against starts that keep and violate it. */
class RouterStartsTest {
    private final RouterStarts starts = new RouterStarts();

    private void recordFastStarts(int count) {
        for (int i = 0; i < count; i++) {
            starts.onReady("router-" + i, 3000, 0);
        }
    }

    @Test
    void startsInTimeAreNoViolation() {
        recordFastStarts(9);
        starts.onReady("router-9", 12_000, 0);
        starts.onReady("router-10", 31_000, 22_000);
        assertEquals(List.of(), starts.check());
        assertEquals(12_000, starts.longestMillis());
    }

    @Test
    void crashIsAViolation() {
        recordFastStarts(1);
        starts.onCrash("router-1", "ended by itself with status 3");
        assertEquals(List.of("router-1 ended by itself with status 3"), starts.check());
    }

    @Test
    void startBeyondTheLimitIsAViolation() {
        recordFastStarts(20);
        starts.onReady("router-1", 30_001, 0);
        assertEquals(List.of("router-1 was ready after 30001 ms"), starts.check());
    }

    @Test
    void moreThanATenthOfSlowStartsIsAViolation() {
        recordFastStarts(8);
        starts.onReady("router-1", 11_000, 0);
        assertEquals(List.of("1 of 9 starts took longer than 10000 ms"), starts.check());
    }
}
