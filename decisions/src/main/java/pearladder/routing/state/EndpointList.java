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

/** The workers of the endpoint list, with sorted sublists and the hash ring. */
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

    /** Returns the workers in service, sorted by id. */
    public List<Worker> inService() {
        return inService;
    }

    /** Returns the workers in service that were ever sent an attempt, sorted by id. */
    public List<Worker> contacted() {
        return contacted;
    }

    /** Returns the workers in service that were warming up when last checked, sorted by id. */
    public List<Worker> warmingUp() {
        return warmingUp;
    }

    /** Returns the worker, or null if no endpoint list ever named it. */
    public Worker find(String workerId) {
        return workers.get(workerId);
    }

    /**
     * Returns the first worker in service in the function's ring order that meets the condition; null if none does.
     *
     * @param maxExamined the maximum number of workers to examine
     * @param avoided a worker to leave out, or null
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

    /** Applies a successful update. Unless it is a delta, workers that it doesn't name are gone. */
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
            worker.resetProcessState();
        }
        updateMembership(worker);
        setMember(warmingUp, worker, worker.onRing && isWarmingUp.test(worker));
    }

    /** Treats a worker in service as a new process, on other evidence than the endpoint list. */
    public void assumeRestarted(Worker worker, MonotonicTime startedAt) {
        worker.startedAt = startedAt;
        MonotonicTime provedReadyAt = worker.provedReadyAt;
        worker.resetProcessState();
        worker.provedReadyAt = provedReadyAt;
        setMember(warmingUp, worker, worker.onRing);
    }

    private void removeEndpoint(Worker worker) {
        worker.state = EndpointState.GONE;
        worker.resetProcessState();
        updateMembership(worker);
        setMember(warmingUp, worker, false);
    }

    /** Adds the worker to or removes it from the ring and sublists if it entered or left service. */
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

    /** Records that an attempt is sent to the worker; must be called before {@link Worker#sentAt} is set. */
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
