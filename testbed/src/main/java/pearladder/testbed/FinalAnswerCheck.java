package pearladder.testbed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pearladder.emulator.Observation;
import pearladder.testbed.InvariantChecker.Invariant;

/**
 * Checks that each request has exactly one final answer, in time. Requests are exempt if their router was killed or
 * paused meanwhile, if their client could not connect to it, or if their client cancelled them early.
 */
final class FinalAnswerCheck {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final InvariantSettings settings;
    private final long slack;
    private final CheckFindings findings;
    private final Map<String, List<Observation>> outages = new HashMap<>();
    private final TreeMap<Long, Observation> clientPauses = new TreeMap<>();

    /**
     * Creates a check.
     *
     * @param slack tolerance in nanoseconds
     */
    FinalAnswerCheck(InvariantSettings settings, long slack, CheckFindings findings) {
        this.settings = settings;
        this.slack = slack;
        this.findings = findings;
    }

    void check(List<Observation> inOrder, Collection<ObservedRequest> requests) {
        for (Observation seen : inOrder) {
            switch (seen.event()) {
                case Observation.KILLED, Observation.PROCESS_PAUSED -> outages.computeIfAbsent(
                                seen.router(), router -> new ArrayList<>())
                        .add(seen);
                case Observation.CLIENT_PAUSED -> clientPauses.put(seen.at(), seen);
                default -> {}
            }
        }
        requests.forEach(this::check);
    }

    private void check(ObservedRequest request) {
        if (request.end() == null
                || routerWasUnavailable(request)
                || request.endedUnanswered(ObservedRequest.UNREACHABLE)
                || request.endedUnanswered(ObservedRequest.LEFT)) {
            return;
        }
        findings.recordChecked(Invariant.ONE_ANSWER);
        String description = "call " + request.id() + " (" + request.requestClass() + ") at " + request.router();
        Observation end = request.end();
        long deadline = request.deadline();
        if (request.isUnanswered()) {
            findings.recordViolation(
                    Invariant.ONE_ANSWER, deadline, description + " got no final answer: " + end.note());
        } else if (end.at() - clientPauseNanos(deadline, end.at()) > deadline + settings.answerGrace() + slack) {
            findings.recordViolation(
                    Invariant.ONE_ANSWER,
                    end.at(),
                    description + " was " + end.note() + " " + (end.at() - deadline) / NANOS_PER_MILLI
                            + " ms after the client's time was up");
        }
        if (request.hasSeveralAnswers()) {
            findings.recordViolation(Invariant.ONE_ANSWER, end.at(), description + " got more than one final answer");
        }
    }

    private boolean routerWasUnavailable(ObservedRequest request) {
        long from = request.sentAt() - slack;
        long until = Math.min(request.deadline(), request.end().at()) + slack;
        return outages.getOrDefault(request.router(), List.of()).stream()
                .anyMatch(outage -> outage.at() + (long) outage.value() >= from && outage.at() <= until);
    }

    /** Returns how long the client process was paused between a deadline and the time at which it saw the answer. */
    private long clientPauseNanos(long deadline, long seenAt) {
        long sum = 0;
        for (Observation pause : clientPauses.tailMap(deadline, true).values()) {
            long pausedFrom = Math.max(deadline, pause.at() - (long) pause.value());
            sum += Math.max(0, Math.min(seenAt, pause.at()) - pausedFrom);
            if (pause.at() >= seenAt) {
                break;
            }
        }
        return sum;
    }
}
