package pearladder.metering;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import pearladder.records.Cursor;
import pearladder.records.Entry;
import pearladder.records.Kind;
import pearladder.usage.Evidence;
import pearladder.usage.Share;
import pearladder.usage.Usage;

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
        final Cursor cursor;
        final Map<String, Long> starts = new HashMap<>();
        Entry head;

        Source(String router, Cursor cursor) throws IOException {
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
    public static Read read(List<Path> folders, Consumer<Share> taker) throws IOException {
        List<Source> sources = new ArrayList<>();
        try {
            for (Path folder : folders) {
                sources.add(new Source(folder.toString(), new Cursor(folder)));
            }
            return merge(sources, taker);
        } finally {
            sources.forEach(source -> source.cursor.close());
        }
    }

    private static Read merge(List<Source> sources, Consumer<Share> taker) throws IOException {
        long kept = sources.stream()
                .filter(source -> source.head != null && source.head.kind() == Kind.STARTED)
                .mapToLong(source -> source.head.amount())
                .max()
                .orElse(USUALLY_KEPT);
        Usage usage = new Usage(INTERVAL, kept, LATE);
        PriorityQueue<Source> next = new PriorityQueue<>(
                Comparator.<Source>comparingLong(source -> source.head.at()).thenComparing(source -> source.router));
        sources.stream().filter(source -> source.head != null).forEach(next::add);
        long entries = 0;
        long newest = 0;
        while (!next.isEmpty()) {
            Source source = next.poll();
            Entry entry = source.head;
            entries++;
            newest = Math.max(newest, entry.at());
            Evidence evidence = evidence(source, entry);
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
    private static Evidence evidence(Source source, Entry entry) {
        return switch (entry.kind()) {
            case MODEL -> new Evidence.Memory(entry.at(), source.router, entry.model(), entry.amount());
            case LOADING -> new Evidence.Loading(
                    entry.at(), source.router, entry.engine(), entry.model(), entry.account(), entry.took() / 1000);
            case LOADED -> entry.note().isEmpty()
                    ? null
                    : new Evidence.LoadFailed(entry.at(), source.router, entry.engine(), entry.model());
            case COPIES -> new Evidence.Copies(
                    entry.at(), source.router, entry.engine(), entry.model(), (int) entry.amount());
            case WORK -> new Evidence.Worked(
                    entry.at(), source.router, entry.engine(), entry.model(), entry.account(), entry.amount());
            case ENGINE -> engine(source, entry);
            default -> null;
        };
    }

    /** An engine that the list lets go, or tells with another start, holds nothing from then on. */
    private static Evidence engine(Source source, Entry entry) {
        if (entry.note().equals("GONE")) {
            source.starts.remove(entry.engine());
            return new Evidence.Gone(entry.at(), source.router, entry.engine());
        }
        Long before = source.starts.put(entry.engine(), entry.amount());
        return before == null || before == entry.amount() || entry.amount() == 0
                ? null
                : new Evidence.Gone(entry.amount(), source.router, entry.engine());
    }
}
