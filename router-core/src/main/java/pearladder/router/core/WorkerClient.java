package pearladder.router.core;

import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/**
 * The way to the engines. Outcomes prove what they claim: unreachable and void are said only where nothing of a call left.
 * Each thing that is begun ends once, at the latest at its limit; it may end before the call that began it returns.
 */
public interface WorkerClient {
    /** A leg on its way. */
    interface PendingSend {
        /** Nothing is on its way: it ended at once. */
        PendingSend NONE = new PendingSend() {
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
    interface AttemptListener {
        void end(Outcome outcome, WorkerResponse said);
    }

    /** How an order ended, and how many copies stand. */
    interface LoadListener {
        void end(Outcome outcome, int copies);
    }

    /** Sends a leg. To an engine that is not listed it ends unsent. */
    PendingSend send(ActiveAttempt leg, TimeSpan limit, AttemptListener ended);

    /** Orders copies, or with 0 asks how many stand. */
    void loadInstances(String engine, String function, int copies, TimeSpan limit, LoadListener ended);

    /** Has the idle copies of a function unloaded; nobody waits for the answer. */
    void unloadInstances(String engine, String function, TimeSpan limit);

    void checkHealth(String engine, TimeSpan limit, AttemptListener ended);

    void closeIdleConnections(String engine);

    /** Watches the list of engines; does nothing where it is watched already. */
    void watchEndpoints();
}
