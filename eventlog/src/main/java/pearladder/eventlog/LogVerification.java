package pearladder.eventlog;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Checks the segments of a log one after the other, oldest first. */
final class LogVerification {
    private static final long UNKNOWN = -1;

    private final List<String> damage = new ArrayList<>();
    private long batches;
    private long entries;
    private long bytes;
    /** The number that the next entry should have; unknown at the start, and after a file that can't be read. */
    private long expected = UNKNOWN;

    /** Reports a file that was renamed because it could not be read. */
    void addRenamed(Path file) {
        add(file, "set aside at a start, its entries are lost");
    }

    void check(Path file) {
        bytes += LogSegment.bytes(file);
        long first = LogSegment.first(file);
        if (expected >= 0 && first != expected) {
            add(file, "begins at entry " + first + " where " + expected + " would follow");
        }
        expected = first;
        try (LogSegment segment = LogSegment.read(file)) {
            segment.checkStructure(what -> add(file, what));
            segment.batches(batch -> check(file, batch));
        } catch (IOException unreadable) {
            add(file, unreadable.getMessage());
            expected = UNKNOWN;
        }
    }

    private void check(Path file, LogSegment.Stored batch) {
        batches++;
        entries += batch.count();
        if (batch.first() != expected) {
            add(file, "entries " + expected + " to " + (batch.first() - 1) + " are missing");
        }
        expected = batch.first() + batch.count();
        String batchDamage = batch.damage();
        if (!batchDamage.isEmpty()) {
            add(file, "entries " + batch.first() + " to " + (expected - 1) + ": " + batchDamage);
        }
    }

    private void add(Path file, String what) {
        damage.add(file.getFileName() + ": " + what);
    }

    EventLogReader.Verified result(int files) {
        return new EventLogReader.Verified(files, batches, entries, bytes, damage);
    }
}
