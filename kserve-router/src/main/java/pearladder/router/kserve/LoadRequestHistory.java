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
 * The load requests that earlier processes of this router have sent, according to the event log.
 *
 * @param ages of the requests, by the wall clock
 * @param complete whether the log has all of them
 */
record LoadRequestHistory(List<TimeSpan> ages, boolean complete) {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.records");
    /** Number of latest entries read at first; multiplied by {@link #GROWTH_FACTOR} until they cover the window. */
    private static final long INITIAL_ENTRIES = 2_000;

    private static final long MAX_ENTRIES = 250_000;
    private static final int GROWTH_FACTOR = 5;

    /**
     * Reads the latest entries of a log, as far back as the window reaches. Nothing may be appended meanwhile.
     *
     * @param nowMillis the current time, in milliseconds since 1970
     */
    static LoadRequestHistory read(EventLog log, Path directory, TimeSpan window, long nowMillis) {
        List<TimeSpan> ages = new ArrayList<>();
        boolean complete = false;
        try {
            for (long entries = INITIAL_ENTRIES; !complete && entries <= MAX_ENTRIES; entries *= GROWTH_FACTOR) {
                ages.clear();
                complete = read(directory, Math.max(1, log.nextNumber() - entries), window, nowMillis, ages);
            }
        } catch (IOException unreadable) {
            LOG.atWarn()
                    .addKeyValue("cause", unreadable.getMessage())
                    .log("the load requests of earlier processes can't be read");
        }
        return new LoadRequestHistory(ages, complete && log.isComplete());
    }

    /** Adds the ages of load requests from an entry on, and returns whether these entries cover the window. */
    private static boolean read(Path directory, long firstNumber, TimeSpan window, long nowMillis, List<TimeSpan> ages)
            throws IOException {
        boolean[] covered = {firstNumber == 1};
        new EventLogReader(directory).read(firstNumber, (number, entry) -> {
            if (entry.type() == LogEntryType.ORDERED) {
                ages.add(TimeSpan.millis(nowMillis - entry.at()));
            }
            covered[0] |= entry.at() <= nowMillis - window.toMillis();
        });
        return covered[0];
    }
}
