package pearladder.routing.state;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pearladder.routing.api.Event.EndpointState;
import pearladder.routing.api.MonotonicTime;

/** A worker as this router knows it: what the endpoint list stated, and what was sent to it and received from it. */
public final class Worker {
    public final String id;
    /** Whether it is in service, and so on the hash ring. */
    public boolean onRing;

    public String zone;
    public long cell;
    public EndpointState state = EndpointState.IN_SERVICE;
    /** When its process started; null where no endpoint list states it. */
    public MonotonicTime startedAt;

    public final Set<Attempt> attemptsInFlight = new LinkedHashSet<>();
    public final List<Placement> placements = new ArrayList<>();
    /** Ended attempts by which its health is judged. */
    public final DecayingSum responses;
    /** Of these, the sum of their time over the time that they should take. */
    public final DecayingSum slowness;
    /** Of these, how many failed; a refusal without need counts in part. */
    public final DecayingSum failures;
    /** Successful responses. */
    public final DecayingSum successes;
    /** Latency of warm responses as a share of what their latency objective allows, weighted by priority. */
    public final DecayingMean latencyRatio;

    /** Attempts in flight that were sent where no instance was assumed to be loaded. */
    public int coldAttemptsInFlight;
    /** Attempts that it may have in flight from this router; 0 before any was measured. */
    public double concurrencyLimit;
    /** The limit is not reduced again before. */
    public MonotonicTime limitReducedUntil;
    /** When it last responded. */
    public MonotonicTime lastHeardAt;
    /** When an attempt was last sent to it; null where none was. */
    public MonotonicTime sentAt;
    /** It refused as overloaded and is skipped until then. */
    public MonotonicTime overloadedUntil;
    /** It was ejected as an outlier and is skipped until then. */
    public MonotonicTime ejectedUntil;
    /** When a request or health check was sent that proved that it takes new work; null where none did of late. */
    public MonotonicTime provedReadyAt;
    /** When the health check under way was sent; null where there is none. */
    public MonotonicTime checkSentAt;
    /** It did not prove to be ready when asked, and is skipped until then. */
    public MonotonicTime unreadyUntil;
    /** When it last turned work away while the endpoint list was out of date; null where it did not. */
    public MonotonicTime refusedAt;
    /** How often it did so since it last executed a request. */
    public int refusalsInARow;
    /** It turned work away that often, and is skipped until then. */
    public MonotonicTime refusedUntil;
    /** Whether it drained or was not there when last asked. */
    public boolean unready;
    /** Requests that it may get at once while it is warming up. */
    public final TokenBucket slowStartTokens = new TokenBucket();
    /** Loads in progress by its last report. */
    public double reportedLoads;

    /** A worker of which nothing is known yet. */
    public Worker(String id, DecayTimes decayTimes) {
        this.id = id;
        this.responses = new DecayingSum(decayTimes.health());
        this.slowness = new DecayingSum(decayTimes.health());
        this.failures = new DecayingSum(decayTimes.health());
        this.successes = new DecayingSum(decayTimes.rates());
        this.latencyRatio = new DecayingMean(decayTimes.latencyRatio(), 0, 0);
    }

    /** Forgets that it did not prove to be ready: the endpoint list tells its state again. */
    public void clearReadinessVerdict() {
        unreadyUntil = null;
        unready = false;
        clearRefusals();
    }

    /** Forgets that it turned work away: it executed a request since, or the endpoint list tells its state again. */
    public void clearRefusals() {
        refusedAt = null;
        refusalsInARow = 0;
        refusedUntil = null;
    }

    /** Removes it from all cached lists. */
    public void uncachePlacements() {
        for (Placement placement : placements) {
            placement.function.cachedPlacements.remove(placement);
        }
    }

    /** Counts an ended attempt with its time over the time that it should take. */
    public void addResponse(MonotonicTime now, double timeRatio) {
        responses.add(now, 1);
        slowness.add(now, timeRatio);
    }

    /** Counts a failed attempt. */
    public void addFailure(MonotonicTime now, double weight) {
        responses.add(now, 1);
        failures.add(now, weight);
    }

    /** Resets the worker's health. */
    public void clearHealth() {
        responses.clear();
        slowness.clear();
        failures.clear();
    }

    /** The worker left or is another process: it has no instances, and nothing that it reported holds. */
    public void invalidatePlacements() {
        for (Placement placement : placements) {
            placement.instances = 0;
            placement.function.cachedPlacements.remove(placement);
        }
        clearHealth();
        successes.clear();
        ejectedUntil = null;
        lastHeardAt = null;
        provedReadyAt = null;
        slowStartTokens.reset();
    }

    /** Attempts in flight that were sent where an instance was assumed to be loaded. */
    public int warmAttemptsInFlight() {
        return attemptsInFlight.size() - coldAttemptsInFlight;
    }
}
