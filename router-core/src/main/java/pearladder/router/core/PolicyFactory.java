package pearladder.router.core;

import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.RoutingSettings;

/** Creates routing policies: one for a router's traffic and others for its warm-up. */
@FunctionalInterface
public interface PolicyFactory {
    /**
     * Creates a policy with no state.
     *
     * @param seed seed of the policy's random numbers
     * @param settings settings of this router and its traffic
     * @param memoryMb memory limit of the process, which limits the policy's state
     */
    RoutingPolicy create(long seed, RoutingSettings settings, int memoryMb);

    /** Creates a policy with no state for a process of the usual size. */
    default RoutingPolicy create(long seed, RoutingSettings settings) {
        return create(seed, settings, RoutingPolicy.DEFAULT_MEMORY_MB);
    }
}
