package pearladder.settings;

import java.util.Map;
import pearladder.routing.api.Event.EndpointState;

/** The names of a worker's states in the simulator's endpoint lists and in the platform's watch events. */
public final class EndpointStates {
    /** The state for each name. */
    public static final Map<String, EndpointState> BY_NAME = Map.of(
            "in_service",
            EndpointState.IN_SERVICE,
            "terminating",
            EndpointState.DRAINING,
            "terminated",
            EndpointState.GONE);

    private EndpointStates() {}
}
