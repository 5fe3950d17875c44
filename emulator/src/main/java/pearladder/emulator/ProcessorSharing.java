package pearladder.emulator;

import java.util.ArrayList;
import java.util.List;

/**
 * The cores of a worker under egalitarian processor sharing: each running request gets an equal share, at most one
 * core. Progress is accounted for whenever the share changes, and one timer is set for the next completion.
 */
final class ProcessorSharing {
    /** A request with less work left than this, in nanoseconds, is complete. */
    private static final double COMPLETE_BELOW = 1;

    private final Timeline time;
    private final WorkerKind kind;
    private final Runnable onCompletionDue;
    private final List<PendingRequest> running = new ArrayList<>();
    private Timeline.ScheduledTask nextCompletion;
    private long accountedUntil;
    private double slowdown = 1;
    private boolean paused;

    /** @param onCompletionDue called when at least one request may be complete */
    ProcessorSharing(Timeline time, WorkerKind kind, Runnable onCompletionDue) {
        this.time = time;
        this.kind = kind;
        this.onCompletionDue = onCompletionDue;
        this.accountedUntil = time.now();
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

    /** Takes a request off the cores; {@link #scheduleNextCompletion} is to follow. */
    void remove(PendingRequest pending) {
        running.remove(pending);
    }

    /** Drops everything that runs; {@link #scheduleNextCompletion} is to follow. */
    void clear() {
        running.clear();
    }

    /** Runs so many times slower than usual, at least 1. */
    void setSlowdown(double factor) {
        accountProgress();
        slowdown = Math.max(1, factor);
        scheduleNextCompletion();
    }

    /** Stops all progress, or continues. */
    void setPaused(boolean on) {
        accountProgress();
        paused = on;
        scheduleNextCompletion();
    }

    /** The process started again: it runs at its usual speed. */
    void reset() {
        slowdown = 1;
        paused = false;
        accountedUntil = time.now();
    }

    List<PendingRequest> completed() {
        return running.stream()
                .filter(pending -> pending.remainingWork < COMPLETE_BELOW)
                .toList();
    }

    /** Subtracts the work done since the last call. */
    void accountProgress() {
        double done = paused ? 0 : (time.now() - accountedUntil) * ratePerRequest();
        accountedUntil = time.now();
        running.forEach(pending -> pending.remainingWork -= done);
    }

    /** Sets the timer anew for the request that completes first. */
    void scheduleNextCompletion() {
        if (nextCompletion != null) {
            nextCompletion.cancel();
            nextCompletion = null;
        }
        if (!running.isEmpty() && !paused) {
            double least = running.stream()
                    .mapToDouble(pending -> pending.remainingWork)
                    .min()
                    .orElse(0);
            long delayNanos = (long) Math.ceil(Math.max(0, least) / ratePerRequest());
            nextCompletion = time.after(delayNanos, onCompletionDue);
        }
    }

    /** Work done for each running request in a nanosecond. */
    private double ratePerRequest() {
        double coreShare = Math.min(1, (double) kind.cores() / Math.max(1, running.size()));
        return coreShare * kind.speed() / slowdown;
    }
}
