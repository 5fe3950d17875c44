package pearladder.terms;

import java.util.Map;
import pearladder.api.Event.Standing;

/** How the operators word a worker's standing, in the simulator's lists and in the control feed. */
public final class Standings {
    public static final Map<String, Standing> WORDS =
            Map.of("in_service", Standing.IN_SERVICE, "terminating", Standing.DRAINING, "terminated", Standing.GONE);

    private Standings() {}
}
