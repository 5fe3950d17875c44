package pearladder.router.core;

import java.util.function.Consumer;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/** Hears what a router does, to keep a record of it. */
public interface EventListener {
    /** Hears nothing; orders go out at once. */
    EventListener NONE = new EventListener() {
        @Override
        public void onRequestEnded(ActiveRequest call, String how, TimeSpan took) {
            // nothing is kept
        }

        @Override
        public void onAttemptEnded(ActiveAttempt leg, Outcome outcome, WorkerResponse said, TimeSpan took) {
            // nothing is kept
        }

        @Override
        public void beforeLoadRequest(String engine, String function, int copies, Consumer<String> answer) {
            answer.accept("");
        }

        @Override
        public void onLoadRequestEnded(String engine, String function, Outcome outcome, int copies, TimeSpan took) {
            // nothing is kept
        }
    };

    /** A call ended: settled, dismissed, terminated or left. */
    void onRequestEnded(ActiveRequest call, String how, TimeSpan took);

    /** @param said null where the engine said nothing */
    void onAttemptEnded(ActiveAttempt leg, Outcome outcome, WorkerResponse said, TimeSpan took);

    /** An order is to go out; the answer is empty once it may, or says why it must not. It comes once, now or later. */
    void beforeLoadRequest(String engine, String function, int copies, Consumer<String> answer);

    /** How an order ended, and how many copies the engine says it holds. */
    void onLoadRequestEnded(String engine, String function, Outcome outcome, int copies, TimeSpan took);
}
