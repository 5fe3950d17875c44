package pearladder.router.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pearladder.api.Event;
import pearladder.api.Moment;
import pearladder.kserve.ListLine;
import pearladder.kserve.ListLine.Entry;
import pearladder.kserve.ListLine.Standing;

/** The engines as the list has them, and what each line of it means for the module. */
public final class EngineList {
    private final Map<String, Entry> listed = new LinkedHashMap<>();
    private final long wallAhead;
    private final Consumer<Entry> came;
    private final Consumer<String> went;
    private long version;
    private boolean known;

    /**
     * @param wallAhead wall clock less the moments' clock, nanoseconds: fixed, so that a start told twice is the same moment
     * @param came an entry was told, new or changed
     * @param went an engine is listed no more
     */
    public EngineList(long wallAhead, Consumer<Entry> came, Consumer<String> went) {
        this.wallAhead = wallAhead;
        this.came = came;
        this.went = went;
    }

    /** The list of an earlier life, as the first event; an empty one where it is null. */
    public Event.Listed remembered(ListLine last) {
        if (last != null) {
            last.entries().forEach(this::learn);
            known = !listed.isEmpty();
        }
        return new Event.Listed(
                Event.ListKind.REMEMBERED,
                listed.values().stream().map(this::listing).toList());
    }

    /** Follows a line of the list service; what it says, for the module. */
    public Event.Listed follow(ListLine line) {
        boolean whole = line.kind() == ListLine.Kind.WHOLE;
        List<String> before = whole ? List.copyOf(listed.keySet()) : List.of();
        if (whole) {
            listed.clear();
        }
        line.entries().forEach(this::learn);
        before.stream().filter(engine -> !listed.containsKey(engine)).forEach(went);
        version = line.version();
        known = true;
        return new Event.Listed(
                whole ? Event.ListKind.WHOLE : Event.ListKind.CHANGES,
                new ArrayList<>(line.entries().stream().map(this::listing).toList()));
    }

    private void learn(Entry entry) {
        if (entry.standing() == Standing.GONE) {
            listed.remove(entry.engine());
            went.accept(entry.engine());
        } else {
            listed.put(entry.engine(), entry);
            came.accept(entry);
        }
    }

    private Event.Listing listing(Entry entry) {
        Moment since = entry.startedMillis() == 0 ? null : new Moment(entry.startedMillis() * 1_000_000L - wallAhead);
        return new Event.Listing(
                entry.engine(),
                entry.hall(),
                entry.kind(),
                entry.cell(),
                Event.Standing.valueOf(entry.standing().name()),
                1,
                since);
    }

    /** Whether any list is known. */
    public boolean known() {
        return known;
    }

    public int size() {
        return listed.size();
    }

    /** The list as a line, to be remembered. */
    public ListLine whole() {
        return new ListLine(ListLine.Kind.WHOLE, version, List.copyOf(listed.values()));
    }
}
