package pearladder.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The shared store that workers fetch model images from. Concurrent fetches share its capacity equally, and it rejects
 * those beyond a limit.
 */
public final class ModelStore {
    /** How long the rejection of a fetch takes. */
    private static final long REJECTION_NANOS = 1_000_000;
    /** A fetch with less time left than this, in nanoseconds at full speed, is complete. */
    private static final double COMPLETE_BELOW = 1;

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
    private long accountedUntil;
    private double slowdown = 1;
    private boolean rejectingAll;
    private boolean servingDamagedImages;

    /**
     * A store without load.
     *
     * @param capacity fetches that together still run at full speed
     * @param fetchLimit fetches under way at the most; further ones are rejected
     */
    public ModelStore(Timeline time, double capacity, int fetchLimit) {
        this.time = time;
        this.capacity = capacity;
        this.fetchLimit = fetchLimit;
    }

    /** Runs so many times slower than usual, at least 1. */
    public void setSlowdown(double factor) {
        accountProgress();
        slowdown = Math.max(1, factor);
        scheduleNextCompletion();
    }

    /** Rejects every new fetch, or none that is within the limit. */
    public void setRejectingAll(boolean on) {
        rejectingAll = on;
    }

    /** Serves damaged images: a fetch takes its time and then fails. */
    public void setServingDamagedImages(boolean on) {
        servingDamagedImages = on;
    }

    /**
     * Starts a fetch.
     *
     * @param fullSpeedNanos how long it takes at full speed
     * @param onEnded called later with whether it brought an image that can be started
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

    /** The speed of each fetch, 1 for full speed. */
    private double rate() {
        return Math.min(1, capacity / Math.max(1, active.size())) / slowdown;
    }

    private void accountProgress() {
        double progress = (time.now() - accountedUntil) * rate();
        accountedUntil = time.now();
        active.forEach(fetch -> fetch.remainingNanos -= progress);
    }

    private void scheduleNextCompletion() {
        if (nextCompletion != null) {
            nextCompletion.cancel();
        }
        if (!active.isEmpty()) {
            double least = active.stream()
                    .mapToDouble(fetch -> fetch.remainingNanos)
                    .min()
                    .orElse(0);
            nextCompletion = time.after((long) Math.ceil(Math.max(0, least) / rate()), this::onCompletionDue);
        }
    }

    private void onCompletionDue() {
        accountProgress();
        List<Fetch> completed = active.stream()
                .filter(fetch -> fetch.remainingNanos < COMPLETE_BELOW)
                .toList();
        active.removeAll(completed);
        scheduleNextCompletion();
        completed.forEach(fetch -> fetch.onEnded.accept(!servingDamagedImages));
    }
}
