package pearladder.routing.api;

import java.util.List;
import pearladder.routing.state.PolicySnapshot;

/** The decisions of one router. Not thread-safe; it reads no clock, so the caller states the time. */
public interface RoutingPolicy {
    /** Handles one event and returns what is to be done, in order; times never decrease from call to call. */
    List<Action> handle(MonotonicTime now, Event event);

    /** What was learnt and would be lost with this process; nothing by default. */
    default PolicySnapshot snapshot(MonotonicTime now) {
        return PolicySnapshot.NOTHING;
    }
}
