package pearladder.writebuffer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

class BacklogTest {
    private static final TimeSpan GATHER = TimeSpan.millis(20);
    private static final TimeSpan WINDOW = TimeSpan.millis(50);

    private final WriteBuffer backlog = new WriteBuffer(GATHER, WINDOW, 100, 30);
    private MonotonicTime now = new MonotonicTime(0);

    private List<WriteBufferAction> on(WriteBufferEvent event) {
        return backlog.on(now, event);
    }

    private List<WriteBufferAction> after(long millis, WriteBufferEvent event) {
        now = now.plus(TimeSpan.millis(millis));
        return on(event);
    }

    private static WriteBufferEvent fact() {
        return new WriteBufferEvent.Came(false, "");
    }

    private static WriteBufferEvent detail() {
        return new WriteBufferEvent.Came(true, "");
    }

    @Test
    void entriesAreGatheredAndWrittenTogether() {
        on(fact());
        assertEquals(List.of(new WriteBufferAction.Take()), after(5, fact()));
        assertEquals(List.of(new WriteBufferAction.Write(2)), after(15, new WriteBufferEvent.Due()));
        assertEquals(List.of(), after(30, new WriteBufferEvent.Due()));
        assertEquals(List.of(), on(new WriteBufferEvent.Written(TimeSpan.millis(2))));
        assertEquals(0, backlog.held());
    }

    @Test
    void anOrderGoesOutOnlyOnceItsRecordIsSafe() {
        assertEquals(
                List.of(
                        new WriteBufferAction.Take(),
                        new WriteBufferAction.Wake(WINDOW),
                        new WriteBufferAction.Wake(GATHER)),
                on(new WriteBufferEvent.Came(false, "o1")));
        after(20, new WriteBufferEvent.Due());
        assertEquals(
                List.of(new WriteBufferAction.Go("o1")), after(3, new WriteBufferEvent.Written(TimeSpan.millis(3))));
    }

    @Test
    void anOrderDoesNotWaitForADiskThatStandsStill() {
        on(new WriteBufferEvent.Came(false, "o1"));
        after(20, new WriteBufferEvent.Due());
        assertEquals(
                List.of(new WriteBufferAction.Withhold("o1", "its record came too late")),
                after(30, new WriteBufferEvent.Due()));
        List<WriteBufferAction> late = after(450, new WriteBufferEvent.Written(TimeSpan.millis(480)));
        assertEquals(1, late.size());
        assertTrue(((WriteBufferAction.Log) late.get(0)).text().contains("late: 480 ms"));
    }

    @Test
    void aFullDiskCostsDetailsAndOrdersAndSaysSoOnceEachWay() {
        on(fact());
        after(20, new WriteBufferEvent.Due());
        List<WriteBufferAction> failed = on(new WriteBufferEvent.Failed("no space"));
        assertTrue(failed.stream().anyMatch(WriteBufferAction.Log.class::isInstance));
        assertEquals(List.of(new WriteBufferAction.LeaveOut()), on(detail()));
        assertTrue(on(new WriteBufferEvent.Came(false, "o1"))
                .contains(new WriteBufferAction.Withhold("o1", "its record can't be kept")));
        assertEquals(List.of(new WriteBufferAction.Write(2)), after(100, new WriteBufferEvent.Due()));
        assertFalse(
                on(new WriteBufferEvent.Failed("no space")).stream().anyMatch(WriteBufferAction.Log.class::isInstance));
        assertEquals(List.of(new WriteBufferAction.Write(2)), after(200, new WriteBufferEvent.Due()));
        List<WriteBufferAction> again = on(new WriteBufferEvent.Written(TimeSpan.millis(1)));
        assertTrue(again.get(0) instanceof WriteBufferAction.Log log
                && log.text().contains("kept again: 1 entries were left out, 0"));
        assertTrue(again.contains(new WriteBufferAction.TellLeftOut(1)));
    }

    @Test
    void aStopWritesWhatIsHeldWithoutGathering() {
        for (int i = 0; i < 29; i++) {
            on(fact());
        }
        assertEquals(List.of(new WriteBufferAction.Write(29)), on(new WriteBufferEvent.Stopping()));
    }

    /** After every step of drawn runs: bounds, order, and one end for every order. */
    @Test
    void lawsOnDrawnRuns() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            WriteBuffer drawn = new WriteBuffer(GATHER, WINDOW, 100, 30);
            MonotonicTime at = new MonotonicTime(0);
            List<String> queue = new ArrayList<>();
            Set<String> safe = new HashSet<>();
            Set<String> open = new HashSet<>();
            List<String> left = new ArrayList<>();
            long told = 0;
            int writing = 0;
            for (int step = 0; step < 600; step++) {
                at = at.plus(TimeSpan.millis(random.nextInt(12)));
                String id = "";
                boolean isDetail = random.nextBoolean();
                WriteBufferEvent event;
                if (writing > 0 && random.nextInt(6) == 0) {
                    boolean well = random.nextInt(4) > 0;
                    event = well
                            ? new WriteBufferEvent.Written(TimeSpan.millis(random.nextInt(80)))
                            : new WriteBufferEvent.Failed("drawn");
                    for (int i = 0; well && i < writing; i++) {
                        safe.add(queue.remove(0));
                    }
                    writing = 0;
                } else if (random.nextInt(3) == 0) {
                    event = new WriteBufferEvent.Due();
                } else {
                    id = random.nextInt(5) == 0 && !isDetail ? "o" + step : "";
                    event = new WriteBufferEvent.Came(isDetail, id);
                }
                boolean taken = false;
                for (WriteBufferAction action : drawn.on(at, event)) {
                    if (action instanceof WriteBufferAction.Take) {
                        taken = true;
                        queue.add(id.isEmpty() ? "e" + step : id);
                        if (!id.isEmpty()) {
                            open.add(id);
                        }
                    } else if (action instanceof WriteBufferAction.LeaveOut) {
                        taken = true;
                        left.add("e" + step);
                    } else if (action instanceof WriteBufferAction.Write write) {
                        assertEquals(0, writing, "one batch at a time");
                        writing = write.entries();
                        assertTrue(writing > 0 && writing <= queue.size());
                    } else if (action instanceof WriteBufferAction.Go go) {
                        assertTrue(open.remove(go.order()), go.order() + " ended twice");
                        assertTrue(safe.contains(go.order()), "before its record was safe");
                    } else if (action instanceof WriteBufferAction.Withhold withhold) {
                        assertTrue(
                                open.remove(withhold.order())
                                        || withhold.order().equals(id),
                                "ended twice");
                    } else if (action instanceof WriteBufferAction.TellLeftOut tell) {
                        told += tell.entries();
                    }
                }
                assertEquals(event instanceof WriteBufferEvent.Came, taken);
                assertEquals(queue.size(), drawn.held());
                assertTrue(drawn.held() <= 100);
                assertTrue(told <= left.size());
            }
        }
    }
}
