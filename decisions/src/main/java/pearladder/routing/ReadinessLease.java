package pearladder.routing;

import java.util.ArrayList;
import java.util.List;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.Attempt;
import pearladder.routing.state.Request;
import pearladder.routing.state.RouterState;
import pearladder.routing.state.Worker;

/**
 * Bounds how long a worker is assumed to be in service. While discovery doesn't confirm the endpoint list, a
 * worker may drain without this router learning of it. Once the list is out of date, a worker gets new work
 * only under a lease. A lease lasts for the drain grace from the time at which a request was sent that the
 * worker executed, or a health check that it answered as ready. Leases: Gray and Cheriton, SOSP 1989.
 */
final class ReadinessLease {
    /** The platform's shortest time after which an event counts as known that discovery did not report. */
    private static final TimeSpan MAX_LIST_AGE = TimeSpan.seconds(2);
    /** How long an unready worker is skipped; a draining one will end, so an early recheck gains nothing. */
    private static final TimeSpan UNREADY_PAUSE = TimeSpan.seconds(3);
    /** Largest share of the drain grace that is reserved for the delay until an attempt is sent. */
    private static final double MAX_SEND_DELAY_SHARE = 0.5;

    /** How long a worker is skipped after two refusals in a row; doubles with each further refusal. */
    private static final TimeSpan FIRST_REFUSAL_PAUSE = TimeSpan.seconds(1);

    private static final TimeSpan MAX_REFUSAL_PAUSE = TimeSpan.seconds(16);

    private record WaitingRequest(Request request, Worker worker, MonotonicTime waitsUntil) {}

    private final RouterState state;
    private final boolean healthChecksAllowed;
    private final TimeSpan drainGrace;
    private final TimeSpan sendDelay;
    private final TimeSpan healthCheckTimeout;
    private final int maxWaits;
    private final List<WaitingRequest> waitingRequests = new ArrayList<>();
    /** Whether discovery reports confirmations of the list; otherwise the list always counts as current. */
    private boolean confirmationExpected;
    /** The latest time up to which the list was confirmed to be complete; null if it never was. */
    private MonotonicTime listConfirmedAt;

    private boolean outOfDateLogged;

    ReadinessLease(RouterState state) {
        this.state = state;
        this.healthChecksAllowed = state.settings().attemptLimits().healthChecks();
        this.drainGrace = state.settings().responseGrace().drainGrace();
        this.sendDelay = state.settings().maxSendDelay().atMost(drainGrace.times(MAX_SEND_DELAY_SHARE));
        this.healthCheckTimeout = state.settings().attemptLimits().connectTimeout();
        this.maxWaits = state.settings().attemptLimits().maxAttempts();
    }

    /** Treats the endpoint list as out of date until discovery confirms it. */
    void onListUnconfirmed() {
        confirmationExpected = true;
    }

    /** Records that the endpoint list is complete up to the given time. */
    void onListConfirmed(MonotonicTime asOf) {
        confirmationExpected = true;
        if (listConfirmedAt == null || listConfirmedAt.isBefore(asOf)) {
            listConfirmedAt = asOf;
        }
        if (isListCurrent()) {
            state.endpoints().inService().forEach(Worker::clearReadinessFailures);
        }
    }

    private boolean isListCurrent() {
        return !confirmationExpected
                || listConfirmedAt != null && !state.age(listConfirmedAt).isLongerThan(MAX_LIST_AGE);
    }

    /** Logs when the endpoint list becomes out of date or current again; called once a tick. */
    void evaluate() {
        boolean outOfDate = !isListCurrent();
        if (outOfDate != outOfDateLogged) {
            outOfDateLogged = outOfDate;
            state.log("the endpoint list is %s", outOfDate ? "out of date" : "current");
        }
    }

    /** Returns the time by which new work must have been sent to the worker; null for no bound. */
    MonotonicTime sendBefore(Worker worker) {
        if (!confirmationExpected) {
            return null;
        }
        MonotonicTime provedReadyAt = worker.provedReadyAt;
        MonotonicTime listCurrentUntil = listConfirmedAt == null ? null : listConfirmedAt.plus(MAX_LIST_AGE);
        MonotonicTime knownReadyUntil = later(provedReadyAt, listCurrentUntil);
        return knownReadyUntil == null ? state.now() : knownReadyUntil.plus(drainGrace);
    }

