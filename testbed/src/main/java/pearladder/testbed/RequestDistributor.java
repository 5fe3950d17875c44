package pearladder.testbed;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Distributes the requests of one source over lanes, each on its own event loop: request n goes to lane n
 * modulo the number of lanes. The sequence of requests does not depend on the number of lanes; only the sending lane of
 * each request does. Thread-safe.
 */
final class RequestDistributor {
    /** The requests sent by one event loop, in the order of their due times. */
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
