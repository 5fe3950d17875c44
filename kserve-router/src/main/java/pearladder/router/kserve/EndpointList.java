package pearladder.router.kserve;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pearladder.kserve.DiscoveryMessage;
import pearladder.kserve.DiscoveryMessage.Entry;
import pearladder.kserve.DiscoveryMessage.Standing;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;

/** The engines as the list has them, and what each line of it means for the module. */
public final class EndpointList {
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
    public EndpointList(long wallAhead, Consumer<Entry> came, Consumer<String> went) {
        this.wallAhead = wallAhead;
        this.came = came;
        this.went = went;
    }

    /** The list of an earlier life, as the first event; an empty one where it is null. */
    public Event.EndpointsUpdated restore(DiscoveryMessage last) {
        if (last != null) {
            last.entries().forEach(this::learn);
            known = !listed.isEmpty();
        }
        return new Event.EndpointsUpdated(
                Event.EndpointUpdateKind.CACHED,
                listed.values().stream().map(this::listing).toList());
    }

    /** Follows a line of the list service; what it says, for the module. */
    public Event.EndpointsUpdated apply(DiscoveryMessage line) {
        boolean whole = line.kind() == DiscoveryMessage.Kind.WHOLE;
        List<String> before = whole ? List.copyOf(listed.keySet()) : List.of();
        if (whole) {
            listed.clear();
        }
        line.entries().forEach(this::learn);
        before.stream().filter(engine -> !listed.containsKey(engine)).forEach(went);
        version = line.version();
        known = true;
        return new Event.EndpointsUpdated(
                whole ? Event.EndpointUpdateKind.SNAPSHOT : Event.EndpointUpdateKind.DELTA,
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

    private Event.Endpoint listing(Entry entry) {
        MonotonicTime since =
                entry.startedMillis() == 0 ? null : new MonotonicTime(entry.startedMillis() * 1_000_000L - wallAhead);
        return new Event.Endpoint(
                entry.engine(),
                entry.hall(),
                entry.kind(),
                entry.cell(),
                Event.EndpointState.valueOf(entry.standing().name()),
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
    public DiscoveryMessage whole() {
        return new DiscoveryMessage(DiscoveryMessage.Kind.WHOLE, version, List.copyOf(listed.values()));
    }
}
