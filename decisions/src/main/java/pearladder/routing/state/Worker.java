package pearladder.routing.state;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pearladder.routing.api.Event.EndpointState;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** A worker as this router knows it: what the list said, and the ledger of what was sent and heard. */
public final class Worker {
    public final String id;
    public final long[] virtualNodes;
    public boolean onRing;
    public String zone;
    public long cell;
    public EndpointState state = EndpointState.IN_SERVICE;
    public MonotonicTime startedAt;
    public final Set<Attempt> attemptsInFlight = new LinkedHashSet<>();
    public final List<Placement> placements = new ArrayList<>();
    public final DecayingSum responses;
    public final DecayingSum slowness;
    public final DecayingSum failures;
    public final DecayingSum successes;
    public final DecayingSum latencyRatioSum;
    public final DecayingSum latencyRatioCount;
    public int coldAttemptsInFlight;
    public double concurrencyLimit;
    public MonotonicTime limitReducedUntil;
    public MonotonicTime lastHeardAt;
    public MonotonicTime sentAt;
    public MonotonicTime overloadedUntil;
    public MonotonicTime ejectedUntil;
    public double slowStartTokens;
    public MonotonicTime slowStartTokensAt;
    public double reportedLoads;

    public Worker(String id, long[] marks, TimeSpan health, TimeSpan pace, TimeSpan strain) {
        this.id = id;
        this.virtualNodes = marks;
        this.responses = new DecayingSum(health);
        this.slowness = new DecayingSum(health);
        this.failures = new DecayingSum(health);
        this.successes = new DecayingSum(pace);
        this.latencyRatioSum = new DecayingSum(strain);
        this.latencyRatioCount = new DecayingSum(strain);
    }

    public void clearHealth() {
        responses.clear();
        slowness.clear();
        failures.clear();
    }

    /** The process is another one: nothing that was heard of it holds. */
    public void resetAfterRestart() {
        clearHealth();
        successes.clear();
        ejectedUntil = null;
        lastHeardAt = null;
        slowStartTokensAt = null;
    }

    /** Legs out that were believed to find their copy. */
    public int warmAttemptsInFlight() {
        return attemptsInFlight.size() - coldAttemptsInFlight;
    }
}
