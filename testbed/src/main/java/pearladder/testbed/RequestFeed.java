package pearladder.testbed;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Deals one source's calls to several lanes, each on an event loop of its own: call n to lane n modulo their number. The
 * sequence is the source's whatever the number of lanes; only who sends a call depends on it.
 */
final class RequestFeed {
    /** What one event loop sends, in the order of the calls' moments. */
    final class Lane implements RequestSource {
        private final ArrayDeque<Drawn> dealt = new ArrayDeque<>();

        private Lane() {}

        @Override
        public Drawn next() {
            synchronized (RequestFeed.this) {
                while (dealt.isEmpty() && !dry) {
                    Drawn drawn = source.next();
                    dry = drawn == null;
                    if (!dry) {
                        lanes.get((int) (drawn.number() % lanes.size())).dealt.add(drawn);
                    }
                }
                return dealt.poll();
            }
        }
    }

    private final RequestSource source;
    private final List<Lane> lanes = new ArrayList<>();
    private boolean dry;

    RequestFeed(RequestSource source, int lanes) {
        this.source = source;
        for (int i = 0; i < lanes; i++) {
            this.lanes.add(new Lane());
        }
    }

    List<Lane> lanes() {
        return lanes;
    }
}
