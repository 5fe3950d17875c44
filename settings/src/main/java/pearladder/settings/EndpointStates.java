package pearladder.settings;

import java.util.Map;
import pearladder.routing.api.Event.EndpointState;

/** The words for a worker's state in the simulator's endpoint lists and in the platform's watch events. */
public final class EndpointStates {
    /** The state that each word stands for. */
    public static final Map<String, EndpointState> WORDS = Map.of(
            "in_service",
            EndpointState.IN_SERVICE,
            "terminating",
            EndpointState.DRAINING,
            "terminated",
            EndpointState.GONE);

    private EndpointStates() {}
}
