package pearladder.router.kserve;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.eventlog.EventLog;
import pearladder.eventlog.EventLogReader;
import pearladder.eventlog.LogEntryType;
import pearladder.routing.api.TimeSpan;

/**
 * The load requests that an earlier run has sent, as its event log has them.
 *
 * @param ages of the requests, by the wall clock
 * @param complete whether the log has all of them
 */
record LoadRequestHistory(List<TimeSpan> ages, boolean complete) {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.records");
    /** How many of the last entries are read; five times as many follow while they do not cover the window. */
    private static final long MIN_ENTRIES = 2_000;

    private static final long MAX_ENTRIES = 250_000;
    private static final int GROWTH_FACTOR = 5;

    /**
     * Reads from the end of a log, as far back as the window reaches. Nothing is appended meanwhile.
     *
     * @param nowMillis wall clock, milliseconds since 1970
     */
    static LoadRequestHistory read(EventLog log, Path directory, TimeSpan window, long nowMillis) {
        List<TimeSpan> ages = new ArrayList<>();
        boolean complete = false;
        try {
            for (long entries = MIN_ENTRIES; !complete && entries <= MAX_ENTRIES; entries *= GROWTH_FACTOR) {
                ages.clear();
                complete = read(directory, Math.max(1, log.nextNumber() - entries), window, nowMillis, ages);
            }
        } catch (IOException unreadable) {
            LOG.atWarn()
                    .addKeyValue("cause", unreadable.getMessage())
                    .log("the load requests of the last run can't be read");
        }
        return new LoadRequestHistory(ages, complete && log.isComplete());
    }

    /** Adds the ages of load requests from an entry on; whether these entries cover the window. */
    private static boolean read(Path directory, long first, TimeSpan window, long nowMillis, List<TimeSpan> ages)
            throws IOException {
        boolean[] covered = {first == 1};
        new EventLogReader(directory).read(first, (number, entry) -> {
            if (entry.type() == LogEntryType.ORDERED) {
                ages.add(TimeSpan.millis(nowMillis - entry.at()));
            }
            covered[0] |= entry.at() <= nowMillis - window.toMillis();
        });
        return covered[0];
    }
}
