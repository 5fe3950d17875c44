package pearladder.testbed;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pearladder.emulator.Observation;

/** One request of a client to a router as it was observed: its end at the client and its attempts at the workers. */
final class ObservedRequest {
    /** Notes of clients on requests that ended without a final answer. */
    static final String UNREACHABLE = "unreachable";

    static final String LEFT = "left";

    /** One attempt of the router at a worker. */
    static final class Attempt {
        private final Observation arrival;
        private boolean refused;

        private Attempt(Observation arrival) {
            this.arrival = arrival;
        }

        /** When it reached the worker, in nanoseconds. */
        long arrivedAt() {
            return arrival.at();
        }

        String worker() {
            return arrival.worker();
        }

        /** True unless the worker refused it unseen, or answered it from what it remembers. */
        boolean mayHaveRun() {
            return !refused;
        }

        private boolean isOf(Observation seen) {
            return arrival.attempt() == seen.attempt() && arrival.worker().equals(seen.worker());
        }
    }

    private final Observation sent;
    private final List<Attempt> attempts = new ArrayList<>();
    private Observation end;
    private int ends;
    private boolean answeredAgain;

    private ObservedRequest(Observation sent) {
        this.sent = sent;
    }

    /** All requests that clients sent, by their id and in the order in which they were sent. */
    static Map<String, ObservedRequest> of(List<Observation> inOrder) {
        Map<String, ObservedRequest> requests = new LinkedHashMap<>();
        for (Observation seen : inOrder) {
            if (seen.event().equals(Observation.SENT)) {
                requests.put(seen.requestId(), new ObservedRequest(seen));
            }
        }
        for (Observation seen : inOrder) {
            ObservedRequest request = requests.get(seen.requestId());
            if (request != null) {
                request.add(seen);
            }
        }
        return requests;
    }

    private void add(Observation seen) {
        switch (seen.event()) {
            case Observation.ANSWERED, Observation.UNANSWERED -> {
                end = seen;
                ends++;
            }
            case Observation.ANSWERED_AGAIN -> answeredAgain = true;
            case Observation.ARRIVED -> attempts.add(new Attempt(seen));
            case Observation.REJECTED, Observation.DUPLICATE_DROPPED -> attempts.stream()
                    .filter(attempt -> attempt.isOf(seen))
                    .forEach(attempt -> attempt.refused = true);
            default -> {}
        }
    }

    String id() {
        return sent.requestId();
    }

    String router() {
        return sent.router();
    }

    String requestClass() {
        return sent.note();
    }

    long sentAt() {
        return sent.at();
    }

    /** When the client's time for it was up, in nanoseconds. */
    long deadline() {
        return sent.at() + (long) sent.value();
    }

    /** What the client saw last of it; null where it saw nothing. */
    Observation end() {
        return end;
    }

    /** Whether it ended without a final answer, in this way. */
    boolean endedUnanswered(String how) {
        return isUnanswered() && end.note().equals(how);
    }

    boolean isUnanswered() {
        return end != null && end.event().equals(Observation.UNANSWERED);
    }

    boolean hasSeveralAnswers() {
        return ends > 1 || answeredAgain;
    }

    /** Its attempts in the order in which they reached the workers. */
    List<Attempt> attempts() {
        return attempts;
    }
}
