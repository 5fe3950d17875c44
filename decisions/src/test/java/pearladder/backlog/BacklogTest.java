package pearladder.backlog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pearladder.api.Moment;
import pearladder.api.Span;

class BacklogTest {
    private static final Span GATHER = Span.millis(20);
    private static final Span WINDOW = Span.millis(50);

    private final Backlog backlog = new Backlog(GATHER, WINDOW, 100, 30);
    private Moment now = new Moment(0);

    private List<BacklogAction> on(BacklogEvent event) {
        return backlog.on(now, event);
    }

    private List<BacklogAction> after(long millis, BacklogEvent event) {
        now = now.plus(Span.millis(millis));
        return on(event);
    }

    private static BacklogEvent fact() {
        return new BacklogEvent.Came(false, "");
    }

    private static BacklogEvent detail() {
        return new BacklogEvent.Came(true, "");
    }

    @Test
    void entriesAreGatheredAndWrittenTogether() {
        on(fact());
        assertEquals(List.of(new BacklogAction.Take()), after(5, fact()));
        assertEquals(List.of(new BacklogAction.Write(2)), after(15, new BacklogEvent.Due()));
        assertEquals(List.of(), after(30, new BacklogEvent.Due()));
        assertEquals(List.of(), on(new BacklogEvent.Written(Span.millis(2))));
        assertEquals(0, backlog.held());
    }

    @Test
    void anOrderGoesOutOnlyOnceItsRecordIsSafe() {
        assertEquals(
                List.of(new BacklogAction.Take(), new BacklogAction.Wake(WINDOW), new BacklogAction.Wake(GATHER)),
                on(new BacklogEvent.Came(false, "o1")));
        after(20, new BacklogEvent.Due());
        assertEquals(List.of(new BacklogAction.Go("o1")), after(3, new BacklogEvent.Written(Span.millis(3))));
    }

    @Test
    void anOrderDoesNotWaitForADiskThatStandsStill() {
        on(new BacklogEvent.Came(false, "o1"));
        after(20, new BacklogEvent.Due());
        assertEquals(
                List.of(new BacklogAction.Withhold("o1", "its record came too late")),
                after(30, new BacklogEvent.Due()));
        List<BacklogAction> late = after(450, new BacklogEvent.Written(Span.millis(480)));
        assertEquals(1, late.size());
        assertTrue(((BacklogAction.Log) late.get(0)).text().contains("late: 480 ms"));
    }

    @Test
    void aFullDiskCostsDetailsAndOrdersAndSaysSoOnceEachWay() {
        on(fact());
        after(20, new BacklogEvent.Due());
        List<BacklogAction> failed = on(new BacklogEvent.Failed("no space"));
        assertTrue(failed.stream().anyMatch(BacklogAction.Log.class::isInstance));
        assertEquals(List.of(new BacklogAction.LeaveOut()), on(detail()));
        assertTrue(on(new BacklogEvent.Came(false, "o1"))
                .contains(new BacklogAction.Withhold("o1", "its record can't be kept")));
        assertEquals(List.of(new BacklogAction.Write(2)), after(100, new BacklogEvent.Due()));
        assertFalse(on(new BacklogEvent.Failed("no space")).stream().anyMatch(BacklogAction.Log.class::isInstance));
        assertEquals(List.of(new BacklogAction.Write(2)), after(200, new BacklogEvent.Due()));
        List<BacklogAction> again = on(new BacklogEvent.Written(Span.millis(1)));
        assertTrue(again.get(0) instanceof BacklogAction.Log log
                && log.text().contains("kept again: 1 entries were left out, 0"));
        assertTrue(again.contains(new BacklogAction.TellLeftOut(1)));
    }

    @Test
    void aStopWritesWhatIsHeldWithoutGathering() {
        for (int i = 0; i < 29; i++) {
            on(fact());
        }
        assertEquals(List.of(new BacklogAction.Write(29)), on(new BacklogEvent.Stopping()));
    }

    /** After every step of drawn runs: bounds, order, and one end for every order. */
    @Test
    void lawsOnDrawnRuns() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Backlog drawn = new Backlog(GATHER, WINDOW, 100, 30);
            Moment at = new Moment(0);
            List<String> queue = new ArrayList<>();
            Set<String> safe = new HashSet<>();
            Set<String> open = new HashSet<>();
            List<String> left = new ArrayList<>();
            long told = 0;
            int writing = 0;
            for (int step = 0; step < 600; step++) {
                at = at.plus(Span.millis(random.nextInt(12)));
                String id = "";
                boolean isDetail = random.nextBoolean();
                BacklogEvent event;
                if (writing > 0 && random.nextInt(6) == 0) {
                    boolean well = random.nextInt(4) > 0;
                    event = well
                            ? new BacklogEvent.Written(Span.millis(random.nextInt(80)))
                            : new BacklogEvent.Failed("drawn");
                    for (int i = 0; well && i < writing; i++) {
                        safe.add(queue.remove(0));
                    }
                    writing = 0;
                } else if (random.nextInt(3) == 0) {
                    event = new BacklogEvent.Due();
                } else {
                    id = random.nextInt(5) == 0 && !isDetail ? "o" + step : "";
                    event = new BacklogEvent.Came(isDetail, id);
                }
                boolean taken = false;
                for (BacklogAction action : drawn.on(at, event)) {
                    if (action instanceof BacklogAction.Take) {
                        taken = true;
                        queue.add(id.isEmpty() ? "e" + step : id);
                        if (!id.isEmpty()) {
                            open.add(id);
                        }
                    } else if (action instanceof BacklogAction.LeaveOut) {
                        taken = true;
                        left.add("e" + step);
                    } else if (action instanceof BacklogAction.Write write) {
                        assertEquals(0, writing, "one batch at a time");
                        writing = write.entries();
                        assertTrue(writing > 0 && writing <= queue.size());
                    } else if (action instanceof BacklogAction.Go go) {
                        assertTrue(open.remove(go.order()), go.order() + " ended twice");
                        assertTrue(safe.contains(go.order()), "before its record was safe");
                    } else if (action instanceof BacklogAction.Withhold withhold) {
                        assertTrue(
                                open.remove(withhold.order())
                                        || withhold.order().equals(id),
                                "ended twice");
                    } else if (action instanceof BacklogAction.TellLeftOut tell) {
                        told += tell.entries();
                    }
                }
                assertEquals(event instanceof BacklogEvent.Came, taken);
                assertEquals(queue.size(), drawn.held());
                assertTrue(drawn.held() <= 100);
                assertTrue(told <= left.size());
            }
        }
    }
}
