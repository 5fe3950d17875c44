package pearladder.routing.state;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** How long requests and loads typically take, as decaying means of what was measured. */
public final class TypicalTimes {
    /**
     * What is assumed before anything is measured.
     *
     * @param requestSeconds a request's time, with the weight of one request
     * @param functionWeight how many requests the mean over all functions weighs in a function's own mean
     * @param loadSeconds a load's time, with the weight of one load
     */
    public record Priors(double requestSeconds, double functionWeight, double loadSeconds) {}

    private final RouterState state;
    private final DecayingMean requestSeconds;
    private final DecayingSum estimatedSeconds;
    private final DecayingMean loadSeconds;
    private final double functionPriorWeight;

    TypicalTimes(RouterState state, DecayTimes decayTimes, Priors priors) {
        this.state = state;
        this.requestSeconds = new DecayingMean(decayTimes.rates(), priors.requestSeconds(), 1);
        this.estimatedSeconds = new DecayingSum(decayTimes.rates());
        this.loadSeconds = new DecayingMean(decayTimes.demand(), priors.loadSeconds(), 1);
        this.functionPriorWeight = priors.functionWeight();
    }

    /** The time of a function's request on an instance that is already loaded. */
    public TimeSpan requestTime(Function function) {
        MonotonicTime now = state.now();
        double mean = requestSeconds.read(now);
        double responses = function.warmResponses.read(now) + functionPriorWeight;
        return TimeSpan.seconds((function.warmSeconds.read(now) + functionPriorWeight * mean) / responses);
    }

    /** The time of one request: where it came with an estimate, the mean of that, scaled, and the function's time. */
    public TimeSpan requestTime(Request request) {
        TimeSpan typical = requestTime(request.function);
        MonotonicTime now = state.now();
        if (request.workEstimate == null || estimatedSeconds.read(now) <= 0) {
            return typical;
        }
        double measuredToEstimated = requestSeconds.sum(now) / estimatedSeconds.read(now);
        return typical.plus(request.workEstimate.times(measuredToEstimated)).times(0.5);
    }

    /** The time of a function's request on an instance that is already loaded, in seconds. */
    public double requestSeconds(Function function) {
        return requestTime(function).toSeconds();
    }

    /** The time of one request, in seconds. */
    public double requestSeconds(Request request) {
        return requestTime(request).toSeconds();
    }

    /** The time of a load of the function, in seconds. */
    public double loadSeconds(Function function) {
        return loadTime(function).toSeconds();
    }

    /** The time of a load of the function: as stated, else the mean of all loads. */
    public TimeSpan loadTime(Function function) {
        if (function.typicalLoadTime != null) {
            return function.typicalLoadTime;
        }
        return TimeSpan.seconds(loadSeconds.read(state.now()));
    }

    /** Records a response from an instance that was already loaded. */
    public void addWarmResponse(Request request, double seconds) {
        MonotonicTime now = state.now();
        if (request.workEstimate != null) {
            estimatedSeconds.add(now, request.workEstimate.toSeconds());
        }
        requestSeconds.add(now, seconds);
        request.function.warmResponses.add(now, 1);
        request.function.warmSeconds.add(now, seconds);
    }

    /** Records the time of one load. */
    public void addLoad(double seconds) {
        loadSeconds.add(state.now(), seconds);
    }

    /** The decaying sums of load times, in seconds, and of their number. */
    public DecayingMean loadSeconds() {
        return loadSeconds;
    }
}
