package pearladder.routing.state;

import pearladder.routing.api.TimeSpan;

/**
 * Time constants of the exponentially decaying sums, set by the policy.
 *
 * @param health for a worker's responses, slowness and failures
 * @param rates for rates and typical times
 * @param latencyRatio for a worker's latency ratio
 * @param demand for a function's recent requests and for load times
 */
public record DecayTimes(TimeSpan health, TimeSpan rates, TimeSpan latencyRatio, TimeSpan demand) {}
