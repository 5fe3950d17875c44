package pearladder.router.core;

import java.util.function.Consumer;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/** Receives the events of a router that are to be recorded. */
public interface EventListener {
    /** A listener that records nothing and permits every load request at once. */
    EventListener NONE = new EventListener() {
        @Override
        public void onRequestEnded(ActiveRequest request, String ending, TimeSpan duration) {
            // nothing is recorded
        }

        @Override
        public void onAttemptEnded(ActiveAttempt attempt, Outcome outcome, WorkerResponse response, TimeSpan duration) {
            // nothing is recorded
        }

        @Override
        public void beforeLoadRequest(String worker, String function, int instances, Consumer<String> callback) {
            callback.accept("");
        }

        @Override
        public void onLoadRequestEnded(
                String worker, String function, Outcome outcome, int instances, TimeSpan duration) {
            // nothing is recorded
        }
    };

    /** The value of {@code ending} in {@link #onRequestEnded} for a request whose client disconnected. */
    String CLIENT_DISCONNECTED = "left";

    /**
     * Called when a request has ended.
     *
     * @param ending the {@linkplain CompletionStatus#code() code} of its status, or {@link #CLIENT_DISCONNECTED}
     */
    void onRequestEnded(ActiveRequest request, String ending, TimeSpan duration);

    /**
     * Called when an attempt has ended.
     *
     * @param response null if no complete response was received
     */
    void onAttemptEnded(ActiveAttempt attempt, Outcome outcome, WorkerResponse response, TimeSpan duration);

    /**
     * Called before a load request is sent; the request waits for the callback.
     *
     * @param callback called once, now or later, with an empty string if the request may be sent, otherwise with
     *     the reason why it must not
     */
    void beforeLoadRequest(String worker, String function, int instances, Consumer<String> callback);

    /**
     * Called when a load request has ended.
     *
     * @param instances the number of instances that are loaded on the worker now, as the worker reports it
     */
    void onLoadRequestEnded(String worker, String function, Outcome outcome, int instances, TimeSpan duration);
}
