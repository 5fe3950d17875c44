package pearladder.routing;

import java.util.ArrayList;
import java.util.List;
import pearladder.routing.api.Action;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingSettings.RequestClass;

/** The state of one request in a {@link PolicyHarness}; the lists have one entry for each attempt. */
final class TrackedRequest {
    final String id;
    final RequestClass requestClass;
    final MonotonicTime deadlineAt;
    final List<String> workers = new ArrayList<>();
    final List<MonotonicTime> sentAt = new ArrayList<>();
    /** Null for an attempt that is in flight. */
    final List<Outcome> outcomes = new ArrayList<>();
    /** The action that rejected or failed the request; null if there was none. */
    Action finalAction;

    boolean completed;

    TrackedRequest(String id, RequestClass requestClass, MonotonicTime deadlineAt) {
        this.id = id;
        this.requestClass = requestClass;
        this.deadlineAt = deadlineAt;
    }

    void addAttempt(String worker, MonotonicTime now) {
        workers.add(worker);
        sentAt.add(now);
        outcomes.add(null);
    }

    boolean mayHaveExecuted() {
        return outcomes.stream().anyMatch(TrackedRequest::mayHaveExecuted);
    }

    /** Returns the index of the first attempt that may have been executed; there must be one. */
    int firstPossiblyExecuted() {
        int first = 0;
        while (!mayHaveExecuted(outcomes.get(first))) {
            first++;
        }
        return first;
    }

    private static boolean mayHaveExecuted(Outcome outcome) {
        return outcome == null || !outcome.neverExecuted;
    }

    int attemptsInFlight() {
        return (int) outcomes.stream().filter(outcome -> outcome == null).count();
    }
}
