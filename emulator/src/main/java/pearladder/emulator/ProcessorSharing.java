package pearladder.emulator;

import java.util.ArrayList;
import java.util.List;

/**
 * The cores of a worker under egalitarian processor sharing: each running request gets an equal share, at most one
 * core. Progress is accounted for whenever the share changes, and one timer is set for the next completion.
 */
final class ProcessorSharing {
    /** A request with less remaining work than this, in nanoseconds, is complete. */
    private static final double COMPLETION_TOLERANCE_NANOS = 1;

    private final Timeline time;
    private final WorkerKind kind;
    private final Runnable onCompletionDue;
    private final List<PendingRequest> running = new ArrayList<>();
    private Timeline.ScheduledTask nextCompletion;
    private long lastAccountedAt;
    private double slowdown = 1;
    private boolean paused;

    /** @param onCompletionDue called when at least one request may be complete */
    ProcessorSharing(Timeline time, WorkerKind kind, Runnable onCompletionDue) {
        this.time = time;
        this.kind = kind;
        this.onCompletionDue = onCompletionDue;
        this.lastAccountedAt = time.now();
    }

    List<PendingRequest> running() {
        return running;
    }

    int count() {
        return running.size();
    }

    void add(PendingRequest pending) {
        accountProgress();
        running.add(pending);
        scheduleNextCompletion();
    }

    /** Removes a request; the caller must then call {@link #scheduleNextCompletion}. */
    void remove(PendingRequest pending) {
        running.remove(pending);
    }

    /** Removes all requests; the caller must then call {@link #scheduleNextCompletion}. */
    void clear() {
        running.clear();
    }

    /** Divides the speed of the cores by a factor, at least 1. */
    void setSlowdown(double factor) {
        accountProgress();
        slowdown = Math.max(1, factor);
        scheduleNextCompletion();
    }

    /** Pauses or resumes all running requests. */
    void setPaused(boolean on) {
        accountProgress();
        paused = on;
        scheduleNextCompletion();
    }

    /** Restores the usual speed after a restart of the process. */
    void reset() {
        slowdown = 1;
        paused = false;
        lastAccountedAt = time.now();
    }

    List<PendingRequest> completed() {
        return running.stream()
                .filter(pending -> pending.remainingWork < COMPLETION_TOLERANCE_NANOS)
                .toList();
    }

    /** Subtracts the work done since the last call. */
    void accountProgress() {
        double workDone = paused ? 0 : (time.now() - lastAccountedAt) * ratePerRequest();
        lastAccountedAt = time.now();
        running.forEach(pending -> pending.remainingWork -= workDone);
    }

    /** Reschedules the timer for the request that completes first. */
    void scheduleNextCompletion() {
        if (nextCompletion != null) {
            nextCompletion.cancel();
            nextCompletion = null;
        }
        if (!running.isEmpty() && !paused) {
            double leastRemainingWork = running.stream()
                    .mapToDouble(pending -> pending.remainingWork)
                    .min()
                    .orElse(0);
            long delayNanos = (long) Math.ceil(Math.max(0, leastRemainingWork) / ratePerRequest());
            nextCompletion = time.after(delayNanos, onCompletionDue);
        }
    }

    /** Returns the work done for each running request per nanosecond. */
    private double ratePerRequest() {
        double coreShare = Math.min(1, (double) kind.cores() / Math.max(1, running.size()));
        return coreShare * kind.speed() / slowdown;
    }
}
