package pearladder.cli.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Checks the platform's rules against the observations of clients and workers. Shares no code with the router. */
final class SoakInvariants {
    /** A request without an answer this long after its budget counts as lost. */
    private static final long ANSWER_GRACE_MILLIS = 500;
    /** A client resends a request that it sent this shortly before the router closed the idle connection. */
    private static final long CLOSE_RACE_MILLIS = 50;
    /** Maximum time after a client left at which one of its attempts may still reach a worker. */
    private static final long CANCEL_TOLERANCE_MILLIS = 100;
    /** Maximum excess of the time limit sent to a worker over the client's remaining budget. */
    private static final long LIMIT_TOLERANCE_MILLIS = 150;
    /** One in this many requests may be written late by a router that was paused with SIGSTOP. */
    private static final int REQUESTS_PER_TOLERATED_VIOLATION = 500;
    /** {@code StopSendingWithinNs} of the configuration, plus the tolerance of all time limits, 50 ms. */
    private static final long DRAIN_MILLIS = 1000 + 50;

    private final ToldClock clock;
    private final RouterEnds ends;
    private final MachineLateness lateness;
    private final List<String> violations = new ArrayList<>();
    /** Violations by routers that may have been paused between their last check of the client and the write. */
    private final List<String> violationsWhilePaused = new ArrayList<>();

    SoakInvariants(ToldClock clock, RouterEnds ends, MachineLateness lateness) {
        this.clock = clock;
        this.ends = ends;
        this.lateness = lateness;
    }

    private static long millis(long fromNanos, long toNanos) {
        return TimeUnit.NANOSECONDS.toMillis(toNanos - fromNanos);
    }

    static boolean isOverdue(SoakRequest request) {
        return millis(request.sentAt, System.nanoTime()) > request.budgetMillis + ANSWER_GRACE_MILLIS;
    }

    /** @return a line for each violation */
    List<String> check(Collection<SoakRequest> requests, Collection<SoakRequest.Arrival> loadRequests) {
        violations.clear();
        violationsWhilePaused.clear();
        for (SoakRequest request : requests) {
            checkAnswer(request);
            checkSuccess(request);
            checkAttempts(request);
        }
        for (SoakRequest.Arrival load : List.copyOf(loadRequests)) {
            checkDrain(load, "a load request");
        }
        if (violationsWhilePaused.size() * REQUESTS_PER_TOLERATED_VIOLATION > requests.size()) {
            violations.addAll(violationsWhilePaused);
        }
        return List.copyOf(violations);
    }

    /** Returns the number of tolerated violations; a process can be paused between its check and the system call. */
    int toleratedViolations() {
        return violationsWhilePaused.size();
    }

    private void checkAnswer(SoakRequest request) {
        if (request.answers() > 1) {
            addViolation(request, "has " + request.answers() + " answers");
        }
        if (!ends.mustBeAnswered(request)) {
            return;
        }
        if (request.answers() == 0 && request.leftAt() == 0 && !wasSentDuringClose(request)) {
            addViolation(
                    request,
                    request.connectionLostAt() == 0
                            ? "has no answer"
                            : "lost its connection after " + millis(request.sentAt, request.connectionLostAt())
                                    + " ms");
        }
        long answeredAfterMillis = millis(request.sentAt, request.answeredAt());
        if (request.answers() > 0
                && answeredAfterMillis
                        > request.budgetMillis
                                + ANSWER_GRACE_MILLIS
                                + lateness.millis(request.sentAt, request.answeredAt())) {
            addViolation(request, "was answered after " + answeredAfterMillis + " ms");
        }
    }

    /** Returns whether the request was sent while its router, stopped by SIGTERM, was closing the connection. */
    private boolean wasSentDuringClose(SoakRequest request) {
        long lostAt = request.connectionLostAt();
        return lostAt != 0
                && ends.isTerminated(request)
                && millis(request.sentAt, lostAt) <= CLOSE_RACE_MILLIS + lateness.millis(request.sentAt, lostAt);
    }

    private void checkSuccess(SoakRequest request) {
        boolean executed = request.attempts().stream().anyMatch(SoakRequest.Attempt::executed);
        if (request.isSuccessful() && (!executed || !Arrays.equals(request.body, request.answerBody()))) {
            addViolation(request, "succeeded without an execution by a worker, or with another body than was sent");
        }
    }

