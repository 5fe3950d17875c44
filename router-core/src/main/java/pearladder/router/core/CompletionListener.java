package pearladder.router.core;

import java.util.List;

/** Receives the end of a request. Exactly one of the two methods is called, once. */
public interface CompletionListener {
    /** A listener that does nothing. */
    CompletionListener NONE = new CompletionListener() {
        @Override
        public void onCompleted(boolean successful, List<String> workers) {
            // ignored
        }

        @Override
        public void onClientDisconnected() {
            // ignored
        }
    };

    /**
     * Called when the request was answered.
     *
     * @param successful whether it succeeded within its latency objective and no attempt ended with a worker's error
     * @param workers the workers that were sent an attempt
     */
    void onCompleted(boolean successful, List<String> workers);

    /** Called when the client disconnected before its request was answered. */
    void onClientDisconnected();
}
