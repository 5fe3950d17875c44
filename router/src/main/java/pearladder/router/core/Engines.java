package pearladder.router.core;

import pearladder.api.Outcome;
import pearladder.api.Span;

/**
 * The way to the engines. Outcomes prove what they claim: unreachable and void are said only where nothing of a call left.
 * Each thing that is begun ends once, at the latest at its limit; it may end before the call that began it returns.
 */
public interface Engines {
    /** A leg on its way. */
    interface Sending {
        /** Nothing is on its way: it ended at once. */
        Sending NONE = new Sending() {
            @Override
            public void cancel() {
                // it has ended
            }

            @Override
            public void takeBack() {
                // it has ended
            }
        };

        /** Ceases to wait for it. */
        void cancel();

        /** Ends it unsent where nothing of it has left yet; what has left goes on. */
        void takeBack();
    }

    /** How a leg ended; said is null where no whole answer came. */
    interface LegEnded {
        void end(Outcome outcome, EngineSaid said);
    }

    /** How an order ended, and how many copies stand. */
    interface Ordered {
        void end(Outcome outcome, int copies);
    }

    /** Sends a leg. To an engine that is not listed it ends unsent. */
    Sending send(OpenLeg leg, Span limit, LegEnded ended);

    /** Orders copies, or with 0 asks how many stand. */
    void order(String engine, String function, int copies, Span limit, Ordered ended);

    /** Has the idle copies of a function unloaded; nobody waits for the answer. */
    void unload(String engine, String function, Span limit);

    void probe(String engine, Span limit, LegEnded ended);

    void closeIdle(String engine);

    /** Watches the list of engines; does nothing where it is watched already. */
    void watchList();
}
