package pearladder.metering;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Computes the total memory usage independently, by evaluating every millisecond of every worker and model. */
final class MillisecondUsage {
    private final String worker;
    private final String model;
    private final long idleTimeout;
    private int instances;
    private long renewedAt = -1;

    private MillisecondUsage(String worker, String model, long idleTimeout) {
        this.worker = worker;
        this.model = model;
        this.idleTimeout = idleTimeout;
    }

    /** Returns the megabytes times milliseconds of workers e0 to e2 and models m0 to m2, from 0 to a time. */
    static long total(List<InstanceObservation> observations, long idleTimeout, long until) {
        List<InstanceObservation> sorted = new ArrayList<>(observations);
        sorted.sort(Comparator.comparingLong(InstanceObservation::atMillis)
                .thenComparing(MillisecondUsage::orderAtSameTime));
        Map<String, Long> memoryMb = new HashMap<>();
        for (InstanceObservation observation : sorted) {
            if (observation instanceof InstanceObservation.ModelMemoryKnown memory) {
                memoryMb.put(memory.model(), memory.memoryMb());
            }
        }
        long total = 0;
        for (String worker : List.of("e0", "e1", "e2")) {
            for (String model : List.of("m0", "m1", "m2")) {
                long instanceMillis = new MillisecondUsage(worker, model, idleTimeout).instanceMillis(sorted, until);
                total += instanceMillis * memoryMb.get(model);
            }
        }
        return total;
    }

    private long instanceMillis(List<InstanceObservation> sorted, long until) {
        long sum = 0;
        int next = 0;
        for (long now = 0; now < until; now++) {
            for (; next < sorted.size() && sorted.get(next).atMillis() == now; next++) {
                apply(sorted.get(next), now);
            }
            sum += instancesAt(now);
        }
        return sum;
    }

    private int instancesAt(long now) {
        return now < renewedAt + idleTimeout ? instances : 0;
    }

    private void apply(InstanceObservation observation, long now) {
        int before = instancesAt(now);
        if (observation instanceof InstanceObservation.WorkerGone gone
                && gone.worker().equals(worker)) {
            setInstances(0, now);
        } else if (observation instanceof InstanceObservation.LoadFailed failed
                && isSameWorkerAndModel(failed.worker(), failed.model())) {
            setInstances(Math.max(0, before - 1), now);
        } else if (observation instanceof InstanceObservation.LoadStarted started
                && isSameWorkerAndModel(started.worker(), started.model())) {
            setInstances(Math.max(1, before), now);
        } else if (observation instanceof InstanceObservation.WorkReported worked
                && isSameWorkerAndModel(worked.worker(), worked.model())) {
            setInstances(Math.max(1, before), now);
        } else if (observation instanceof InstanceObservation.InstancesReported reported
                && isSameWorkerAndModel(reported.worker(), reported.model())) {
            setInstances(reported.instances(), now);
        }
    }

    private boolean isSameWorkerAndModel(String otherWorker, String otherModel) {
        return otherWorker.equals(worker) && otherModel.equals(model);
    }

    private void setInstances(int count, long now) {
        instances = count;
        renewedAt = now;
    }

    private static int orderAtSameTime(InstanceObservation observation) {
        List<Class<? extends InstanceObservation>> order = List.of(
                InstanceObservation.ModelMemoryKnown.class,
                InstanceObservation.WorkerGone.class,
                InstanceObservation.LoadFailed.class,
                InstanceObservation.LoadStarted.class,
                InstanceObservation.InstancesReported.class,
                InstanceObservation.WorkReported.class);
        return order.indexOf(observation.getClass());
    }
}
