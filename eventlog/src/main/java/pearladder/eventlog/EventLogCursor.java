package pearladder.eventlog;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Iterates over the entries of a directory's log in the order in which they were written; reads one batch at a time.
 * Skips damaged batches.
 */
public final class EventLogCursor implements AutoCloseable {
    private final Deque<Path> files;
    private final Deque<LogEntry> entries = new ArrayDeque<>();
    /** The segment that is being read, or null between two segments. */
    private LogSegment segment;
    /** The number of the first entry in the last batch that was read. */
    private long lastBatch;

    /** @throws IOException if there is no such directory */
    public EventLogCursor(Path directory) throws IOException {
        new EventLogReader(directory);
        this.files = new ArrayDeque<>(EventLogReader.segments(directory));
    }

    /** Returns the next entry, or null at the end of the log. */
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
        LogSegment.StoredBatch batch = segment.firstBatchAfter(lastBatch);
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
            segment = LogSegment.openForReading(file);
            lastBatch = LogSegment.firstNumber(file) - 1;
        } catch (UnsupportedFormatException newerVersion) {
            throw newerVersion;
        } catch (IOException damaged) {
            // its entries are lost, which EventLogReader.verify reports
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
