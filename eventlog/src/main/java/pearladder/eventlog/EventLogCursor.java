package pearladder.eventlog;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;

/** Reads a folder's entries one by one, in the order written, a batch at a time; damaged batches are passed over. */
public final class EventLogCursor implements AutoCloseable {
    private final Deque<Path> files;
    private final Deque<LogEntry> entries = new ArrayDeque<>();
    private LogSegment segment;
    private long after;

    /** @throws IOException where there is no such folder */
    public EventLogCursor(Path folder) throws IOException {
        new EventLogReader(folder);
        this.files = new ArrayDeque<>(EventLogReader.segments(folder));
    }

    /** The next entry, or null once there is none. */
    public LogEntry next() throws IOException {
        while (entries.isEmpty()) {
            if (segment == null) {
                Path file = files.poll();
                if (file == null) {
                    return null;
                }
                open(file);
                continue;
            }
            LogSegment.Stored batch = segment.after(after);
            if (batch == null) {
                segment.close();
                segment = null;
                continue;
            }
            after = batch.first();
            if (batch.damage().isEmpty()) {
                LogBatch.decode(batch.bytes()).forEach(row -> entries.add(row.entry()));
            }
        }
        return entries.poll();
    }

    private void open(Path file) throws IOException {
        try {
            segment = LogSegment.read(file);
            after = LogSegment.first(file) - 1;
        } catch (UnsupportedFormatException unread) {
            throw unread;
        } catch (IOException damaged) {
            // its entries are lost; verify tells of it
            segment = null;
        }
    }

    @Override
    public void close() {
        if (segment != null) {
            segment.close();
        }
    }
}
