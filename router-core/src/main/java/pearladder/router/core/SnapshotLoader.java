package pearladder.router.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pearladder.recovery.SnapshotRecovery;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.PolicySnapshot;

/** Selects the parts of a snapshot that the routing policy starts from, by the rules of {@link SnapshotRecovery}. */
public final class SnapshotLoader {
    private SnapshotLoader() {}

    /**
     * Returns the event that is passed to the policy after the cached endpoint list.
     *
     * @param snapshot snapshot of the router's last run, or null
     * @param age age of the snapshot by the wall clock
     * @param loadRequestAges ages of the load requests in the event log
     * @param logComplete whether the event log contains all load requests
     * @param endpoints the cached endpoint list
     * @param log receives one line with the result
     */
    public static Event.SnapshotRestored restoredEvent(
            RoutingSettings settings,
            PolicySnapshot snapshot,
            TimeSpan age,
            List<TimeSpan> loadRequestAges,
            boolean logComplete,
            Event.EndpointsUpdated endpoints,
            MonotonicTime now,
            Consumer<String> log) {
        SnapshotRecovery recovery = new SnapshotRecovery(
                settings.instances().idleTimeout(),
                settings.loadQuota().window(),
                settings.loadQuota().burst());
        SnapshotRecovery.RecoveredState recovered = recovery.recover(new SnapshotRecovery.RestartState(
                snapshot, age, loadRequestAges, logComplete, uptimes(endpoints, now)));
        log.accept(recovered.reason());
        return new Event.SnapshotRestored(recovered.snapshot());
    }

    /** Returns the uptime of each listed worker; null if it is not known. */
    private static Map<String, TimeSpan> uptimes(Event.EndpointsUpdated endpoints, MonotonicTime now) {
        Map<String, TimeSpan> uptimes = new HashMap<>();
        for (Event.Endpoint endpoint : endpoints.endpoints()) {
            MonotonicTime startedAt = endpoint.startedAt();
            uptimes.put(endpoint.worker(), startedAt == null ? null : now.since(startedAt));
        }
        return uptimes;
    }
}
