package pearladder.emulator;

import java.util.ArrayDeque;
import java.util.OptionalDouble;

/**
 * A worker's capacity after a start, which grows linearly from {@link WorkerKind#coldCapacityShare} to 1, and the
 * check for overload: a cold worker that is sent too much work within a window crashes.
 */
final class WarmUp {
    private record WorkArrival(long at, double workNanos) {}

    private final Timeline time;
    private final WorkerKind kind;
    private final ArrayDeque<WorkArrival> window = new ArrayDeque<>();
    private long startedAt;
    private boolean cold;

    WarmUp(Timeline time, WorkerKind kind, boolean cold) {
        this.time = time;
        this.kind = kind;
        this.cold = cold;
        this.startedAt = time.now();
    }

    void restart() {
        cold = true;
        startedAt = time.now();
    }

    /** Clears the work received so far after a crash of the process. */
    void clearWindow() {
        window.clear();
    }

    /** Returns the current capacity as a share of the worker's full capacity, up to 1. */
    double capacityShare() {
        if (!cold) {
            return 1;
        }
        double age = (double) (time.now() - startedAt) / Math.max(1, kind.warmUpNanos());
        cold = age < 1;
        return Math.min(1, kind.coldCapacityShare() + (1 - kind.coldCapacityShare()) * age);
    }

    /**
     * Adds arriving work to the overload window.
     *
     * @return the work in the window as a multiple of the current capacity if it overloads a cold worker; else empty
     */
    OptionalDouble recordWork(double workNanos) {
        if (capacityShare() >= 1) {
            window.clear();
            return OptionalDouble.empty();
        }
        window.add(new WorkArrival(time.now(), workNanos));
        while (!window.isEmpty() && time.now() - window.peek().at() > kind.overloadWindowNanos()) {
            window.poll();
        }
        double received = window.stream().mapToDouble(WorkArrival::workNanos).sum();
        double capacity = kind.cores() * kind.speed() * capacityShare() * kind.overloadWindowNanos();
        return received <= kind.overloadMultiple() * capacity
                ? OptionalDouble.empty()
                : OptionalDouble.of(received / capacity);
    }
}
