package pearladder.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import pearladder.kserve.DiscoveryMessage;
import pearladder.kserve.DiscoveryMessage.Entry;
import pearladder.kserve.DiscoveryMessage.Kind;
import pearladder.kserve.DiscoveryMessage.WorkerState;

/**
 * The state of the discovery service: the endpoint list with its version, and the routers that watch it. It knows only
 * whether a worker's process runs, and applies changes after a lag.
 */
public final class EndpointRegistry {
    /** One router's watch, which receives messages until it is removed. */
    public static final class Watcher {
        private final String router;
        private final Consumer<DiscoveryMessage> receiver;

        private Watcher(String router, Consumer<DiscoveryMessage> receiver) {
            this.router = router;
            this.receiver = receiver;
        }
    }

    /** Number of changes kept for reconnecting watchers; a watcher further behind is sent a snapshot. */
    private static final int HISTORY_LIMIT = 200;

    private final Timeline time;
    private final Consumer<Observation> observations;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final TreeMap<Long, Entry> changesByVersion = new TreeMap<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private long version;
    private long lagNanos;
    private boolean silent;
    private Set<String> hiddenWorkers = Set.of();
    private Set<String> splitViewRouters = Set.of();

    /**
     * Creates an empty registry.
     *
     * @param lagNanos delay after which a change is applied
     * @param observations receives each entry that a router is sent
     */
    public EndpointRegistry(Timeline time, long lagNanos, Consumer<Observation> observations) {
        this.time = time;
        this.lagNanos = lagNanos;
        this.observations = observations;
    }

    /** Sets the lag in nanoseconds of later changes; changes already scheduled keep their lag. */
    public void setLag(long nanos) {
        lagNanos = nanos;
    }

    /** Stops all messages, heartbeats included, on open connections; when turned off, sends everyone a snapshot. */
    public void setSilent(boolean on) {
        silent = on;
        if (!on) {
            sendSnapshotToAll();
        }
    }

    /** Hides the given workers from the given routers; other routers see the whole list. Empty sets end the split. */
    public void setSplitView(Set<String> routers, Set<String> workers) {
        splitViewRouters = Set.copyOf(routers);
        hiddenWorkers = Set.copyOf(workers);
        if (!silent) {
            sendSnapshotToAll();
        }
    }

    private void sendSnapshotToAll() {
        watchers.forEach(watcher -> send(watcher, snapshot()));
    }

    /** Applies the changed entry of a worker after the lag. */
    public void change(Entry entry) {
        time.after(lagNanos, () -> apply(entry));
    }

    private void apply(Entry entry) {
        version++;
        if (entry.state() == WorkerState.GONE) {
            entries.remove(entry.worker());
        } else {
            entries.put(entry.worker(), entry);
        }
        changesByVersion.put(version, entry);
        while (changesByVersion.size() > HISTORY_LIMIT) {
            changesByVersion.pollFirstEntry();
        }
        if (!silent) {
            DiscoveryMessage change = new DiscoveryMessage(Kind.CHANGES, version, List.of(entry));
            List.copyOf(watchers).forEach(watcher -> send(watcher, change));
        }
    }

    /** Returns the current endpoint list. */
    public DiscoveryMessage snapshot() {
        return new DiscoveryMessage(Kind.WHOLE, version, List.copyOf(entries.values()));
    }

    /**
     * Adds a router's watch. It is sent the changes since the router's version, or a snapshot if these are no longer
     * kept.
     *
     * @param knownVersion version of the router's endpoint list, or 0 if it has none
     */
    public Watcher watch(String router, long knownVersion, Consumer<DiscoveryMessage> receiver) {
        Watcher watcher = new Watcher(router, receiver);
        watchers.add(watcher);
        if (!silent) {
            send(watcher, hasChangesSince(knownVersion) ? changesSince(knownVersion) : snapshot());
        }
        return watcher;
    }

    private boolean hasChangesSince(long knownVersion) {
        if (knownVersion <= 0 || knownVersion > version) {
            return false;
        }
        boolean kept = !changesByVersion.isEmpty() && changesByVersion.firstKey() <= knownVersion + 1;
        return knownVersion == version || kept;
    }

    private DiscoveryMessage changesSince(long knownVersion) {
        List<Entry> changes =
                List.copyOf(changesByVersion.tailMap(knownVersion, false).values());
        return new DiscoveryMessage(Kind.CHANGES, version, changes);
    }

    /** Ends a watch. */
    public void removeWatcher(Watcher watcher) {
        watchers.remove(watcher);
    }

    /** Sends a heartbeat to every watcher. */
    public void sendHeartbeat() {
        if (!silent) {
            DiscoveryMessage heartbeat = new DiscoveryMessage(Kind.BEAT, version, List.of());
            watchers.forEach(watcher -> watcher.receiver.accept(heartbeat));
        }
    }

    private void send(Watcher watcher, DiscoveryMessage complete) {
        DiscoveryMessage message = viewOf(watcher.router, complete);
        message.entries().forEach(entry -> observations.accept(endpointSent(watcher.router, entry)));
        watcher.receiver.accept(message);
    }

    /** Removes the workers that are hidden from the router. */
    private DiscoveryMessage viewOf(String router, DiscoveryMessage message) {
        if (hiddenWorkers.isEmpty() || !splitViewRouters.contains(router)) {
            return message;
        }
        List<Entry> visible = message.entries().stream()
                .filter(entry -> !hiddenWorkers.contains(entry.worker()))
                .toList();
        return new DiscoveryMessage(message.kind(), message.version(), visible);
    }

    private Observation endpointSent(String router, Entry entry) {
        String state = entry.state().name();
        return new Observation(
                time.now(), Observation.ENDPOINT_SENT, router, "", 0, entry.worker(), "", state, entry.startedMillis());
    }
}
