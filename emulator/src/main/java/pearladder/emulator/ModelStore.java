package pearladder.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The shared store that workers fetch model images from. Concurrent fetches share its capacity equally; fetches beyond
 * a limit are rejected.
 */
public final class ModelStore {
    /** Time after which a rejected fetch fails. */
    private static final long REJECTION_NANOS = 1_000_000;
    /** A fetch with less remaining time than this, in nanoseconds at full speed, is complete. */
    private static final double COMPLETION_TOLERANCE_NANOS = 1;

    private static final class Fetch {
        final Consumer<Boolean> onEnded;
        double remainingNanos;

        Fetch(long fullSpeedNanos, Consumer<Boolean> onEnded) {
            this.remainingNanos = fullSpeedNanos;
            this.onEnded = onEnded;
        }
    }

    private final Timeline time;
    private final double capacity;
    private final int fetchLimit;
    private final List<Fetch> active = new ArrayList<>();
    private Timeline.ScheduledTask nextCompletion;
    private long lastAccountedAt;
    private double slowdown = 1;
    private boolean rejectingAll;
    private boolean servingDamagedImages;

    /**
     * Creates a store without active fetches.
     *
     * @param capacity maximum number of concurrent fetches at full speed
     * @param fetchLimit maximum number of concurrent fetches; further ones are rejected
     */
    public ModelStore(Timeline time, double capacity, int fetchLimit) {
        this.time = time;
        this.capacity = capacity;
        this.fetchLimit = fetchLimit;
    }

    /** Divides the speed of all fetches by a factor, at least 1. */
    public void setSlowdown(double factor) {
        accountProgress();
        slowdown = Math.max(1, factor);
        scheduleNextCompletion();
    }

    /** Sets whether every new fetch is rejected, or only those beyond the limit. */
    public void setRejectingAll(boolean on) {
        rejectingAll = on;
    }

    /** Sets whether images are damaged: a fetch then takes its usual time and fails. */
    public void setServingDamagedImages(boolean on) {
        servingDamagedImages = on;
    }

    /**
     * Starts a fetch.
     *
     * @param fullSpeedNanos duration of the fetch at full speed
     * @param onEnded called after this method with whether the fetch delivered a usable image
     */
    public void fetch(long fullSpeedNanos, Consumer<Boolean> onEnded) {
        if (rejectingAll || active.size() >= fetchLimit) {
            time.after(REJECTION_NANOS, () -> onEnded.accept(false));
            return;
        }
        accountProgress();
        active.add(new Fetch(fullSpeedNanos, onEnded));
        scheduleNextCompletion();
    }

    /** Returns the speed of each fetch, 1 for full speed. */
    private double rate() {
        return Math.min(1, capacity / Math.max(1, active.size())) / slowdown;
    }

    private void accountProgress() {
        double progress = (time.now() - lastAccountedAt) * rate();
        lastAccountedAt = time.now();
        active.forEach(fetch -> fetch.remainingNanos -= progress);
    }

    private void scheduleNextCompletion() {
        if (nextCompletion != null) {
            nextCompletion.cancel();
        }
        if (!active.isEmpty()) {
            double leastRemainingNanos = active.stream()
                    .mapToDouble(fetch -> fetch.remainingNanos)
                    .min()
                    .orElse(0);
            nextCompletion =
                    time.after((long) Math.ceil(Math.max(0, leastRemainingNanos) / rate()), this::onCompletionDue);
        }
    }

    private void onCompletionDue() {
        accountProgress();
        List<Fetch> completed = active.stream()
                .filter(fetch -> fetch.remainingNanos < COMPLETION_TOLERANCE_NANOS)
                .toList();
        active.removeAll(completed);
        scheduleNextCompletion();
        completed.forEach(fetch -> fetch.onEnded.accept(!servingDamagedImages));
    }
}
