package pearladder.routing.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pearladder.routing.api.TimeSpan;

/** A function: the requirements that its requests state, its placements, and the short cached list of placements. */
public final class Function {
    public final String id;
    public int concurrency;
    public double memoryMb;
    public TimeSpan typicalLoadTime;
    public final List<Placement> cachedPlacements = new ArrayList<>();
    public final Map<Worker, Placement> placements = new LinkedHashMap<>();
    public final DecayingSum recentRequests;
    public final DecayingSum warmResponses;
    public final DecayingSum warmSeconds;
    /** Workers in ring order, starting at the function's hash, as far as computed. */
    public final List<Worker> ringOrder = new ArrayList<>();
    /** The workers of {@link #ringOrder}, for lookups. */
    public final Set<Worker> orderedWorkers = new HashSet<>();

    /** The index of the virtual node at which the computation of the ring order continues. */
    public int nextRingIndex;

    /** The version of the ring for which the order was computed. */
    public long ringOrderVersion = -1;
    /** The number of requests since the function became known. */
    public long requestCount;

    /** The number of requests that are not completed or have an attempt in flight. */
    public int openRequests;

    /** Whether a worker has executed a request of the function or has loaded it. */
    public boolean served;

    /** The share of the reference function's instances to load ahead of requests; 0 without prewarming. */
    public double prewarmShare;

    public Function prewarmReference;

    /**
     * @param demandDecay the decay time of its recent requests
     * @param rateDecay the decay time of its warm responses and of their times
     */
    public Function(String id, TimeSpan demandDecay, TimeSpan rateDecay) {
        this.id = id;
        this.recentRequests = new DecayingSum(demandDecay);
        this.warmResponses = new DecayingSum(rateDecay);
        this.warmSeconds = new DecayingSum(rateDecay);
    }

    /** Returns whether a request of it is open or prewarming was requested. */
    boolean isInUse() {
        return prewarmShare > 0 || openRequests > 0;
    }

    /** Returns the placement on the worker; if there is none, an empty one that isn't recorded. */
    public Placement placementOrEmpty(Worker worker) {
        Placement placement = placements.get(worker);
        return placement != null ? placement : new Placement(this, worker);
    }

    /** Returns the placement on the worker, which is created if there is none. */
    public Placement placementOn(Worker worker) {
        Placement placement = placements.get(worker);
        if (placement == null) {
            placement = new Placement(this, worker);
            placements.put(worker, placement);
            worker.placements.add(placement);
        }
        return placement;
    }

    /** Adds a placement to the cached list, which is kept in ring order; a full list loses its last entry. */
    public void cache(Placement placement, int maxCached) {
        if (cachedPlacements.contains(placement)) {
            return;
        }
        if (cachedPlacements.size() >= maxCached) {
            cachedPlacements.remove(cachedPlacements.size() - 1);
        }
        cachedPlacements.add(placement);
        cachedPlacements.sort(Comparator.comparingInt(cached -> ringOrder.indexOf(cached.worker)));
    }

    /**
     * Sets the requirements that a request states for the function.
     *
     * @param concurrency the concurrent requests of one instance; values below 1 count as 1
     * @param typicalLoadTime null if it isn't stated
     */
    public void setRequirements(int concurrency, double memoryMb, TimeSpan typicalLoadTime) {
        this.concurrency = Math.max(1, concurrency);
        this.memoryMb = memoryMb;
        this.typicalLoadTime = typicalLoadTime;
    }
}
