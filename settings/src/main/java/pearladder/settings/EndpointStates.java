package pearladder.settings;

import java.util.Map;
import pearladder.routing.api.Event.EndpointState;

/** How the operators word a worker's standing, in the simulator's lists and in the control feed. */
public final class EndpointStates {
    public static final Map<String, EndpointState> WORDS = Map.of(
            "in_service",
            EndpointState.IN_SERVICE,
            "terminating",
            EndpointState.DRAINING,
            "terminated",
            EndpointState.GONE);

    private EndpointStates() {}
}
