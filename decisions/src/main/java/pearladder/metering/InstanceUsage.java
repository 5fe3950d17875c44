package pearladder.metering;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Instances of one model on one worker and their memory usage in the open interval. Times are in milliseconds. */
final class InstanceUsage {
    /** Number of intervals whose work determines the shares: the open one and the four before it. */
    private static final int WORK_INTERVALS = 5;

    final String worker;
    final String model;
    private final long idleTimeout;
    private int instances;
    /** Time up to which memory is counted. */
    private long countedUntil;
    /** Time at which the instances were last known to exist. */
    private long renewedAt;
    /** Memory of the open interval, in megabytes times milliseconds. */
    private long megabyteMillis;
    /** Tenant that is charged while no request has run; empty for none. */
    private String loadingTenant = "";
    /** Microseconds of work by tenant for each interval, the open one last. */
    private final Deque<TreeMap<String, Long>> workByInterval = new ArrayDeque<>();
    /** Loads by tenant in the open interval. */
    private final TreeMap<String, Integer> loads = new TreeMap<>();

    InstanceUsage(String worker, String model, long idleTimeout) {
        this.worker = worker;
        this.model = model;
        this.idleTimeout = idleTimeout;
        workByInterval.add(new TreeMap<>());
    }

    // ---- instances

    /**
     * Counts the memory up to a time, or to the earlier one at which the instances reached the idle timeout.
     *
     * @param memoryMb memory of each instance, megabytes
     */
    void countUntil(long time, long memoryMb) {
        long expiresAt = renewedAt + idleTimeout;
        long end = Math.min(time, expiresAt);
        if (instances > 0 && end > countedUntil) {
            megabyteMillis =
                    Math.addExact(megabyteMillis, Math.multiplyExact(instances * (end - countedUntil), memoryMb));
        }
        if (time >= expiresAt) {
            instances = 0;
        }
        countedUntil = Math.max(countedUntil, time);
    }

    /** Sets the number of instances from a time on. Memory must have been counted up to that time. */
    void setInstances(long time, int count) {
        renewedAt = instances > 0 ? Math.max(renewedAt, time) : time;
        instances = count;
    }

    void onLoadStarted(long time, String tenant, long loadMillis) {
        loads.merge(tenant, 1, Integer::sum);
        ensureInstance(time, tenant);
        // A load may take longer than the idle timeout.
        renewedAt = Math.max(renewedAt, time + loadMillis);
    }

    void onLoadFailed(long time) {
        setInstances(time, Math.max(0, instances - 1));
    }

    void onWork(long time, String tenant, long workMicros) {
        ensureInstance(time, tenant);
        workByInterval.peekLast().merge(tenant, workMicros, Long::sum);
    }

    private void ensureInstance(long time, String tenant) {
        if (instances == 0) {
            loadingTenant = tenant;
        }
        setInstances(time, Math.max(1, instances));
    }

    boolean hasOpenUsage() {
        return instances > 0 || megabyteMillis > 0;
    }

    /** Returns whether neither instances nor work of the last intervals are left. */
    boolean isEmpty() {
        return instances == 0 && workByInterval.stream().allMatch(Map::isEmpty);
    }

    // ---- shares

    void startNextInterval() {
        workByInterval.add(new TreeMap<>());
        while (workByInterval.size() > WORK_INTERVALS) {
            workByInterval.poll();
        }
    }

    /** Divides the memory of the open interval among the tenants, and resets the count. */
    List<UsageShare> takeShares(long intervalStart) {
        TreeMap<String, Long> openWork = workByInterval.peekLast();
        TreeMap<String, Long> megabyteMillisByTenant = LargestRemainder.divide(megabyteMillis, weights());
        openWork.keySet().forEach(tenant -> megabyteMillisByTenant.putIfAbsent(tenant, 0L));
        loads.keySet().forEach(tenant -> megabyteMillisByTenant.putIfAbsent(tenant, 0L));
        List<UsageShare> shares = new ArrayList<>();
        megabyteMillisByTenant.forEach((tenant, tenantMegabyteMillis) -> {
            int loadCount = loads.getOrDefault(tenant, 0);
            long work = openWork.getOrDefault(tenant, 0L);
            if (tenantMegabyteMillis > 0 || loadCount > 0 || work > 0) {
                shares.add(new UsageShare(tenant, model, worker, intervalStart, tenantMegabyteMillis, loadCount, work));
            }
        });
        megabyteMillis = 0;
        loads.clear();
        return shares;
    }

    private TreeMap<String, Long> weights() {
        TreeMap<String, Long> weights = new TreeMap<>();
        workByInterval.forEach(work -> work.forEach((tenant, micros) -> weights.merge(tenant, micros, Long::sum)));
        weights.values().removeIf(micros -> micros <= 0);
        if (weights.isEmpty()) {
            weights.put(loadingTenant, 1L);
        }
        return weights;
    }
}
