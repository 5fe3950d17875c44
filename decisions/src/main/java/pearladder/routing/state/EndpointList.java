package pearladder.routing.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import pearladder.routing.api.Event;
import pearladder.routing.api.Event.EndpointState;
import pearladder.routing.api.MonotonicTime;

/** The workers as the endpoint list states them, with sorted sublists and the hash ring kept up to date. */
public final class EndpointList {
    private static final Comparator<Worker> BY_ID = Comparator.comparing(worker -> worker.id);

    private final HashRing ring;
    private final DecayTimes decayTimes;
    private final Map<String, Worker> workers = new TreeMap<>();
    private final List<Worker> inService = new ArrayList<>();
    private final List<Worker> contacted = new ArrayList<>();
    private final List<Worker> warmingUp = new ArrayList<>();

    EndpointList(HashRing ring, DecayTimes decayTimes) {
        this.ring = ring;
        this.decayTimes = decayTimes;
    }

    /** The workers in service, by id. */
    public List<Worker> inService() {
        return inService;
    }

    /** The workers in service that were ever sent an attempt, by id. */
    public List<Worker> contacted() {
        return contacted;
    }

    /** The workers in service that were warming up when last checked, by id. */
    public List<Worker> warmingUp() {
        return warmingUp;
    }

    /** The worker, or null where no list ever named it. */
    public Worker find(String workerId) {
        return workers.get(workerId);
    }

    /**
     * The first worker in service, in the function's ring order, that matches; null where none does.
     *
     * @param maxExamined so many workers are examined at the most
     * @param avoided a worker that isn't considered, or null
     */
    public Worker firstInRingOrder(Function function, int maxExamined, Worker avoided, Predicate<Worker> condition) {
        int examined = Math.min(maxExamined, inService.size());
        for (int i = 0; i < examined; i++) {
            Worker worker = ring.workerAt(function, i);
            if (worker != avoided && condition.test(worker)) {
                return worker;
            }
        }
        return null;
    }

    /** Applies an update that isn't a failure. One that is no delta names all workers; the others are gone. */
    public void apply(Event.EndpointsUpdated update, Predicate<Worker> isWarmingUp) {
        Set<String> named = new HashSet<>();
        for (Event.Endpoint endpoint : update.endpoints()) {
            named.add(endpoint.worker());
            applyEndpoint(endpoint, isWarmingUp);
        }
        if (update.kind() != Event.EndpointUpdateKind.DELTA) {
            for (Worker worker : workers.values()) {
                if (!named.contains(worker.id)) {
                    removeEndpoint(worker);
                }
            }
        }
        ring.rebuild();
    }

    private void applyEndpoint(Event.Endpoint endpoint, Predicate<Worker> isWarmingUp) {
        Worker worker = workers.computeIfAbsent(endpoint.worker(), id -> new Worker(id, decayTimes));
        boolean restarted =
                endpoint.startedAt() != null && !endpoint.startedAt().equals(worker.startedAt);
        worker.zone = endpoint.zone();
        worker.cell = endpoint.cell();
        worker.state = endpoint.state();
        worker.startedAt = endpoint.startedAt();
        if (worker.state != EndpointState.IN_SERVICE || restarted) {
            worker.invalidatePlacements();
        }
        updateMembership(worker);
        setMember(warmingUp, worker, worker.onRing && isWarmingUp.test(worker));
    }

    /** A worker in service is another process since a moment, by other evidence than the endpoint list's. */
    public void assumeRestarted(Worker worker, MonotonicTime startedAt) {
        worker.startedAt = startedAt;
        MonotonicTime provedReadyAt = worker.provedReadyAt;
        worker.invalidatePlacements();
        worker.provedReadyAt = provedReadyAt;
        setMember(warmingUp, worker, worker.onRing);
    }

    private void removeEndpoint(Worker worker) {
        worker.state = EndpointState.GONE;
        worker.invalidatePlacements();
        updateMembership(worker);
        setMember(warmingUp, worker, false);
    }

    /** Changes only what differs. */
    private void updateMembership(Worker worker) {
        boolean serves = worker.state == EndpointState.IN_SERVICE;
        if (serves == worker.onRing) {
            return;
        }
        worker.onRing = serves;
        setMember(inService, worker, serves);
        setMember(contacted, worker, serves && worker.sentAt != null);
        if (serves) {
            ring.add(worker);
        } else {
            ring.remove(worker);
        }
    }

    /** Records that an attempt is sent to the worker; to be called before its time of sending is set. */
    void addContacted(Worker worker) {
        if (worker.sentAt == null) {
            setMember(contacted, worker, worker.onRing);
        }
    }

    /** Records that a worker in service was contacted by an earlier process of this router. */
    void addContactedEarlier(Worker worker) {
        setMember(contacted, worker, true);
    }

    private static void setMember(List<Worker> sorted, Worker worker, boolean member) {
        int index = Collections.binarySearch(sorted, worker, BY_ID);
        if (member && index < 0) {
            sorted.add(-index - 1, worker);
        } else if (!member && index >= 0) {
            sorted.remove(index);
        }
    }
}
