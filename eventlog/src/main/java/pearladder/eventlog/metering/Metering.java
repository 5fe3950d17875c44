package pearladder.eventlog.metering;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import pearladder.eventlog.EventLogCursor;
import pearladder.eventlog.LogEntry;
import pearladder.eventlog.LogEntryType;
import pearladder.metering.InstanceObservation;
import pearladder.metering.UsageAccounting;
import pearladder.metering.UsageShare;

/** Computes memory-seconds from the event logs of any number of routers, merged by time. */
public final class Metering {
    /** Length of the intervals for which shares are computed, one minute. */
    public static final long INTERVAL_MILLIS = 60_000;
    /**
     * Entries that are later than this are skipped. Entries can be late because usage is logged after the fact, a load
     * is logged once it has ended, and the clocks of routers differ.
     */
    private static final long MAX_LATENESS_MILLIS = 3 * INTERVAL_MILLIS;
    /** Used if no log's first entry has the idle timeout. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 10_000;
    /** Note of an entry about a worker that is no longer listed. */
    private static final String GONE = "GONE";

    private static final int MICROS_PER_MILLI = 1000;

    /** The log of one router, with its next unprocessed entry. */
    private static final class Source {
        final String router;
        final EventLogCursor cursor;
        /** Last known start of each worker, in milliseconds since 1970. */
        final Map<String, Long> workerStarts = new HashMap<>();
        /** The next unprocessed entry; null at the end of the log. */
        LogEntry head;

        Source(String router, EventLogCursor cursor) throws IOException {
            this.router = router;
            this.cursor = cursor;
            this.head = cursor.next();
        }
    }

    /**
     * The result of reading event logs.
     *
     * @param entries number of entries in all logs
     * @param lateEntries number of entries that were skipped because they were too late
     * @param idleTimeoutMillis time for which idle instances stay loaded
     */
    public record MeteringResult(long entries, long lateEntries, long idleTimeoutMillis) {}

    private Metering() {}

    /**
     * Reads all logs and computes all usage shares.
     *
     * @param directories directories of the logs, one for each router
     * @param consumer receives the shares by interval, in order of time
     */
    public static MeteringResult computeShares(List<Path> directories, Consumer<UsageShare> consumer)
            throws IOException {
        List<Source> sources = new ArrayList<>();
        try {
            for (Path directory : directories) {
                sources.add(new Source(directory.toString(), new EventLogCursor(directory)));
            }
            return merge(sources, consumer);
        } finally {
            sources.forEach(source -> source.cursor.close());
        }
    }

    private static MeteringResult merge(List<Source> sources, Consumer<UsageShare> consumer) throws IOException {
        long idleTimeout = idleTimeoutMillis(sources);
        UsageAccounting accounting = new UsageAccounting(INTERVAL_MILLIS, idleTimeout, MAX_LATENESS_MILLIS);
        PriorityQueue<Source> oldestFirst = new PriorityQueue<>(
                Comparator.<Source>comparingLong(source -> source.head.at()).thenComparing(source -> source.router));
        sources.stream().filter(source -> source.head != null).forEach(oldestFirst::add);
        long entries = 0;
        long newest = 0;
        while (!oldestFirst.isEmpty()) {
            Source source = oldestFirst.poll();
            LogEntry entry = source.head;
            entries++;
            newest = Math.max(newest, entry.at());
            InstanceObservation observation = observation(source, entry);
            if (observation != null) {
                accounting.on(observation).forEach(consumer);
            }
            source.head = source.cursor.next();
            if (source.head != null) {
                oldestFirst.add(source);
            }
        }
        accounting.finish(newest + idleTimeout).forEach(consumer);
        return new MeteringResult(entries, accounting.lateObservationCount(), idleTimeout);
    }

    /** Returns the longest idle timeout in the first entries of the logs. */
    private static long idleTimeoutMillis(List<Source> sources) {
        return sources.stream()
                .filter(source -> source.head != null && source.head.type() == LogEntryType.STARTED)
                .mapToLong(source -> source.head.amount())
                .max()
                .orElse(DEFAULT_IDLE_TIMEOUT_MILLIS);
    }

    /** Returns the observation of instances that an entry contains, or null. */
    private static InstanceObservation observation(Source source, LogEntry entry) {
        long at = entry.at();
        String router = source.router;
        return switch (entry.type()) {
            case MODEL -> new InstanceObservation.ModelMemoryKnown(at, router, entry.function(), entry.amount());
            case LOADING -> new InstanceObservation.LoadStarted(
                    at, router, entry.worker(), entry.function(), entry.tenant(), entry.micros() / MICROS_PER_MILLI);
            case LOADED -> entry.note().isEmpty()
                    ? null
                    : new InstanceObservation.LoadFailed(at, router, entry.worker(), entry.function());
            case COPIES -> new InstanceObservation.InstancesReported(
                    at, router, entry.worker(), entry.function(), (int) entry.amount());
            case WORK -> new InstanceObservation.WorkReported(
                    at, router, entry.worker(), entry.function(), entry.tenant(), entry.amount());
            case ENGINE -> workerGone(source, entry);
            default -> null;
        };
    }

    /** Returns an observation if a worker lost its instances, as it is no longer listed or was restarted; else null. */
    private static InstanceObservation workerGone(Source source, LogEntry entry) {
        if (entry.note().equals(GONE)) {
            source.workerStarts.remove(entry.worker());
            return new InstanceObservation.WorkerGone(entry.at(), source.router, entry.worker());
        }
        Long previousStart = source.workerStarts.put(entry.worker(), entry.amount());
        boolean restarted = previousStart != null && previousStart != entry.amount() && entry.amount() != 0;
        return restarted ? new InstanceObservation.WorkerGone(entry.amount(), source.router, entry.worker()) : null;
    }
}
