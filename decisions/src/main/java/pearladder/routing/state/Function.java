package pearladder.routing.state;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pearladder.routing.api.TimeSpan;

/** A function: what its calls told, where it is placed, and the short cached list of its workers. */
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
    public final List<Worker> ringOrder = new ArrayList<>();
    /** The same workers, to be asked for only. */
    public final Set<Worker> orderedWorkers = new HashSet<>();

    public long ringPosition;
    public long ringOrderVersion = -1;
    public long requestCount;
    /** The share of the like function's load for which copies are to stand ahead; 0 where none is wanted. */
    public double prewarmShare;

    public Function prewarmReference;

    public Function(String id, TimeSpan demand, TimeSpan pace) {
        this.id = id;
        this.recentRequests = new DecayingSum(demand);
        this.warmResponses = new DecayingSum(pace);
        this.warmSeconds = new DecayingSum(pace);
    }
}
