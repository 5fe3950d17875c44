package pearladder.router.kserve;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pearladder.kserve.DiscoveryMessage;
import pearladder.kserve.DiscoveryMessage.Entry;
import pearladder.kserve.DiscoveryMessage.WorkerState;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;

/** The workers that the discovery service lists; converts its messages to events for the routing policy. */
public final class EndpointList {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final long wallClockOffsetNanos;
    private final Consumer<Entry> onUpdated;
    private final Consumer<String> onRemoved;
    private long version;
    private boolean known;

    /**
     * Creates an empty list.
     *
     * @param wallClockOffsetNanos wall clock minus monotonic clock; fixed, so that a start time that is listed twice
     *     is converted to the same monotonic time
     * @param onUpdated called with each entry that is received, new or changed
     * @param onRemoved called with each worker that is no longer listed
     */
    public EndpointList(long wallClockOffsetNanos, Consumer<Entry> onUpdated, Consumer<String> onRemoved) {
        this.wallClockOffsetNanos = wallClockOffsetNanos;
        this.onUpdated = onUpdated;
        this.onRemoved = onRemoved;
    }

    /**
     * Restores the endpoint list of the previous process.
     *
     * @param cached the cached list, or null where there is none
     * @return the endpoint list as the policy's first event
     */
    public Event.EndpointsUpdated restore(DiscoveryMessage cached) {
        if (cached != null) {
            cached.entries().forEach(this::update);
            known = !entries.isEmpty();
        }
        return new Event.EndpointsUpdated(
                Event.EndpointUpdateKind.CACHED,
                entries.values().stream().map(this::endpoint).toList());
    }

    /** Applies a message of the discovery service, and returns it as an event for the policy. */
    public Event.EndpointsUpdated apply(DiscoveryMessage message) {
        boolean complete = message.kind() == DiscoveryMessage.Kind.WHOLE;
        List<String> listedBefore = complete ? List.copyOf(entries.keySet()) : List.of();
        if (complete) {
            entries.clear();
        }
        message.entries().forEach(this::update);
        listedBefore.stream().filter(worker -> !entries.containsKey(worker)).forEach(onRemoved);
        version = message.version();
        known = true;
        return new Event.EndpointsUpdated(
                complete ? Event.EndpointUpdateKind.SNAPSHOT : Event.EndpointUpdateKind.DELTA,
                new ArrayList<>(message.entries().stream().map(this::endpoint).toList()));
    }

    private void update(Entry entry) {
        if (entry.state() == WorkerState.GONE) {
            entries.remove(entry.worker());
            onRemoved.accept(entry.worker());
        } else {
            entries.put(entry.worker(), entry);
            onUpdated.accept(entry);
        }
    }

    private Event.Endpoint endpoint(Entry entry) {
        return new Event.Endpoint(
                entry.worker(), entry.zone(), entry.kind(), entry.cell(), state(entry.state()), 1, startedAt(entry));
    }

    private static Event.EndpointState state(WorkerState state) {
        return switch (state) {
            case IN_SERVICE -> Event.EndpointState.IN_SERVICE;
            case DRAINING -> Event.EndpointState.DRAINING;
            case GONE -> Event.EndpointState.GONE;
        };
    }

    private MonotonicTime startedAt(Entry entry) {
        if (entry.startedMillis() == 0) {
            return null;
        }
        return new MonotonicTime(entry.startedMillis() * NANOS_PER_MILLI - wallClockOffsetNanos);
    }

    /** Returns whether a list was received, or restored with entries. */
    public boolean isKnown() {
        return known;
    }

    /** Returns the number of listed workers. */
    public int size() {
        return entries.size();
    }

    /** Returns the complete list as a message, to be cached. */
    public DiscoveryMessage snapshot() {
        return new DiscoveryMessage(DiscoveryMessage.Kind.WHOLE, version, List.copyOf(entries.values()));
    }
}
