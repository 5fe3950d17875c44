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

    /** @param quota the load quota of the settings; a window of zero means no limit */
    public LoadQuotaCounter(LoadQuota quota) {
        this.quota = quota;
    }

    /** Counts an admitted request. */
    public void addAdmittedRequest(MonotonicTime now) {
        if (isLimited()) {
            admittedRequests.add(now);
        }
    }

    /** Counts a load request; must be called in ascending order of time. */
    public void addLoadRequest(MonotonicTime sentAt) {
        loadRequests.add(sentAt);
    }

    /** Returns the times of the load requests that may still be in the window, oldest first. */
    public Collection<MonotonicTime> loadRequests() {
        return loadRequests;
    }

    /**
     * Returns whether one more load request stays within a share of the quota.
     *
     * @param share of the quota, from 0 to 1
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
