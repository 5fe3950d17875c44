package pearladder.writebuffer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** Random entries, writes and failures: bounds and order hold after each event, and each load request ends once. */
class WriteBufferRandomizedTest {
    @Test
    void keepsItsBoundsAndEndsEachLoadRequestOnce() {
        for (int seed = 0; seed < 200; seed++) {
            new RandomRun(seed).run();
        }
    }

    private static final class RandomRun {
        private final SplittableRandom random;
        private final WriteBuffer buffer = new WriteBuffer(TimeSpan.millis(20), TimeSpan.millis(50), 100, 30);
        private MonotonicTime now = new MonotonicTime(0);
        /** Entries in the buffer, by load request or step. */
        private final List<String> queue = new ArrayList<>();

        private final Set<String> onDisk = new HashSet<>();
        private final Set<String> pendingLoadRequests = new HashSet<>();
        private long dropped;
        private long reported;
        private int writing;

        RandomRun(int seed) {
            this.random = new SplittableRandom(seed);
        }

        void run() {
            for (int step = 0; step < 600; step++) {
                now = now.plus(TimeSpan.millis(random.nextInt(12)));
                WriteBufferEvent event = randomEvent(step);
                String loadRequestId =
                        event instanceof WriteBufferEvent.EntryReceived entry ? entry.loadRequestId() : "";
                boolean isAnswered = false;
                for (WriteBufferAction action : buffer.on(now, event)) {
                    isAnswered |= action instanceof WriteBufferAction.AcceptEntry
                            || action instanceof WriteBufferAction.DropEntry;
                    apply(action, step, loadRequestId);
                }
                assertEquals(event instanceof WriteBufferEvent.EntryReceived, isAnswered);
                assertEquals(queue.size(), buffer.size());
                assertTrue(buffer.size() <= 100);
                assertTrue(reported <= dropped);
            }
        }

        private WriteBufferEvent randomEvent(int step) {
            boolean isDetail = random.nextBoolean();
            if (writing > 0 && random.nextInt(6) == 0) {
                return endWrite();
            }
            if (random.nextInt(3) == 0) {
                return new WriteBufferEvent.Tick();
            }
            boolean hasLoadRequest = random.nextInt(5) == 0 && !isDetail;
            return new WriteBufferEvent.EntryReceived(isDetail, hasLoadRequest ? "o" + step : "");
        }

        private WriteBufferEvent endWrite() {
            boolean isWritten = random.nextInt(4) > 0;
            WriteBufferEvent event = isWritten
                    ? new WriteBufferEvent.Written(TimeSpan.millis(random.nextInt(80)))
                    : new WriteBufferEvent.WriteFailed("random failure");
            for (int i = 0; isWritten && i < writing; i++) {
                onDisk.add(queue.remove(0));
            }
            writing = 0;
            return event;
        }

        private void apply(WriteBufferAction action, int step, String loadRequestId) {
            if (action instanceof WriteBufferAction.AcceptEntry) {
                queue.add(loadRequestId.isEmpty() ? "e" + step : loadRequestId);
                if (!loadRequestId.isEmpty()) {
                    pendingLoadRequests.add(loadRequestId);
                }
            } else if (action instanceof WriteBufferAction.DropEntry) {
                dropped++;
            } else if (action instanceof WriteBufferAction.WriteBatch write) {
                assertEquals(0, writing, "one batch at a time");
                writing = write.entries();
                assertTrue(writing > 0 && writing <= queue.size());
            } else if (action instanceof WriteBufferAction.SendLoadRequest send) {
                assertTrue(pendingLoadRequests.remove(send.loadRequestId()), send.loadRequestId() + " ended twice");
                assertTrue(onDisk.contains(send.loadRequestId()), "sent before its entry was on disk");
            } else if (action instanceof WriteBufferAction.WithholdLoadRequest withhold) {
                assertTrue(
                        pendingLoadRequests.remove(withhold.loadRequestId())
                                || withhold.loadRequestId().equals(loadRequestId),
                        "ended twice");
            } else if (action instanceof WriteBufferAction.ReportDropped report) {
                reported += report.entries();
            }
        }
    }
}
