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

/** Asks the recovery module what of an earlier life the policy may start from. */
public final class SnapshotLoader {
    private SnapshotLoader() {}

    /**
     * What the policy is told after the remembered list.
     *
     * @param then the snapshot, or null
     * @param gap since it was taken, by the wall clock
     * @param orders the ages of load orders that records tell
     * @param whole whether the records tell all of them
     * @param list the remembered list
     * @param log gets one line with figures
     */
    public static Event.SnapshotRestored event(
            RoutingSettings facts,
            PolicySnapshot then,
            TimeSpan gap,
            List<TimeSpan> orders,
            boolean whole,
            Event.EndpointsUpdated list,
            MonotonicTime now,
            Consumer<String> log) {
        Map<String, TimeSpan> up = new HashMap<>();
        list.endpoints()
                .forEach(listing ->
                        up.put(listing.worker(), listing.startedAt() == null ? null : now.since(listing.startedAt())));
        SnapshotRecovery.Believed believed = new SnapshotRecovery(
                        facts.instances().idleTimeout(),
                        facts.loadQuota().window(),
                        facts.loadQuota().burst())
                .after(new SnapshotRecovery.Found(then, gap, orders, whole, up));
        log.accept(believed.why());
        return new Event.SnapshotRestored(believed.known());
    }
}
