package pearladder.cli.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Returns the time from which routers must act on a discovery event, allowing for outages of discovery. */
final class ToldClock {
    /** Maximum time from the start of an outage until routers must act on events that the outage held back. */
    private static final long MAX_DELIVERY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(7);
    /** Events published this shortly before an outage may not be delivered: a held poll checks at this interval. */
    private static final long HELD_POLL_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private record Outage(long from, long until) {}

    private final List<Outage> outages = new ArrayList<>();

    synchronized void onOutage(long fromNanos, long untilNanos) {
        outages.add(new Outage(fromNanos, untilNanos));
    }

    /** Returns the {@code nanoTime} from which routers must act on an event that was published at the given time. */
    synchronized long effectiveAt(long eventNanos) {
        for (Outage outage : outages) {
            if (eventNanos > outage.from - HELD_POLL_CHECK_INTERVAL_NANOS && eventNanos < outage.until) {
                return Math.max(eventNanos, Math.min(outage.from + MAX_DELIVERY_DELAY_NANOS, outage.until));
            }
        }
        return eventNanos;
    }
}
