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

/** A router's machine: what is on its disk, and the router that runs on it now, if any. */
final class SimulatedHost {
    /** Creates a router each time that its process starts. */
    interface RouterFactory {
        /** The incarnation counts the starts on this host, from 0. */
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

    /** @param peerTargets the rollout targets that the other routers know */
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

    /** The router that runs now, or null. */
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
            router.die();
            router = null;
        }
    }

    /** The rollout targets that the other routers know. */
    List<RolloutTarget> peerTargets() {
        return peerTargets.get();
    }

    RolloutManager.Journal rolloutJournal() {
        return rolloutJournal;
    }

    /** The last policy snapshot that was saved, or null. */
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

    /** The ages of all load requests that any incarnation sent. */
    List<TimeSpan> loadRequestAges() {
        return loadRequestsAt.stream().map(at -> new TimeSpan(time.now() - at)).toList();
    }

    /** The endpoint list that the last incarnation had, or null. */
    DiscoveryMessage cachedEndpoints() {
        return cachedEndpoints.get();
    }

    /** The list is only asked for by the next incarnation, and then as it was at the end of this one. */
    void cacheEndpoints(Supplier<DiscoveryMessage> endpoints) {
        cachedEndpoints = endpoints;
    }

    /** A routing decision took so long on this machine. */
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
