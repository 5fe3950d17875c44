package pearladder.metering;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * Divides the memory that models hold among tenants. Observations are passed to {@link #on} in the order of time, up to
 * a maximum lateness; it returns the shares of completed intervals, and {@link #finish} the remaining ones. Times are
 * in milliseconds.
 *
 * <p>An instance counts from the start of its load until the worker reports that it is gone, its process ends, or
 * nothing renewed it for the idle timeout. The memory of an interval on a worker is divided by the work of the tenants'
 * requests there, in that interval and the four before it, so that one request in a quiet minute is charged for its own
 * work and not for the minute. While no request has run yet, the tenant whose request started the load is charged.
 * Shares are integers ({@link LargestRemainder}) that sum exactly to the total, in whatever order the event logs are
 * merged.
 */
public final class UsageAccounting {
    private static final long NOT_STARTED = Long.MIN_VALUE;

    /** The last key is arbitrary but complete, so that the order at equal times does not depend on the merging. */
    private static final Comparator<InstanceObservation> BY_TIME_AND_TYPE = Comparator.comparingLong(
                    InstanceObservation::atMillis)
            .thenComparing(UsageAccounting::orderAtSameTime)
            .thenComparing(InstanceObservation::router)
            .thenComparing(InstanceObservation::toString);

    private final long interval;
    private final long idleTimeout;
    private final long maxLateness;
    /** Observations before which an earlier one may still be received. */
    private final PriorityQueue<InstanceObservation> waiting = new PriorityQueue<>(BY_TIME_AND_TYPE);
    /** By worker and model. */
    private final TreeMap<String, InstanceUsage> usages = new TreeMap<>();
    /** Memory of one instance by model, megabytes. */
    private final Map<String, Long> memoryMb = new HashMap<>();
    /** Shares that the current call returns. */
    private List<UsageShare> shares = new ArrayList<>();

    private long intervalStart = NOT_STARTED;
    private long newestMillis = Long.MIN_VALUE;
    private long lateCount;

    /**
     * Creates an accounting without usage.
     *
     * @param interval length of the intervals that are divided, milliseconds
     * @param idleTimeout time for which idle instances are kept, milliseconds
     * @param maxLateness maximum time by which an observation may be older than one passed before it, milliseconds
     */
    public UsageAccounting(long interval, long idleTimeout, long maxLateness) {
        this.interval = interval;
        this.idleTimeout = idleTimeout;
        this.maxLateness = maxLateness;
    }

    /** Handles an observation; returns the shares of intervals that can't change any more. */
    public List<UsageShare> on(InstanceObservation observation) {
        shares = new ArrayList<>();
        waiting.add(observation);
        newestMillis = Math.max(newestMillis, observation.atMillis());
        while (!waiting.isEmpty() && waiting.peek().atMillis() < newestMillis - maxLateness) {
            process(waiting.poll());
        }
        return shares;
    }

    /** Ends the observations; returns the remaining shares, of all usage up to a time. */
    public List<UsageShare> finish(long untilMillis) {
        shares = new ArrayList<>();
        while (!waiting.isEmpty()) {
            process(waiting.poll());
        }
        while (intervalStart != NOT_STARTED && intervalStart + interval <= untilMillis && hasOpenUsage()) {
            closeInterval();
        }
        if (intervalStart != NOT_STARTED && intervalStart < untilMillis) {
            usages.values().forEach(usage -> countUntil(usage, untilMillis));
            usages.values().forEach(usage -> shares.addAll(usage.takeShares(intervalStart)));
        }
        return shares;
    }

    /** Returns the number of observations beyond the maximum lateness; they count in the first open interval. */
    public long lateObservationCount() {
        return lateCount;
    }

    private boolean hasOpenUsage() {
        return usages.values().stream().anyMatch(InstanceUsage::hasOpenUsage);
    }

    /** Orders observations of one time: those that end instances before those that start them, reports before work. */
    private static int orderAtSameTime(InstanceObservation observation) {
        if (observation instanceof InstanceObservation.ModelMemoryKnown) {
            return 0;
        } else if (observation instanceof InstanceObservation.WorkerGone) {
            return 1;
        } else if (observation instanceof InstanceObservation.LoadFailed) {
            return 2;
        } else if (observation instanceof InstanceObservation.LoadStarted) {
            return 3;
        }
        return observation instanceof InstanceObservation.InstancesReported ? 4 : 5;
    }

    private void process(InstanceObservation observation) {
        if (intervalStart == NOT_STARTED) {
            intervalStart = Math.floorDiv(observation.atMillis(), interval) * interval;
        }
        if (observation.atMillis() < intervalStart) {
            lateCount++;
        }
        long time = Math.max(intervalStart, observation.atMillis());
        while (time >= intervalStart + interval) {
            closeInterval();
        }
        apply(observation, time);
    }

    private void apply(InstanceObservation observation, long time) {
        if (observation instanceof InstanceObservation.ModelMemoryKnown memory) {
            onMemoryKnown(memory, time);
        } else if (observation instanceof InstanceObservation.WorkerGone gone) {
            onWorkerGone(gone, time);
        } else if (observation instanceof InstanceObservation.LoadFailed failed) {
            usage(failed.worker(), failed.model(), time).onLoadFailed(time);
        } else if (observation instanceof InstanceObservation.LoadStarted started) {
            usage(started.worker(), started.model(), time).onLoadStarted(time, started.tenant(), started.loadMillis());
        } else if (observation instanceof InstanceObservation.InstancesReported reported) {
            usage(reported.worker(), reported.model(), time).setInstances(time, reported.instances());
        } else if (observation instanceof InstanceObservation.WorkReported worked) {
            usage(worked.worker(), worked.model(), time).onWork(time, worked.tenant(), worked.workMicros());
        }
    }

    private void onMemoryKnown(InstanceObservation.ModelMemoryKnown memory, long time) {
        for (InstanceUsage usage : usages.values()) {
            if (usage.model.equals(memory.model())) {
                countUntil(usage, time);
            }
        }
        memoryMb.put(memory.model(), memory.memoryMb());
    }

    private void onWorkerGone(InstanceObservation.WorkerGone gone, long time) {
        for (InstanceUsage usage : usages.values()) {
            if (usage.worker.equals(gone.worker())) {
                countUntil(usage, time);
                usage.setInstances(time, 0);
            }
        }
    }

    /** Returns the usage of a model on a worker, counted up to a time. */
    private InstanceUsage usage(String worker, String model, long time) {
        InstanceUsage usage =
                usages.computeIfAbsent(worker + "\n" + model, key -> new InstanceUsage(worker, model, idleTimeout));
        countUntil(usage, time);
        return usage;
    }

    private void countUntil(InstanceUsage usage, long time) {
        usage.countUntil(time, memoryMb.getOrDefault(usage.model, 0L));
    }

    private void closeInterval() {
        long intervalEnd = intervalStart + interval;
        for (InstanceUsage usage : usages.values()) {
            countUntil(usage, intervalEnd);
            shares.addAll(usage.takeShares(intervalStart));
            usage.startNextInterval();
        }
        usages.values().removeIf(InstanceUsage::isEmpty);
        intervalStart = intervalEnd;
    }
}
