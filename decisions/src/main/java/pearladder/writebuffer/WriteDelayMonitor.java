package pearladder.writebuffer;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Detects that writes to the disk are behind. One slow write does not count; several in a row or a very slow one do,
 * until no write was slow for a while.
 */
final class WriteDelayMonitor {
    /** The disk is behind after this many slow writes in a row, or after one that takes this many loss windows. */
    private static final int SLOW_LIMIT = 3;
    /** The disk has caught up when no write was slow for this time. */
    private static final TimeSpan RECOVERY_TIME = TimeSpan.seconds(5);

    private final TimeSpan gatherTime;
    private final TimeSpan lossWindow;
    private int slowInARow;
    private MonotonicTime lastSlowAt = new MonotonicTime(0);
    private boolean isBehind;

    /** Creates a monitor. A write is slow if gathering and writing together take longer than the loss window. */
    WriteDelayMonitor(TimeSpan gatherTime, TimeSpan lossWindow) {
        this.gatherTime = gatherTime;
        this.lossWindow = lossWindow;
    }

    /** Records how long a write took; returns whether {@link #isBehind} has changed. */
    boolean onWritten(MonotonicTime now, TimeSpan took) {
        boolean isSlow = took.plus(gatherTime).isLongerThan(lossWindow);
        slowInARow = isSlow ? slowInARow + 1 : 0;
        lastSlowAt = isSlow ? now : lastSlowAt;
        boolean wasBehind = isBehind;
        isBehind = wasBehind
                ? lastSlowAt.plus(RECOVERY_TIME).compareTo(now) > 0
                : slowInARow >= SLOW_LIMIT || took.isLongerThan(lossWindow.times(SLOW_LIMIT));
        return isBehind != wasBehind;
    }

    boolean isBehind() {
        return isBehind;
    }
}
