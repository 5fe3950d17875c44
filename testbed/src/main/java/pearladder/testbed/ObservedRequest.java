package pearladder.testbed;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pearladder.emulator.Observation;

/** One request of a client to a router as it was observed: how it ended at the client, and its attempts at workers. */
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

        /** Returns when the attempt reached the worker, in nanoseconds. */
        long arrivedAt() {
            return arrival.at();
        }

        String worker() {
            return arrival.worker();
        }

        /** Returns false if the worker refused the attempt, or answered it from a retained idempotency key. */
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

    /** Returns all requests that clients sent, keyed by request ID, in the order in which they were sent. */
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

    /** Returns the client's deadline for the request, in nanoseconds. */
    long deadline() {
        return sent.at() + (long) sent.value();
    }

    /** Returns the client's last observation of how the request ended, or null if there is none. */
    Observation end() {
        return end;
    }

    /** Returns whether the request ended without a final answer and with the given note. */
    boolean endedUnanswered(String note) {
        return isUnanswered() && end.note().equals(note);
    }

    boolean isUnanswered() {
        return end != null && end.event().equals(Observation.UNANSWERED);
    }

    boolean hasSeveralAnswers() {
        return ends > 1 || answeredAgain;
    }

    /** Returns the attempts in the order in which they reached the workers. */
    List<Attempt> attempts() {
        return attempts;
    }
}
