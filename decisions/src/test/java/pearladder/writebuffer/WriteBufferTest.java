package pearladder.writebuffer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

class WriteBufferTest {
    private static final TimeSpan GATHER_TIME = TimeSpan.millis(20);
    private static final TimeSpan LOSS_WINDOW = TimeSpan.millis(50);

    private final WriteBuffer buffer = new WriteBuffer(GATHER_TIME, LOSS_WINDOW, 100, 30);
    private MonotonicTime now = new MonotonicTime(0);

    private List<WriteBufferAction> on(WriteBufferEvent event) {
        return buffer.on(now, event);
    }

    private List<WriteBufferAction> after(long millis, WriteBufferEvent event) {
        now = now.plus(TimeSpan.millis(millis));
        return on(event);
    }

    private static WriteBufferEvent entry() {
        return new WriteBufferEvent.EntryReceived(false, "");
    }

    private static WriteBufferEvent detail() {
        return new WriteBufferEvent.EntryReceived(true, "");
    }

    @Test
    void writesGatheredEntriesInOneBatch() {
        on(entry());
        assertEquals(List.of(new WriteBufferAction.AcceptEntry()), after(5, entry()));
        assertEquals(List.of(new WriteBufferAction.WriteBatch(2)), after(15, new WriteBufferEvent.Tick()));
        assertEquals(List.of(), after(30, new WriteBufferEvent.Tick()));
        assertEquals(List.of(), on(new WriteBufferEvent.Written(TimeSpan.millis(2))));
        assertEquals(0, buffer.size());
    }

    @Test
    void sendsALoadRequestOnlyWhenItsEntryIsOnDisk() {
        assertEquals(
                List.of(
                        new WriteBufferAction.AcceptEntry(),
                        new WriteBufferAction.ScheduleTick(LOSS_WINDOW),
                        new WriteBufferAction.ScheduleTick(GATHER_TIME)),
                on(new WriteBufferEvent.EntryReceived(false, "o1")));
        after(20, new WriteBufferEvent.Tick());
        assertEquals(
                List.of(new WriteBufferAction.SendLoadRequest("o1")),
                after(3, new WriteBufferEvent.Written(TimeSpan.millis(3))));
    }

    @Test
    void withholdsALoadRequestWhenTheDiskHangs() {
        on(new WriteBufferEvent.EntryReceived(false, "o1"));
        after(20, new WriteBufferEvent.Tick());
        assertEquals(
                List.of(new WriteBufferAction.WithholdLoadRequest("o1", "its event log entry was not written in time")),
                after(30, new WriteBufferEvent.Tick()));
        List<WriteBufferAction> late = after(450, new WriteBufferEvent.Written(TimeSpan.millis(480)));
        assertEquals(1, late.size());
        assertTrue(((WriteBufferAction.Log) late.get(0)).text().contains("late: 480 ms"));
    }

    @Test
    void dropsDetailsAndWithholdsLoadRequestsWhileTheDiskIsFullAndLogsItOnce() {
        on(entry());
        after(20, new WriteBufferEvent.Tick());
        List<WriteBufferAction> failed = on(new WriteBufferEvent.WriteFailed("no space"));
        assertTrue(failed.stream().anyMatch(WriteBufferAction.Log.class::isInstance));
        assertEquals(List.of(new WriteBufferAction.DropEntry()), on(detail()));
        assertTrue(on(new WriteBufferEvent.EntryReceived(false, "o1"))
                .contains(new WriteBufferAction.WithholdLoadRequest("o1", "the event log can't be written")));
        assertEquals(List.of(new WriteBufferAction.WriteBatch(2)), after(100, new WriteBufferEvent.Tick()));
        assertFalse(on(new WriteBufferEvent.WriteFailed("no space")).stream()
                .anyMatch(WriteBufferAction.Log.class::isInstance));
        assertEquals(List.of(new WriteBufferAction.WriteBatch(2)), after(200, new WriteBufferEvent.Tick()));
        List<WriteBufferAction> again = on(new WriteBufferEvent.Written(TimeSpan.millis(1)));
        assertTrue(again.get(0) instanceof WriteBufferAction.Log log
                && log.text().contains("written again: 1 entries were dropped, 0"));
        assertTrue(again.contains(new WriteBufferAction.ReportDropped(1)));
    }

    @Test
    void writesAtOnceWhenStopping() {
        for (int i = 0; i < 29; i++) {
            on(entry());
        }
        assertEquals(List.of(new WriteBufferAction.WriteBatch(29)), on(new WriteBufferEvent.ShutdownBegun()));
    }
}
