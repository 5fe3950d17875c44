package pearladder.eventlog;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Reads the entries of a directory's log one by one, in the order in which they were written, a batch at a time.
 * Damaged batches are left out.
 */
public final class EventLogCursor implements AutoCloseable {
    private final Deque<Path> files;
    private final Deque<LogEntry> entries = new ArrayDeque<>();
    /** The segment that is being read, or null between two of them. */
    private LogSegment segment;
    /** The number of the first entry of the last batch that was read. */
    private long lastBatch;

    /** @throws IOException where there is no such directory */
    public EventLogCursor(Path directory) throws IOException {
        new EventLogReader(directory);
        this.files = new ArrayDeque<>(EventLogReader.segments(directory));
    }

    /** The next entry, or null once there is none. */
    public LogEntry next() throws IOException {
        while (entries.isEmpty()) {
            if (segment != null) {
                readBatch();
            } else if (files.isEmpty()) {
                return null;
            } else {
                open(files.poll());
            }
        }
        return entries.poll();
    }

    private void readBatch() throws IOException {
        LogSegment.Stored batch = segment.after(lastBatch);
        if (batch == null) {
            segment.close();
            segment = null;
            return;
        }
        lastBatch = batch.first();
        if (batch.damage().isEmpty()) {
            LogBatch.decode(batch.bytes()).forEach(row -> entries.add(row.entry()));
        }
    }

    private void open(Path file) throws IOException {
        try {
            segment = LogSegment.read(file);
            lastBatch = LogSegment.first(file) - 1;
        } catch (UnsupportedFormatException newerVersion) {
            throw newerVersion;
        } catch (IOException damaged) {
            // its entries are lost; EventLogReader.verify reports it
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
