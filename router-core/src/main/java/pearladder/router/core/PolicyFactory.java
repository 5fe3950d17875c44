package pearladder.router.core;

import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.RoutingSettings;

/** Creates routing policies: one for a router's traffic and others for its warm-up. */
public interface PolicyFactory {
    /**
     * Creates a policy with no state.
     *
     * @param seed seed of the policy's random numbers
     * @param settings settings of this router and its traffic
     */
    RoutingPolicy create(long seed, RoutingSettings settings);
}
