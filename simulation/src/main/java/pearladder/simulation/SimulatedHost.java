package pearladder.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import pearladder.emulator.Timeline;
import pearladder.kserve.DiscoveryMessage;
import pearladder.rollout.RolloutTarget;
import pearladder.router.kserve.RolloutManager;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.PolicySnapshot;

/** Host of a router: its disk contents, which outlive the process, and the router that runs on it now, if any. */
final class SimulatedHost {
    /** Creates a router for each start of its process. */
    interface RouterFactory {
        /** Creates a router; the incarnation counts the starts on this host, from 0. */
        SimulatedRouter create(SimulatedHost host, long incarnation);
    }

    final String name;
    final String zone;
    private final Timeline time;
    private final Supplier<List<RolloutTarget>> peerTargets;
    private final RouterFactory routerFactory;
    private final InMemoryRolloutJournal rolloutJournal = new InMemoryRolloutJournal();
    private final List<Long> loadRequestsAt = new ArrayList<>();
    private Supplier<DiscoveryMessage> cachedEndpoints = () -> null;
    private PolicySnapshot snapshot;
    private long snapshotAt;
    private SimulatedRouter router;
    private long starts;
    private long decisions;
    private long decisionNanos;

    /** @param peerTargets returns the rollout targets that the other routers know */
    SimulatedHost(
            String name,
            String zone,
            Timeline time,
            Supplier<List<RolloutTarget>> peerTargets,
            RouterFactory routerFactory) {
        this.name = name;
        this.zone = zone;
        this.time = time;
        this.peerTargets = peerTargets;
        this.routerFactory = routerFactory;
    }

    /** Returns the running router, or null if there is none. */
    SimulatedRouter router() {
        return router;
    }

    void start() {
        router = routerFactory.create(this, starts);
        starts++;
        router.start();
    }

    void kill() {
        if (router != null) {
            router.kill();
            router = null;
        }
    }

    /** Returns the rollout targets that the other routers know. */
    List<RolloutTarget> peerTargets() {
        return peerTargets.get();
    }

    RolloutManager.Journal rolloutJournal() {
        return rolloutJournal;
    }

    /** Returns the last saved policy snapshot, or null if there is none. */
    PolicySnapshot snapshot() {
        return snapshot;
    }

    TimeSpan snapshotAge() {
        return new TimeSpan(time.now() - snapshotAt);
    }

    void saveSnapshot(PolicySnapshot newSnapshot) {
        snapshot = newSnapshot;
        snapshotAt = time.now();
    }

    void recordLoadRequest() {
        loadRequestsAt.add(time.now());
    }

    /** Returns the ages of the load requests of all incarnations. */
    List<TimeSpan> loadRequestAges() {
        return loadRequestsAt.stream().map(at -> new TimeSpan(time.now() - at)).toList();
    }

    /** Returns the endpoint list of the previous incarnation, or null if there is none. */
    DiscoveryMessage cachedEndpoints() {
        return cachedEndpoints.get();
    }

    /** Sets the source of the cached list. Only the next incarnation reads it, in its state at the end of this one. */
    void cacheEndpoints(Supplier<DiscoveryMessage> endpoints) {
        cachedEndpoints = endpoints;
    }

    /** Records a routing decision with its wall-clock time. */
    void recordDecision(long nanos) {
        decisions++;
        decisionNanos += nanos;
    }

    long decisions() {
        return decisions;
    }

    long decisionNanos() {
        return decisionNanos;
    }
}
