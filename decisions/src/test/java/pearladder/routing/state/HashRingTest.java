package pearladder.routing.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.Event;
import pearladder.routing.api.Event.Endpoint;
import pearladder.routing.api.Event.EndpointState;
import pearladder.routing.api.Event.EndpointUpdateKind;
import pearladder.routing.api.TimeSpan;

class HashRingTest {
    private static final TimeSpan DECAY = TimeSpan.seconds(1);
    private static final int VIRTUAL_NODES = 64;
    private static final Duration WALK_TIMEOUT = Duration.ofSeconds(10);

    private final EndpointList endpoints =
            new EndpointList(new HashRing(VIRTUAL_NODES), new DecayTimes(DECAY, DECAY, DECAY, DECAY));

    private void update(EndpointUpdateKind kind, EndpointState state, List<String> ids) {
        List<Endpoint> listed = ids.stream()
                .map(id -> new Endpoint(id, "a", "k", 0, state, 1, null))
                .toList();
        endpoints.apply(new Event.EndpointsUpdated(kind, listed), worker -> false);
    }

    /** Returns all workers in the function's ring order. */
    private List<String> order(String functionId) {
        Function function = new Function(functionId, DECAY, DECAY);
        List<String> order = new ArrayList<>();
        Worker none = endpoints.firstInRingOrder(function, Integer.MAX_VALUE, null, worker -> !order.add(worker.id));
        assertNull(none);
        return order;
    }

    private static List<String> ids(int count) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add(String.format("s-%08x", i * 2_654_435_761L & 0xFFFFFFFFL));
        }
        return ids;
    }

    /** Returns two ids of the operators' format with the same CRC-32. */
    private static List<String> idsWithTheSameChecksum() {
        Map<Long, String> byChecksum = new HashMap<>();
        for (int i = 0; ; i++) {
            String id = String.format("s-%08x", i * 2_654_435_761L & 0xFFFFFFFFL);
            CRC32 checksum = new CRC32();
            checksum.update(id.getBytes(StandardCharsets.UTF_8));
            String other = byChecksum.put(checksum.getValue(), id);
            if (other != null) {
                return List.of(other, id);
            }
        }
    }

    @Test
    void walkEndsAndReachesBothWorkersWhoseIdsHaveTheSameChecksum() {
        List<String> ids = new ArrayList<>(ids(3));
        ids.addAll(idsWithTheSameChecksum());
        update(EndpointUpdateKind.SNAPSHOT, EndpointState.IN_SERVICE, ids);
        assertTimeoutPreemptively(WALK_TIMEOUT, () -> assertEquals(Set.copyOf(ids), Set.copyOf(order("f"))));
        String first = ids.get(3);
        update(EndpointUpdateKind.DELTA, EndpointState.DRAINING, List.of(first));
        ids.remove(first);
        assertEquals(Set.copyOf(ids), Set.copyOf(order("f")));
    }

    @Test
    void orderDoesNotDependOnTheSequenceOfUpdates() {
        List<String> ids = ids(300);
        update(EndpointUpdateKind.SNAPSHOT, EndpointState.IN_SERVICE, ids);
        List<String> atOnce = order("f");
        update(EndpointUpdateKind.DELTA, EndpointState.DRAINING, ids.subList(0, 100));
        update(EndpointUpdateKind.DELTA, EndpointState.GONE, ids.subList(50, 100));
        assertEquals(new HashSet<>(ids.subList(100, 300)), new HashSet<>(order("f")));
        for (String id : ids.subList(0, 100)) {
            update(EndpointUpdateKind.DELTA, EndpointState.IN_SERVICE, List.of(id));
        }
        assertEquals(atOnce, order("f"));
    }

    @Test
    void walkOfALargeFleetExaminesAndStoresABoundedNumberOfWorkers() {
        update(EndpointUpdateKind.SNAPSHOT, EndpointState.IN_SERVICE, ids(3200));
        Function function = new Function("f", DECAY, DECAY);
        List<String> examined = new ArrayList<>();
        assertNull(endpoints.firstInRingOrder(function, 256, null, worker -> !examined.add(worker.id)));
        assertEquals(256, Set.copyOf(examined).size());
        assertEquals(256, examined.size());
        assertEquals(256, function.ringOrder.size());
        assertEquals(examined, order("f").subList(0, 256));
    }
}
