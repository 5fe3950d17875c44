package pearladder.routing.state;

import java.util.ArrayDeque;
import java.util.Collection;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.RoutingSettings.LoadQuota;
import pearladder.routing.api.TimeSpan;

/** Counts the load requests and the admitted requests in the sliding window of the load quota. */
public final class LoadQuotaCounter {
    private final LoadQuota quota;
    private final ArrayDeque<MonotonicTime> loadRequests = new ArrayDeque<>();
    private final ArrayDeque<MonotonicTime> admittedRequests = new ArrayDeque<>();

    /** @param quota the quota as stated; a window of zero means that there is none */
    public LoadQuotaCounter(LoadQuota quota) {
        this.quota = quota;
    }

    /** Counts a request that was admitted now. */
    public void addAdmittedRequest(MonotonicTime now) {
        if (isLimited()) {
            admittedRequests.add(now);
        }
    }

    /** Counts a load request; times are added in ascending order. */
    public void addLoadRequest(MonotonicTime sentAt) {
        loadRequests.add(sentAt);
    }

    /** When the load requests were sent that may still count, oldest first. */
    public Collection<MonotonicTime> loadRequests() {
        return loadRequests;
    }

    /**
     * Whether one more load request stays within a share of the quota.
     *
     * @param share from 0 to 1
     */
    public boolean allows(MonotonicTime now, double share) {
        if (!isLimited()) {
            return true;
        }
        TimeSpan window = quota.window();
        while (!loadRequests.isEmpty() && now.since(loadRequests.peek()).isLongerThan(window)) {
            loadRequests.poll();
        }
        while (!admittedRequests.isEmpty() && now.since(admittedRequests.peek()).compareTo(window) >= 0) {
            admittedRequests.poll();
        }
        double limit = quota.burst() + quota.requestShare() * admittedRequests.size();
        return loadRequests.size() + 1 <= share * limit;
    }

    private boolean isLimited() {
        return quota.window().nanos() > 0;
    }
}
