package pearladder.testbed;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.TreeMap;
import pearladder.emulator.Observation;
import pearladder.kserve.RequestOutcome;

/**
 * Counts of the observations at workers and clients within one window of a scenario. A window lasts
 * {@link LoadStatistics#WINDOW_SECONDS}.
 */
final class WindowCounts {
    private long attempts;
    private long loadRequests;
    private long refusals;
    private long loads;
    private long failedLoads;
    /** Number of loaded instances at the last event of the window. */
    private long instances;

    private long successes;
    private long successesByVersion;

    /**
     * Counts observations by window number. They must be in time order, or the instance counts are wrong.
     */
    static TreeMap<Long, WindowCounts> of(List<Observation> observations, long startedAt) {
        TreeMap<Long, WindowCounts> windows = new TreeMap<>();
        long instances = 0;
        for (Observation seen : observations) {
            instances += addedInstances(seen);
            if (isCounted(seen) && seen.at() >= startedAt) {
                long number = (seen.at() - startedAt) / LoadStatistics.WINDOW_NANOS;
                WindowCounts window = windows.computeIfAbsent(number, key -> new WindowCounts());
                window.add(seen);
                window.instances = instances;
            }
        }
        return windows;
    }

    private static long addedInstances(Observation seen) {
        return switch (seen.event()) {
            case Observation.LOAD_ENDED -> seen.note().isEmpty() ? 1 : 0;
            case Observation.UNLOADED -> -Math.round(seen.value());
            default -> 0;
        };
    }

    private static boolean isCounted(Observation seen) {
        return switch (seen.event()) {
            case Observation.ARRIVED,
                    Observation.LOAD_REQUESTED,
                    Observation.REJECTED,
                    Observation.LOAD_ENDED,
                    Observation.UNLOADED -> true;
            case Observation.ANSWERED -> seen.note().equals(RequestOutcome.SETTLED.code());
            default -> false;
        };
    }

    private void add(Observation seen) {
        switch (seen.event()) {
            case Observation.ARRIVED -> attempts++;
            case Observation.LOAD_REQUESTED -> loadRequests++;
            case Observation.REJECTED -> refusals++;
            case Observation.LOAD_ENDED -> {
                if (seen.note().isEmpty()) {
                    loads++;
                } else {
                    failedLoads++;
                }
            }
            case Observation.ANSWERED -> {
                successes++;
                successesByVersion += seen.model().contains("@") ? 1 : 0;
            }
            default -> {}
        }
    }

    void putInto(ObjectNode window) {
        window.put("legs", attempts)
                .put("orders", loadRequests)
                .put("refused", refusals)
                .put("loads", loads)
                .put("loads_failed", failedLoads)
                .put("copies", instances)
                .put("settled", successes)
                .put("settled_by_version", successesByVersion);
    }
}
