package pearladder.routing.state;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** Converts a router's state to a snapshot and restores it in another process. */
public final class PolicySnapshotMapper {
    private final RouterState state;
    private final TypicalTimes typicalTimes;

    /** @param state the state to write and restore */
    public PolicySnapshotMapper(RouterState state) {
        this.state = state;
        this.typicalTimes = state.typicalTimes();
    }

    /** Returns a snapshot of the current state; placements without an assumed instance are left out. */
    public PolicySnapshot write(ToIntFunction<Placement> assumedInstances) {
        MonotonicTime now = state.now();
        List<PolicySnapshot.WorkerSnapshot> workers = new ArrayList<>();
        for (Worker worker : state.endpoints().inService()) {
            workers.add(writeWorker(worker));
        }
        List<PolicySnapshot.FunctionSnapshot> functions = new ArrayList<>();
        for (Function function : state.functions()) {
            functions.add(writeFunction(function, assumedInstances));
        }
        List<TimeSpan> loadRequestAges =
                state.loadQuota().loadRequests().stream().map(now::since).toList();
        DecayingMean loadSeconds = typicalTimes.loadSecondsMean();
        return new PolicySnapshot(
                TimeSpan.ZERO, workers, functions, loadRequestAges, loadSeconds.sum(now), loadSeconds.weight(now));
    }

    private PolicySnapshot.WorkerSnapshot writeWorker(Worker worker) {
        MonotonicTime now = state.now();
        TimeSpan ejectedFor = state.isPending(worker.ejectedUntil) ? worker.ejectedUntil.since(now) : TimeSpan.ZERO;
        TimeSpan uptime = worker.startedAt == null ? null : now.since(worker.startedAt);
        return new PolicySnapshot.WorkerSnapshot(worker.id, uptime, ejectedFor);
    }

    private PolicySnapshot.FunctionSnapshot writeFunction(
            Function function, ToIntFunction<Placement> assumedInstances) {
        MonotonicTime now = state.now();
        List<PolicySnapshot.InstanceSnapshot> instances = function.placements.values().stream()
                .filter(placement -> assumedInstances.applyAsInt(placement) > 0)
                .map(this::writeInstances)
                .toList();
        return new PolicySnapshot.FunctionSnapshot(
                function.id,
                Math.max(1, function.concurrency),
                function.memoryMb,
                function.typicalLoadTime,
                function.recentRequests.valueAt(now),
                function.warmResponses.valueAt(now),
                function.warmSeconds.valueAt(now),
                instances);
    }

    private PolicySnapshot.InstanceSnapshot writeInstances(Placement placement) {
        boolean cached = placement.function.cachedPlacements.contains(placement);
        TimeSpan sinceRenewed = state.now().since(placement.renewedAt);
        return new PolicySnapshot.InstanceSnapshot(placement.worker.id, placement.instances, sinceRenewed, cached);
    }

    /**
     * Restores the snapshot, without the parts that concern workers not in service. The caller has already removed the
     * parts that are no longer valid.
     *
     * @param cache adds a placement to its function's cached list
     */
    public void restore(PolicySnapshot snapshot, Consumer<Placement> cache) {
        MonotonicTime now = state.now();
        MonotonicTime writtenAt = now.minus(snapshot.age());
        for (PolicySnapshot.WorkerSnapshot workerSnapshot : snapshot.workers()) {
            Worker worker = state.endpoints().find(workerSnapshot.worker());
            if (worker != null && worker.onRing) {
                worker.ejectedUntil = now.plus(workerSnapshot.ejectedFor());
                state.endpoints().addContactedEarlier(worker);
            }
        }
        for (PolicySnapshot.FunctionSnapshot functionSnapshot : snapshot.functions()) {
            restoreFunction(functionSnapshot, writtenAt, cache);
        }
        snapshot.loadRequestAges().forEach(age -> state.loadQuota().addLoadRequest(now.minus(age)));
        typicalTimes.loadSecondsMean().addWeighted(writtenAt, snapshot.loadSeconds(), snapshot.loadCount());
    }

    private void restoreFunction(
            PolicySnapshot.FunctionSnapshot snapshot, MonotonicTime writtenAt, Consumer<Placement> cache) {
        Function function = state.function(snapshot.function());
        state.onServed(function);
        function.concurrency = snapshot.concurrency();
        function.memoryMb = snapshot.memoryMb();
        function.typicalLoadTime = snapshot.typicalLoadTime();
        function.requestCount += Math.round(snapshot.recentRequests());
        function.recentRequests.add(writtenAt, snapshot.recentRequests());
        function.warmResponses.add(writtenAt, snapshot.warmResponses());
        function.warmSeconds.add(writtenAt, snapshot.warmSeconds());
        for (PolicySnapshot.InstanceSnapshot instances : snapshot.instances()) {
            Worker worker = state.endpoints().find(instances.worker());
            if (worker != null && worker.onRing) {
                restoreInstances(function.placementOn(worker), instances, cache);
            }
        }
    }

    private void restoreInstances(
            Placement placement, PolicySnapshot.InstanceSnapshot snapshot, Consumer<Placement> cache) {
        placement.instances = snapshot.instances();
        placement.renewedAt = state.now().minus(snapshot.sinceRenewed());
        if (snapshot.cached()) {
            cache.accept(placement);
        }
    }
}
