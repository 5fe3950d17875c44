package pearladder.testbed;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Distributes the requests of one source over lanes, each on an event loop of its own: request n goes to lane n
 * modulo their number. The sequence is the source's whatever the number of lanes; only who sends a request depends on
 * it. Thread-safe.
 */
final class RequestDistributor {
    /** What one event loop sends, in the order of the requests' due times. */
    final class Lane implements RequestSource {
        private final Queue<ScheduledRequest> waiting = new ArrayDeque<>();

        private Lane() {}

        @Override
        public ScheduledRequest next() {
            synchronized (RequestDistributor.this) {
                while (waiting.isEmpty() && !exhausted) {
                    distributeNext();
                }
                return waiting.poll();
            }
        }
    }

    private final RequestSource source;
    private final List<Lane> lanes = new ArrayList<>();
    private boolean exhausted;

    RequestDistributor(RequestSource source, int lanes) {
        this.source = source;
        for (int i = 0; i < lanes; i++) {
            this.lanes.add(new Lane());
        }
    }

    private void distributeNext() {
        RequestSource.ScheduledRequest request = source.next();
        if (request == null) {
            exhausted = true;
            return;
        }
        int lane = (int) (request.number() % lanes.size());
        lanes.get(lane).waiting.add(request);
    }

    List<Lane> lanes() {
        return lanes;
    }
}
