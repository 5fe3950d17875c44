package pearladder.routing.state;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pearladder.routing.api.Event.EndpointState;
import pearladder.routing.api.MonotonicTime;

/** The state of a worker as this router knows it, from the endpoint list, the attempts sent and the responses. */
public final class Worker {
    public final String id;
    /** Whether it is in service, and so on the hash ring. */
    public boolean onRing;

    public String zone;
    public long cell;
    public EndpointState state = EndpointState.IN_SERVICE;
    /** When its process started; null if no endpoint list states it. */
    public MonotonicTime startedAt;

    public final Set<Attempt> attemptsInFlight = new LinkedHashSet<>();
    public final List<Placement> placements = new ArrayList<>();
    /** The number of ended attempts that count for its health. */
    public final DecayingSum responses;
    /** The sum, over these attempts, of the ratio of their time to the typical time. */
    public final DecayingSum slowness;
    /** The number of these attempts that failed; a needless refusal counts in part. */
    public final DecayingSum failures;
    /** The number of successful responses. */
    public final DecayingSum successes;
    /** The ratio of the latency of warm responses to their target latency, weighted by priority. */
    public final DecayingMean latencyRatio;

    /** Attempts in flight that were sent without an instance assumed to be loaded. */
    public int coldAttemptsInFlight;
    /** Attempts that it may have in flight from this router; 0 before the first adjustment. */
    public double concurrencyLimit;
    /** The earliest time at which the concurrency limit may be reduced again. */
    public MonotonicTime nextLimitReductionAt;
    /** When it last responded. */
    public MonotonicTime lastResponseAt;
    /** When an attempt was last sent to it; null if none was. */
    public MonotonicTime sentAt;
    /** Until when it is skipped because it refused as overloaded. */
    public MonotonicTime overloadedUntil;
    /** Until when it is skipped because it was ejected as an outlier. */
    public MonotonicTime ejectedUntil;
    /** When the last request or health check was sent that proved it ready; null without a valid proof. */
    public MonotonicTime provedReadyAt;
    /** When the pending health check was sent; null if none is pending. */
    public MonotonicTime checkSentAt;
    /** Until when it is skipped because it did not prove to be ready in a health check. */
    public MonotonicTime unreadyUntil;
    /** When it last refused work while the endpoint list was out of date; null if it did not. */
    public MonotonicTime refusedAt;
    /** The number of such refusals since it last executed a request. */
    public int consecutiveRefusals;
    /** Until when it is skipped because of repeated refusals. */
    public MonotonicTime refusedUntil;
    /** Whether it was draining or unreachable at the last health check. */
    public boolean unready;
    /** Limits the requests sent to it while it is warming up. */
    public final TokenBucket slowStartTokens = new TokenBucket();
    /** Loads in progress according to its last report. */
    public double reportedLoads;

    /** Creates a worker without any history. */
    public Worker(String id, DecayTimes decayTimes) {
        this.id = id;
        this.responses = new DecayingSum(decayTimes.health());
        this.slowness = new DecayingSum(decayTimes.health());
        this.failures = new DecayingSum(decayTimes.health());
        this.successes = new DecayingSum(decayTimes.rates());
        this.latencyRatio = new DecayingMean(decayTimes.latencyRatio(), 0, 0);
    }

    /** Clears the results of failed health checks and refusals; called when the endpoint list is current again. */
    public void clearReadinessFailures() {
        unreadyUntil = null;
        unready = false;
        clearRefusals();
    }

    /** Clears its refusals; called when it has executed a request since, or when the endpoint list is current again. */
    public void clearRefusals() {
        refusedAt = null;
        consecutiveRefusals = 0;
        refusedUntil = null;
    }

    /** Removes the worker from the cached lists of all functions. */
    public void uncachePlacements() {
        for (Placement placement : placements) {
            placement.function.cachedPlacements.remove(placement);
        }
    }

    /** Counts an ended attempt, with the ratio of its time to the typical time. */
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

    /** Resets the state that ends with the worker's process: instances, health, ejection and responses. */
    public void resetProcessState() {
        for (Placement placement : placements) {
            placement.instances = 0;
            placement.function.cachedPlacements.remove(placement);
        }
        clearHealth();
        successes.clear();
        ejectedUntil = null;
        lastResponseAt = null;
        provedReadyAt = null;
        slowStartTokens.reset();
    }

    /** Returns the number of attempts in flight that were sent with an instance assumed to be loaded. */
    public int warmAttemptsInFlight() {
        return attemptsInFlight.size() - coldAttemptsInFlight;
    }
}
