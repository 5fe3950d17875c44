package pearladder.router.core;

import java.util.function.BooleanSupplier;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/**
 * The router's connections to its workers. {@link Outcome#UNREACHABLE} and {@link Outcome#VOID} are reported only
 * if no part of a request was sent. Every operation ends exactly once, at its timeout at the latest; it may end before
 * the method that started it returns.
 */
public interface WorkerClient {
    /** An attempt in flight. */
    interface PendingSend {
        /** An attempt that ended before {@link WorkerClient#send} returned. */
        PendingSend NONE = new PendingSend() {
            @Override
            public void cancel() {
                // already ended
            }

            @Override
            public void cancelUnsent() {
                // already ended
            }
        };

        /** Stops waiting for the response. */
        void cancel();

        /** Ends the attempt if none of it has been sent yet; otherwise has no effect. */
        void cancelUnsent();
    }

    /** Receives the end of an attempt or of a health check, once. */
    interface AttemptListener {
        /** @param response null if no complete response was received */
        void onEnded(Outcome outcome, WorkerResponse response);
    }

    /** Receives the end of a load request, once. */
    interface LoadListener {
        /** @param instances the number of instances that are loaded on the worker now */
        void onEnded(Outcome outcome, int instances);
    }

    /** Returns whether discovery lists a worker as in service; true if the client does not know. */
    default boolean isInService(String worker) {
        return true;
    }

    /** Sends an attempt to its worker; ends it unsent if the worker is not listed. */
    PendingSend send(ActiveAttempt attempt, TimeSpan timeout, AttemptListener listener);

    /**
     * Requests a worker to load instances of a function; with 0, only queries how many are loaded.
     *
     * @param permission evaluated just before the request is written; if false, the request ends unsent
     */
    void loadInstances(
            String worker,
            String function,
            int instances,
            TimeSpan timeout,
            BooleanSupplier permission,
            LoadListener listener);

    /** Requests a worker to unload its idle instances of a function; does not wait for the response. */
    void unloadInstances(String worker, String function, TimeSpan timeout);

    /** Sends a health check to a worker. */
    void checkHealth(String worker, TimeSpan timeout, AttemptListener listener);

    /** Closes the idle connections to a worker. */
    void closeIdleConnections(String worker);

    /** Starts to watch the endpoint list; has no effect if it is already watched. */
    void watchEndpoints();
}
