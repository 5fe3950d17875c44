package pearladder.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class MemoryBudgetTest {
    private static final long LIMIT_BYTES = 100;

    private final MemoryBudget<String> budget = new MemoryBudget<>(LIMIT_BYTES);

    @Test
    void nothingIsReleasedUpToTheLimit() {
        budget.update("a", 60);
        budget.update("b", 40);
        assertNull(budget.selectForRelease());
        assertEquals(LIMIT_BYTES, budget.totalBytes());
    }

    @Test
    void theLargestHolderReleasesAndTheOldestOfSeveral() {
        budget.update("small", 1);
        budget.update("old", 50);
        budget.update("new", 50);
        assertEquals("old", budget.selectForRelease());
        budget.update("new", 51);
        assertEquals("new", budget.selectForRelease());
    }

    @Test
    void anUpdateReplacesWhatWasHeldBefore() {
        budget.update("a", 200);
        budget.update("a", 30);
        assertEquals(30, budget.totalBytes());
        budget.update("a", 0);
        budget.update("a", 0);
        assertEquals(0, budget.totalBytes());
        assertNull(budget.selectForRelease());
    }

    /** Guards against a bound that does not follow the configured memory limit. */
    @Test
    void limitsFollowTheMemoryOfTheProcess() {
        for (int memoryMb : new int[] {32, 64, 96, 192}) {
            long memoryBytes = memoryMb * 1024L * 1024;
            MemoryLimits limits = MemoryLimits.of(memoryMb);
            assertTrue(limits.clientInputBytes() + limits.unfinishedResponseBytes() < memoryBytes / 12);
            assertEquals(memoryBytes / 24, limits.clientInputBytes());
            assertEquals(memoryBytes / 48, limits.unfinishedResponseBytes());
        }
    }
}
