package pearladder.routing.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pearladder.routing.api.TimeSpan;

class FunctionTableTest {
    private static final int MAX_UNSERVED = 10;
    private static final DecayTimes DECAY_TIMES =
            new DecayTimes(TimeSpan.seconds(3), TimeSpan.seconds(5), TimeSpan.seconds(1), TimeSpan.seconds(30));

    private final FunctionTable table = new FunctionTable(MAX_UNSERVED, DECAY_TIMES);
    private final Worker worker = new Worker("w", DECAY_TIMES);

    private Function request(String id) {
        Function function = table.findOrCreate(id);
        table.onRequested(function);
        return function;
    }

    /** Guards against functions that no worker knows, which clients may name without end. */
    @Test
    void unservedFunctionsAreLimitedAndTheLeastRecentlyRequestedIsForgotten() {
        for (int i = 0; i < 10_000; i++) {
            request("unknown" + i).placementOn(worker);
        }
        assertEquals(MAX_UNSERVED, table.all().size());
        assertEquals(MAX_UNSERVED, worker.placements.size(), "their placements are removed too");
        request("unknown9990");
        request("another");
        assertNotNull(table.find("unknown9990"));
        assertNull(table.find("unknown9991"));
    }

    /** Guards against a flood of unknown functions that displaces those that workers serve. */
    @Test
    void servedFunctionsAreKept() {
        Function served = request("served");
        table.onServed(served);
        for (int i = 0; i < 10_000; i++) {
            request("unknown" + i);
        }
        assertSame(served, table.find("served"));
        assertEquals(MAX_UNSERVED + 1, table.all().size());
        table.removeIf(function -> true);
        assertTrue(table.all().isEmpty());
        request("unknown");
        assertEquals(1, table.all().size());
    }

    /** Guards against a request that is placed after its function was forgotten: nothing would remove the placement. */
    @Test
    void functionsWithOpenRequestsAreKept() {
        for (int i = 0; i < 2 * MAX_UNSERVED; i++) {
            request("busy" + i).openRequests = 1;
        }
        assertEquals(2 * MAX_UNSERVED, table.all().size());
        table.all().forEach(function -> function.openRequests = 0);
        request("next");
        assertEquals(MAX_UNSERVED, table.all().size());
        assertNotNull(table.find("next"));
    }
}
