package pearladder.routing.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pearladder.routing.api.TimeSpan;

/** A function: what its requests stated, its placements, and the short cached list of them. */
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
    /** Workers in ring order from the function's hash on, as far as computed. */
    public final List<Worker> ringOrder = new ArrayList<>();
    /** The same workers, for lookups. */
    public final Set<Worker> orderedWorkers = new HashSet<>();

    /** The index of the ring's node from which the order continues. */
    public int nextRingIndex;

    /** The ring's version for which the order holds. */
    public long ringOrderVersion = -1;
    /** All requests since it became known. */
    public long requestCount;

    /** The share of the reference function's instances that are to be loaded before requests; 0 for none. */
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

    /** The placement on the worker; where there is none, an empty one that isn't recorded. */
    public Placement placementOrEmpty(Worker worker) {
        Placement placement = placements.get(worker);
        return placement != null ? placement : new Placement(this, worker);
    }

    /** The placement on the worker, new where there was none. */
    public Placement placementOn(Worker worker) {
        Placement placement = placements.get(worker);
        if (placement == null) {
            placement = new Placement(this, worker);
            placements.put(worker, placement);
            worker.placements.add(placement);
        }
        return placement;
    }

    /** Adds a placement to the cached list, kept in ring order; where the list is full its last entry is removed. */
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
     * Sets what a request stated of the function.
     *
     * @param concurrency requests that one instance runs at once; at least 1 is assumed
     * @param typicalLoadTime null where it isn't stated
     */
    public void setRequirements(int concurrency, double memoryMb, TimeSpan typicalLoadTime) {
        this.concurrency = Math.max(1, concurrency);
        this.memoryMb = memoryMb;
        this.typicalLoadTime = typicalLoadTime;
    }
}
