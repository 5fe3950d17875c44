package pearladder.connections;

import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * When a router that was told to stop refuses, gives up and ends. It ends as soon as nothing is owed, and never so late that
 * it is killed over what it holds.
 */
public final class GracefulShutdown {
    /** What is to be done now. */
    public enum Step {
        SERVE,
        REFUSE,
        GIVE_UP,
        EXIT
    }

    /**
     * What would be lost if the process ended now.
     *
     * @param calls without their answer
     * @param unsent bytes of answers that the machine has not taken yet
     * @param unfinished clients inside a message
     */
    public record Owed(int calls, long unsent, int unfinished) {
        private boolean nothing() {
            return calls == 0 && unsent == 0 && unfinished == 0;
        }
    }

    /** Requests come for 0.6 s after the signal, as the platform states it, and its limits have 0.05 s of slack. */
    private static final TimeSpan SLACK = TimeSpan.millis(50);

    private static final TimeSpan SERVES = TimeSpan.millis(600).plus(SLACK.times(2));
    /** It kills after the longest deadline, counted as so long at the least, and the span in which it still serves. */
    private static final TimeSpan SHORTEST = TimeSpan.millis(3000);

    private final MonotonicTime told;
    private final MonotonicTime killed;

    /** @param longest the longest deadline of any class */
    public GracefulShutdown(MonotonicTime told, TimeSpan longest) {
        this.told = told;
        this.killed = told.plus(longest.atLeast(SHORTEST)).plus(SERVES);
    }

    /** @param heard when a client last connected or sent something; null where none did */
    public Step on(MonotonicTime now, MonotonicTime heard, Owed owed) {
        if (now.isBefore(told.plus(SERVES))) {
            return Step.SERVE;
        }
        boolean quiet = heard == null || !now.isBefore(heard.plus(SLACK));
        if (quiet && owed.nothing() || !now.isBefore(killed.minus(SLACK))) {
            return Step.EXIT;
        }
        return now.isBefore(killed.minus(SLACK.times(2))) ? Step.REFUSE : Step.GIVE_UP;
    }
}
