package pearladder.routing.state;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** Typical times of requests and loads, as decaying means of the measured times. */
public final class TypicalTimes {
    /**
     * The times assumed before any measurement.
     *
     * @param requestSeconds the time of a request, with the weight of one request
     * @param functionWeight the weight, in requests, of the mean over all functions in the mean of one function
     * @param loadSeconds the time of a load, with the weight of one load
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

    /** Returns the time of a function's request on an instance that is already loaded. */
    public TimeSpan requestTime(Function function) {
        MonotonicTime now = state.now();
        double mean = requestSeconds.valueAt(now);
        double responses = function.warmResponses.valueAt(now) + functionPriorWeight;
        return TimeSpan.seconds((function.warmSeconds.valueAt(now) + functionPriorWeight * mean) / responses);
    }

    /** Returns the time of one request: the function's time, averaged with the scaled work estimate if it has one. */
    public TimeSpan requestTime(Request request) {
        TimeSpan typical = requestTime(request.function);
        MonotonicTime now = state.now();
        if (request.workEstimate == null || estimatedSeconds.valueAt(now) <= 0) {
            return typical;
        }
        double measuredToEstimated = requestSeconds.sum(now) / estimatedSeconds.valueAt(now);
        return typical.plus(request.workEstimate.times(measuredToEstimated)).times(0.5);
    }

    /** Returns the time of a function's request on an instance that is already loaded, in seconds. */
    public double requestSeconds(Function function) {
        return requestTime(function).toSeconds();
    }

    /** Returns the time of one request, in seconds. */
    public double requestSeconds(Request request) {
        return requestTime(request).toSeconds();
    }

    /** Returns the time of a load of the function, in seconds. */
    public double loadSeconds(Function function) {
        return loadTime(function).toSeconds();
    }

    /** Returns the time of a load of the function: as its requests state it, else the mean of all loads. */
    public TimeSpan loadTime(Function function) {
        if (function.typicalLoadTime != null) {
            return function.typicalLoadTime;
        }
        return TimeSpan.seconds(loadSeconds.valueAt(state.now()));
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

    /** Returns the decaying mean of all load times, in seconds. */
    public DecayingMean loadSecondsMean() {
        return loadSeconds;
    }
}
