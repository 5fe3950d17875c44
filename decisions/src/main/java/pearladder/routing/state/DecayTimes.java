package pearladder.routing.state;

import pearladder.routing.api.TimeSpan;

/**
 * Time constants of the exponentially decaying sums, chosen by the policy.
 *
 * @param health of a worker's responses, slowness and failures
 * @param rates of rates and typical times
 * @param latencyRatio of a worker's latency ratio
 * @param demand of a function's recent requests and of load times
 */
public record DecayTimes(TimeSpan health, TimeSpan rates, TimeSpan latencyRatio, TimeSpan demand) {}