    private void checkAttempts(SoakRequest request) {
        long executed = request.attempts().stream()
                .filter(SoakRequest.Attempt::executed)
                .count();
        if (executed > 1 && request.requestClass.runsOnceOnly) {
            addViolation(request, "ran " + executed + " times");
        }
        for (SoakRequest.Attempt attempt : request.attempts()) {
            checkAttempt(request, attempt);
            checkDrain(attempt.arrival(), request.router + " request " + request.id);
        }
    }

    private void checkAttempt(SoakRequest request, SoakRequest.Attempt attempt) {
        long arrivedAt = attempt.arrival().arrivedAt();
        long arrivedAfterMillis = millis(request.sentAt, arrivedAt);
        long testDelayMillis = lateness.millis(request.sentAt, arrivedAt);
        boolean paused = ends.wasPaused(request.router, request.sentAt, arrivedAt);
        if (request.leftAt() != 0 && millis(request.leftAt(), arrivedAt) > CANCEL_TOLERANCE_MILLIS + testDelayMillis) {
            addViolation(
                    paused ? violationsWhilePaused : violations,
                    request,
                    "reached a worker " + millis(request.leftAt(), arrivedAt) + " ms after its client had left");
        }
        if (arrivedAfterMillis + attempt.limitMillis()
                > request.budgetMillis + LIMIT_TOLERANCE_MILLIS + testDelayMillis) {
            addViolation(
                    paused ? violationsWhilePaused : violations,
                    request,
                    "sent a limit of " + attempt.limitMillis() + " ms at " + arrivedAfterMillis + " ms");
        }
        if (!attempt.key().equals(ClientWire.key(request.id)) || !Arrays.equals(attempt.body(), request.body)) {
            addViolation(request, "reached a worker with another key or body than was sent");
        }
    }

    private void checkDrain(SoakRequest.Arrival arrival, String what) {
        if (arrival.drainingSince() == 0) {
            return;
        }
        long effectiveAt = clock.effectiveAt(arrival.drainingSince());
        long testDelayMillis = lateness.millis(effectiveAt, arrival.arrivedAt());
        if (millis(effectiveAt, arrival.arrivedAt()) > DRAIN_MILLIS + testDelayMillis) {
            violations.add(what + " reached " + arrival.worker() + ", draining for "
                    + millis(arrival.drainingSince(), arrival.arrivedAt()) + " ms, known to routers for "
                    + millis(effectiveAt, arrival.arrivedAt()) + " ms");
        }
    }

    private void addViolation(SoakRequest request, String what) {
        addViolation(violations, request, what);
    }

    private static void addViolation(List<String> target, SoakRequest request, String what) {
        target.add(request.router + " process " + request.routerIncarnation + " request " + request.id + " ("
                + request.requestClass + ", budget " + request.budgetMillis + ", "
                + request.attempts().size() + " attempts) " + what);
    }

    /** Records when router processes were killed, stopped by SIGTERM, or paused by SIGSTOP. */
    static final class RouterEnds {
        private record End(String router, int incarnation, boolean killed) {}

        private record Pause(String router, long from, long until) {}

        private final List<End> ends = new ArrayList<>();
        private final List<Pause> pauses = new ArrayList<>();

        synchronized void onPaused(String router, long fromNanos, long untilNanos) {
            pauses.add(new Pause(router, fromNanos, untilNanos));
        }

        /** Returns whether the router was paused at any time between two times. */
        synchronized boolean wasPaused(String router, long fromNanos, long untilNanos) {
            return pauses.stream()
                    .anyMatch(
                            pause -> pause.router.equals(router) && pause.from < untilNanos && pause.until > fromNanos);
        }

        synchronized void onKilled(String router, int incarnation) {
            ends.add(new End(router, incarnation, true));
        }

        synchronized void onTerminated(String router, int incarnation) {
            ends.add(new End(router, incarnation, false));
        }

        private synchronized boolean hasEnded(SoakRequest request, boolean killed) {
            return ends.stream()
                    .anyMatch(end -> end.router.equals(request.router)
                            && end.incarnation == request.routerIncarnation
                            && end.killed == killed);
        }

        /** Returns whether the router must answer the request, as its process was not killed. */
        boolean mustBeAnswered(SoakRequest request) {
            return !hasEnded(request, true);
        }

        /** Returns whether the router process of the request received SIGTERM. */
        boolean isTerminated(SoakRequest request) {
            return hasEnded(request, false);
        }
    }
}
