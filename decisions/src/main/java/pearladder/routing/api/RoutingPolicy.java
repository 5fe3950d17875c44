package pearladder.routing.api;

import java.util.List;
import pearladder.routing.state.PolicySnapshot;

/** One router's decisions: what happened goes in, what is to be done comes out. */
public interface RoutingPolicy {
    List<Action> handle(MonotonicTime now, Event event);

    /** What was learnt and would be lost with this process, as ages; nothing by default. */
    default PolicySnapshot snapshot(MonotonicTime now) {
        return PolicySnapshot.NOTHING;
    }
}
