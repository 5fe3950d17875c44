package pearladder.routing.api;

import java.util.List;
import pearladder.routing.state.PolicySnapshot;

/** Makes the decisions of one router. Not thread-safe. It reads no clock; the caller passes in the time. */
public interface RoutingPolicy {
    /** The memory limit to assume for a process whose configuration states none, in MB. */
    int DEFAULT_MEMORY_MB = 192;

    /** Handles one event and returns the actions to execute, in order; {@code now} must not decrease between calls. */
    List<Action> handle(MonotonicTime now, Event event);

    /** Returns the learnt state that would be lost at the end of this process; an empty snapshot by default. */
    default PolicySnapshot snapshot(MonotonicTime now) {
        return PolicySnapshot.EMPTY;
    }
}
