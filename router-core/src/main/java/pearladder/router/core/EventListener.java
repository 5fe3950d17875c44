package pearladder.router.core;

import java.util.function.Consumer;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/** Told what a router does, to keep a record of it. */
public interface EventListener {
    /** Records nothing; load requests are sent at once. */
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
        public void beforeLoadRequest(String worker, String function, int instances, Consumer<String> answer) {
            answer.accept("");
        }

        @Override
        public void onLoadRequestEnded(
                String worker, String function, Outcome outcome, int instances, TimeSpan duration) {
            // nothing is recorded
        }
    };

    /** How {@link #onRequestEnded} names the end of a request whose client disconnected. */
    String CLIENT_DISCONNECTED = "left";

    /** @param ending the {@linkplain CompletionStatus#code() code} of its status, or {@link #CLIENT_DISCONNECTED} */
    void onRequestEnded(ActiveRequest request, String ending, TimeSpan duration);

    /** @param response null where no complete response came */
    void onAttemptEnded(ActiveAttempt attempt, Outcome outcome, WorkerResponse response, TimeSpan duration);

    /**
     * A load request is about to be sent.
     *
     * @param answer called once, now or later: empty where the request may be sent, or says why it must not
     */
    void beforeLoadRequest(String worker, String function, int instances, Consumer<String> answer);

    /** @param instances that are loaded on the worker now, as it says */
    void onLoadRequestEnded(String worker, String function, Outcome outcome, int instances, TimeSpan duration);
}
