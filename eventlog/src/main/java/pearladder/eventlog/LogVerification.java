package pearladder.eventlog;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Checks the segments of a log in sequence, oldest first. */
final class LogVerification {
    private static final long UNKNOWN = -1;

    private final List<String> damage = new ArrayList<>();
    private long batches;
    private long entries;
    private long bytes;
    /** The expected number of the next entry; unknown at the start and after a file that can't be read. */
    private long expected = UNKNOWN;

    /** Reports a file that was renamed because it could not be read. */
    void addRenamed(Path file) {
        add(file, "renamed at a start because it could not be read; its entries are lost");
    }

    void check(Path file) {
        bytes += LogSegment.sizeBytes(file);
        long first = LogSegment.firstNumber(file);
        if (expected >= 0 && first != expected) {
            add(file, "begins at entry " + first + " where entry " + expected + " was expected");
        }
        expected = first;
        try (LogSegment segment = LogSegment.openForReading(file)) {
            segment.checkStructure(problem -> add(file, problem));
            segment.forEachBatch(batch -> check(file, batch));
        } catch (IOException unreadable) {
            add(file, unreadable.getMessage());
            expected = UNKNOWN;
        }
    }

    private void check(Path file, LogSegment.StoredBatch batch) {
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

    private void add(Path file, String problem) {
        damage.add(file.getFileName() + ": " + problem);
    }

    EventLogReader.VerificationResult result(int files) {
        return new EventLogReader.VerificationResult(files, batches, entries, bytes, damage);
    }
}
