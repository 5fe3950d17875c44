package pearladder.router.core;

import java.util.function.Consumer;
import pearladder.api.Outcome;
import pearladder.api.Span;

/** Hears what a router does, to keep a record of it. */
public interface Chronicle {
    /** Hears nothing; orders go out at once. */
    Chronicle NONE = new Chronicle() {
        @Override
        public void ended(OpenCall call, String how, Span took) {
            // nothing is kept
        }

        @Override
        public void legEnded(OpenLeg leg, Outcome outcome, EngineSaid said, Span took) {
            // nothing is kept
        }

        @Override
        public void ordering(String engine, String function, int copies, Consumer<String> answer) {
            answer.accept("");
        }

        @Override
        public void ordered(String engine, String function, Outcome outcome, int copies, Span took) {
            // nothing is kept
        }
    };

    /** A call ended: settled, dismissed, terminated or left. */
    void ended(OpenCall call, String how, Span took);

    /** @param said null where the engine said nothing */
    void legEnded(OpenLeg leg, Outcome outcome, EngineSaid said, Span took);

    /** An order is to go out; the answer is empty once it may, or says why it must not. It comes once, now or later. */
    void ordering(String engine, String function, int copies, Consumer<String> answer);

    /** How an order ended, and how many copies the engine says it holds. */
    void ordered(String engine, String function, Outcome outcome, int copies, Span took);
}
