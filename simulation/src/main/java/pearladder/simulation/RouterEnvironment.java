package pearladder.simulation;

import java.util.function.Consumer;
import pearladder.emulator.Timeline;

/**
 * Clock, fleet, network and log of a simulated router.
 *
 * @param networkDelayNanos one-way network delay of a message, in nanoseconds
 * @param log receives the router's log lines
 */
record RouterEnvironment(Timeline time, SimulatedFleet fleet, long networkDelayNanos, Consumer<String> log) {}