    private static MonotonicTime later(MonotonicTime first, MonotonicTime second) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return first.isBefore(second) ? second : first;
    }

    /** Returns whether a request assigned now is sent to the worker within its lease. */
    boolean isHeldBy(Worker worker) {
        MonotonicTime sendBefore = sendBefore(worker);
        return sendBefore == null || state.now().plus(sendDelay).isBefore(sendBefore);
    }

    /** Returns whether the worker holds a lease or may obtain one by a health check. */
    boolean isObtainable(Worker worker) {
        return healthChecksAllowed || isHeldBy(worker);
    }

    /** Returns whether the worker holds a lease; if not, starts a health check so that it may obtain one. */
    boolean isHeldOrRequested(Worker worker) {
        boolean held = isHeldBy(worker);
        if (!held && healthChecksAllowed) {
            requestHealthCheck(worker);
        }
        return held;
    }

    private void requestHealthCheck(Worker worker) {
        if (worker.checkSentAt == null) {
            worker.checkSentAt = state.now();
            state.emit(new Action.CheckHealth(worker.id));
        }
    }

    /**
     * Makes a request wait until its worker has proved that it is ready.
     *
     * @return the longest wait; null if the request has already waited the maximum number of times
     */
    TimeSpan await(Request request, Worker worker) {
        if (++request.readinessWaits > maxWaits) {
            return null;
        }
        requestHealthCheck(worker);
        TimeSpan wait = healthCheckTimeout.atMost(state.timeLeft(request).times(1.0 / (1 + maxWaits)));
        waitingRequests.add(new WaitingRequest(request, worker, state.now().plus(wait)));
        return wait;
    }

    /** Removes and returns the requests whose wait is over, oldest first; skips workers without a lease. */
    List<Request> takeOverdueRequests() {
        List<Request> overdueRequests = new ArrayList<>();
        waitingRequests.removeIf(waiting -> {
            boolean due = !state.now().isBefore(waiting.waitsUntil());
            if (due && !isHeldBy(waiting.worker())) {
                waiting.worker().unreadyUntil = state.now().plus(UNREADY_PAUSE);
            }
            return due && addIfOpen(overdueRequests, waiting);
        });
        return overdueRequests;
    }

    /** Applies the result of a health check and returns the requests that waited for it. */
    List<Request> onHealthCheckCompleted(Worker worker, Event.HealthCheckCompleted event) {
        worker.checkSentAt = null;
        if (event.outcome() == Outcome.SUCCESS) {
            onProvedReady(worker, state.now().minus(event.elapsed()));
        } else {
            onUnready(worker, event.outcome());
        }
        List<Request> waitedRequests = new ArrayList<>();
        waitingRequests.removeIf(waiting -> waiting.worker() == worker && addIfOpen(waitedRequests, waiting));
        return waitedRequests;
    }

    private static boolean addIfOpen(List<Request> requests, WaitingRequest waiting) {
        if (!waiting.request().completed) {
            requests.add(waiting.request());
        }
        return true;
    }

    private void onProvedReady(Worker worker, MonotonicTime provedAt) {
        worker.provedReadyAt = later(worker.provedReadyAt, provedAt);
        worker.unreadyUntil = null;
        if (worker.unready) {
            // a worker that drained or was unreachable returns as a new process without loaded instances
            worker.unready = false;
            state.endpoints().assumeRestarted(worker, state.now());
            state.log("%s is ready again: taken for restarted", worker.id);
        }
    }

    private void onUnready(Worker worker, Outcome outcome) {
        worker.provedReadyAt = null;
        if (isListCurrent()) {
            return;
        }
        worker.unreadyUntil = state.now().plus(UNREADY_PAUSE);
        worker.unready |= outcome.neverExecuted || outcome == Outcome.ERROR;
        state.log("%s did not prove to be ready: %s", worker.id, outcome);
    }

    /** Renews the lease if the worker executed the request and so was in service; ends it on a refusal. */
    void onAttemptEnded(Attempt attempt, Event.AttemptEnded event) {
        Worker worker = attempt.placement.worker;
        if (event.outcome() == Outcome.SUCCESS) {
            worker.provedReadyAt = later(worker.provedReadyAt, attempt.sentAt);
            if (worker.refusedAt != null && worker.refusedAt.isBefore(attempt.sentAt)) {
                worker.clearRefusals();
            }
        } else if (event.outcome() == Outcome.FULL) {
            onRefused(worker, AttemptOutcomeHandler.isNeedlessRefusal(event));
        }
    }

    void onLoadCompleted(Worker worker, Outcome outcome) {
        if (outcome == Outcome.FULL) {
            onRefused(worker, false);
        }
    }

    /**
     * Ends the worker's lease and, while the endpoint list is out of date, skips a worker that refuses
     * repeatedly. A draining worker may answer health checks as ready and still refuse all work, so
     * successful health checks alone must not cause repeated attempts.
     *
     * @param needless whether the worker has capacity according to its load report
     */
    private void onRefused(Worker worker, boolean needless) {
        worker.provedReadyAt = null;
        if (isListCurrent()) {
            return;
        }
        worker.refusedAt = state.now();
        worker.consecutiveRefusals++;
        if (needless) {
            worker.refusedUntil = state.now().plus(MAX_REFUSAL_PAUSE);
        } else if (worker.consecutiveRefusals > 1) {
            TimeSpan pause = FIRST_REFUSAL_PAUSE.times(Math.pow(2, worker.consecutiveRefusals - 2));
            worker.refusedUntil = state.now().plus(pause.atMost(MAX_REFUSAL_PAUSE));
        }
    }
}
