package pearladder.router.core;

import java.util.List;

/** Told how a request ended. One of the two methods is called, once. */
public interface CompletionListener {
    /** Ignores the end. */
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
     * The request was answered.
     *
     * @param successful whether it succeeded within its latency objective and no attempt had a worker's error
     * @param workers that were sent an attempt
     */
    void onCompleted(boolean successful, List<String> workers);

    /** The client disconnected before its request was answered. */
    void onClientDisconnected();
}
