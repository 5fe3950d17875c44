package pearladder.simulation;

import java.util.function.Consumer;
import pearladder.emulator.Timeline;

/**
 * What surrounds a simulated router.
 *
 * @param networkDelayNanos of a message, each way
 * @param log receives what the router would write to its log
 */
record RouterEnvironment(Timeline time, SimulatedFleet fleet, long networkDelayNanos, Consumer<String> log) {}
