package pearladder.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ModelStoreTest {
    private static final long MS = 1_000_000;

    private final VirtualTimeline time = new VirtualTimeline();
    private final ModelStore modelStore = new ModelStore(time, 2, 4);

    @Test
    void fetchesShareTheCapacityAndAreRejectedBeyondTheLimit() {
        List<Long> endedAt = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            modelStore.fetch(100 * MS, fetched -> endedAt.add(time.now()));
        }
        List<Boolean> rejected = new ArrayList<>();
        modelStore.fetch(100 * MS, rejected::add);
        time.advanceTo(199 * MS);
        assertEquals(List.of(false), rejected);
        assertEquals(0, endedAt.size());
        time.advanceTo(201 * MS);
        assertEquals(4, endedAt.size());
        modelStore.setSlowdown(5);
        modelStore.fetch(100 * MS, fetched -> endedAt.add(time.now()));
        time.advanceTo(690 * MS);
        assertEquals(4, endedAt.size());
        time.advanceTo(702 * MS);
        assertEquals(5, endedAt.size());
    }
}
