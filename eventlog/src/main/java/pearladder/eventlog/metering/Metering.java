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

/** Memory-seconds from the records of any number of routers, merged by time. */
public final class Metering {
    /** Shares are split by the minute. */
    public static final long INTERVAL = 60_000;
    /** Work is told up to a cut late, loads up to their own length; clocks of routers differ. */
    private static final long LATE = 3 * INTERVAL;

    private static final long USUALLY_KEPT = 10_000;

    /** One router's records as they are read. */
    private static final class Source {
        final String router;
        final EventLogCursor cursor;
        final Map<String, Long> starts = new HashMap<>();
        LogEntry head;

        Source(String router, EventLogCursor cursor) throws IOException {
            this.router = router;
            this.cursor = cursor;
            this.head = cursor.next();
        }
    }

    /** What was read, and what could not be placed in time. */
    public record Read(long entries, long tooLate, long keptMillis) {}

    private Metering() {}

    /**
     * Reads all records and gives every share.
     *
     * @param folders of records, one a router
     * @param taker gets shares by interval, in order of time
     */
    public static Read read(List<Path> folders, Consumer<UsageShare> taker) throws IOException {
        List<Source> sources = new ArrayList<>();
        try {
            for (Path folder : folders) {
                sources.add(new Source(folder.toString(), new EventLogCursor(folder)));
            }
            return merge(sources, taker);
        } finally {
            sources.forEach(source -> source.cursor.close());
        }
    }

    private static Read merge(List<Source> sources, Consumer<UsageShare> taker) throws IOException {
        long kept = sources.stream()
                .filter(source -> source.head != null && source.head.kind() == LogEntryType.STARTED)
                .mapToLong(source -> source.head.amount())
                .max()
                .orElse(USUALLY_KEPT);
        UsageAccounting usage = new UsageAccounting(INTERVAL, kept, LATE);
        PriorityQueue<Source> next = new PriorityQueue<>(
                Comparator.<Source>comparingLong(source -> source.head.at()).thenComparing(source -> source.router));
        sources.stream().filter(source -> source.head != null).forEach(next::add);
        long entries = 0;
        long newest = 0;
        while (!next.isEmpty()) {
            Source source = next.poll();
            LogEntry entry = source.head;
            entries++;
            newest = Math.max(newest, entry.at());
            InstanceObservation evidence = evidence(source, entry);
            if (evidence != null) {
                usage.on(evidence).forEach(taker);
            }
            source.head = source.cursor.next();
            if (source.head != null) {
                next.add(source);
            }
        }
        usage.end(newest + kept).forEach(taker);
        return new Read(entries, usage.tooLate(), kept);
    }

    /** What an entry proves of memory, or null. */
    private static InstanceObservation evidence(Source source, LogEntry entry) {
        return switch (entry.kind()) {
            case MODEL -> new InstanceObservation.Memory(entry.at(), source.router, entry.model(), entry.amount());
            case LOADING -> new InstanceObservation.Loading(
                    entry.at(), source.router, entry.engine(), entry.model(), entry.account(), entry.took() / 1000);
            case LOADED -> entry.note().isEmpty()
                    ? null
                    : new InstanceObservation.LoadFailed(entry.at(), source.router, entry.engine(), entry.model());
            case COPIES -> new InstanceObservation.Copies(
                    entry.at(), source.router, entry.engine(), entry.model(), (int) entry.amount());
            case WORK -> new InstanceObservation.Worked(
                    entry.at(), source.router, entry.engine(), entry.model(), entry.account(), entry.amount());
            case ENGINE -> engine(source, entry);
            default -> null;
        };
    }

    /** An engine that the list lets go, or tells with another start, holds nothing from then on. */
    private static InstanceObservation engine(Source source, LogEntry entry) {
        if (entry.note().equals("GONE")) {
            source.starts.remove(entry.engine());
            return new InstanceObservation.Gone(entry.at(), source.router, entry.engine());
        }
        Long before = source.starts.put(entry.engine(), entry.amount());
        return before == null || before == entry.amount() || entry.amount() == 0
                ? null
                : new InstanceObservation.Gone(entry.amount(), source.router, entry.engine());
    }
}
