package pearladder.delivery;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Bounds how long a request may be held, by how long the event loop has stood still of late. A deadline that falls due
 * in a stall is answered after it; where stalls are longer than the grace in which a late answer still counts, a
 * request is given up so much earlier that an answer is in time even if the loop stalls as long again.
 */
public final class HoldLimit {
    /** A stall counts for so long: a process that shares its core stalls again within seconds, or not at all. */
    private static final TimeSpan MEMORY = TimeSpan.millis(30_000);
    /** Margin for the platform's timers, which are stated to be that exact. */
    private static final TimeSpan SLACK = TimeSpan.millis(50);

    private final TimeSpan grace;
    private TimeSpan longestStall = TimeSpan.ZERO;
    private MonotonicTime longestStallAt;

    /** @param grace how long after its deadline an answer still counts as given */
    public HoldLimit(TimeSpan grace) {
        this.grace = grace;
    }

    /** The event loop has stood still. */
    public void onStall(MonotonicTime now, TimeSpan duration) {
        if (!isRemembered(now) || duration.compareTo(longestStall) >= 0) {
            longestStall = duration;
            longestStallAt = now;
        }
    }

    private boolean isRemembered(MonotonicTime now) {
        return longestStallAt != null && !now.since(longestStallAt).isLongerThan(MEMORY);
    }

    /** How long a request may be held whose client waits so long from now; zero or less where it must not be. */
    public TimeSpan limit(MonotonicTime now, TimeSpan timeLeft) {
        if (!isRemembered(now)) {
            return timeLeft;
        }
        return timeLeft.plus(grace).minus(longestStall).minus(SLACK).atMost(timeLeft);
    }
}
