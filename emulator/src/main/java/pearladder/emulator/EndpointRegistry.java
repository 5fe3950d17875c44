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
import pearladder.kserve.DiscoveryMessage.Standing;

/** The list service's own state: it knows only whether a process runs, and tells what changed late. */
public final class EndpointRegistry {
    /** One router's connection; gets lines until it closes. */
    public static final class Watcher {
        private final String router;
        private final Consumer<DiscoveryMessage> out;

        private Watcher(String router, Consumer<DiscoveryMessage> out) {
            this.router = router;
            this.out = out;
        }
    }

    private static final int REMEMBERED = 200;

    private final Timeline time;
    private final Consumer<Observation> seen;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final TreeMap<Long, Entry> history = new TreeMap<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private long version;
    private long lag;
    private boolean silent;
    private Set<String> hidden = Set.of();
    private Set<String> misled = Set.of();

    public EndpointRegistry(Timeline time, long lag, Consumer<Observation> seen) {
        this.time = time;
        this.lag = lag;
        this.seen = seen;
    }

    /** How late changes are told, in nanoseconds. */
    public void setLag(long nanos) {
        lag = nanos;
    }

    /** A silent list keeps its connections and says nothing, not even a beat. */
    public void silent(boolean on) {
        silent = on;
        if (!on) {
            watchers.forEach(watcher -> tell(watcher, snapshot()));
        }
    }

    /** Two truths: some routers are told that some engines are gone, and the others that they are not; none mends it. */
    public void setSplitView(Set<String> routers, Set<String> engines) {
        misled = Set.copyOf(routers);
        hidden = Set.copyOf(engines);
        if (!silent) {
            watchers.forEach(watcher -> tell(watcher, snapshot()));
        }
    }

    private DiscoveryMessage seenBy(String router, DiscoveryMessage line) {
        return hidden.isEmpty() || !misled.contains(router)
                ? line
                : new DiscoveryMessage(
                        line.kind(),
                        line.version(),
                        line.entries().stream()
                                .filter(entry -> !hidden.contains(entry.engine()))
                                .toList());
    }

    /** An engine changed; the list knows it after its lag. */
    public void change(Entry entry) {
        time.after(lag, () -> {
            version++;
            if (entry.standing() == Standing.GONE) {
                entries.remove(entry.engine());
            } else {
                entries.put(entry.engine(), entry);
            }
            history.put(version, entry);
            while (history.size() > REMEMBERED) {
                history.pollFirstEntry();
            }
            if (!silent) {
                DiscoveryMessage line = new DiscoveryMessage(DiscoveryMessage.Kind.CHANGES, version, List.of(entry));
                List.copyOf(watchers).forEach(watcher -> tell(watcher, line));
            }
        });
    }

    /** The whole list as it is known now. */
    public DiscoveryMessage snapshot() {
        return new DiscoveryMessage(DiscoveryMessage.Kind.WHOLE, version, List.copyOf(entries.values()));
    }

    /** A router watches from the version it has on; after a long gap it gets the whole list. */
    public Watcher watch(String router, long from, Consumer<DiscoveryMessage> out) {
        Watcher watcher = new Watcher(router, out);
        watchers.add(watcher);
        if (!silent) {
            boolean known = from > 0
                    && from <= version
                    && (from == version || !history.isEmpty() && history.firstKey() <= from + 1);
            tell(
                    watcher,
                    known
                            ? new DiscoveryMessage(
                                    DiscoveryMessage.Kind.CHANGES,
                                    version,
                                    List.copyOf(history.tailMap(from, false).values()))
                            : snapshot());
        }
        return watcher;
    }

    public void removeWatcher(Watcher watcher) {
        watchers.remove(watcher);
    }

    /** A sign of life to every router. */
    public void sendHeartbeat() {
        if (!silent) {
            DiscoveryMessage line = new DiscoveryMessage(DiscoveryMessage.Kind.BEAT, version, List.of());
            watchers.forEach(watcher -> watcher.out.accept(line));
        }
    }

    private void tell(Watcher watcher, DiscoveryMessage all) {
        DiscoveryMessage line = seenBy(watcher.router, all);
        for (Entry entry : line.entries()) {
            seen.accept(new Observation(
                    time.now(),
                    Observation.TOLD,
                    watcher.router,
                    "",
                    0,
                    entry.engine(),
                    "",
                    entry.standing().name(),
                    entry.startedMillis()));
        }
        watcher.out.accept(line);
    }
}
