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
 * Bounds how long a worker is believed to be in service. While discovery doesn't confirm the endpoint list, a
 * worker may drain without this router being told. Once the list is out of date, a worker gets new work only
 * under a lease: for a drain grace after it proved that it takes some, as it executed a request that was sent
 * then, or answered a health check that was sent then as ready. Leases: Gray and Cheriton, SOSP 1989.
 */
final class ReadinessLease {
    /** The platform's shortest time after which an event counts as told that discovery could not tell. */
    private static final TimeSpan MAX_LIST_AGE = TimeSpan.seconds(2);
    /** A worker that is not ready is asked again after this; one that drains ends, so there is no hurry. */
    private static final TimeSpan UNREADY_PAUSE = TimeSpan.seconds(3);
    /** Of the drain grace that may be kept for an attempt's way to its worker. */
    private static final double MAX_SEND_DELAY_SHARE = 0.5;

    /** A worker that refused twice and executed nothing is skipped for this; twice as long next time. */
    private static final TimeSpan FIRST_REFUSAL_PAUSE = TimeSpan.seconds(1);

    private static final TimeSpan MAX_REFUSAL_PAUSE = TimeSpan.seconds(16);

    private record WaitingRequest(Request request, Worker worker, MonotonicTime waitsUntil) {}

    private final RouterState state;
    private final boolean checksAllowed;
    private final TimeSpan grace;
    private final TimeSpan sendDelay;
    private final TimeSpan checkPatience;
    private final int maxWaits;
    private final List<WaitingRequest> waitingRequests = new ArrayList<>();
    /** Whether discovery is to confirm the list; where it is not, the list is believed for ever. */
    private boolean confirmationExpected;
    /** Up to when the list is known to be complete; null where it never was. */
    private MonotonicTime listConfirmedAt;

    private boolean outOfDateLogged;

    ReadinessLease(RouterState state) {
        this.state = state;
        this.checksAllowed = state.settings().attemptLimits().probes();
        this.grace = state.settings().responseGrace().drainGrace();
        this.sendDelay = state.settings().maxSendDelay().atMost(grace.times(MAX_SEND_DELAY_SHARE));
        this.checkPatience = state.settings().attemptLimits().connectTimeout();
        this.maxWaits = state.settings().attemptLimits().maxAttempts();
    }

    /** The list counts as out of date until discovery confirms it. */
    void onListUnconfirmed() {
        confirmationExpected = true;
    }

    /** The list is complete up to a moment. */
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

    /** Logs when the list gets out of date, and when it is current again; once a tick. */
    void evaluate() {
        boolean outOfDate = !isListCurrent();
        if (outOfDate != outOfDateLogged) {
            outOfDateLogged = outOfDate;
            state.log("the endpoint list is %s", outOfDate ? "out of date" : "current");
        }
    }

    /** New work must have been sent to the worker by then; null where nothing bounds it. */
    MonotonicTime sendBefore(Worker worker) {
        if (!confirmationExpected) {
            return null;
        }
        MonotonicTime provenAt = worker.provedReadyAt;
        MonotonicTime listedUntil = listConfirmedAt == null ? null : listConfirmedAt.plus(MAX_LIST_AGE);
        MonotonicTime believedUntil = later(provenAt, listedUntil);
        return believedUntil == null ? state.now() : believedUntil.plus(grace);
    }

    private static MonotonicTime later(MonotonicTime one, MonotonicTime other) {
        if (one == null || other == null) {
            return one == null ? other : one;
        }
        return one.isBefore(other) ? other : one;
    }

    /** Whether new work that is decided now reaches the worker within its lease. */
    boolean isHeldBy(Worker worker) {
        MonotonicTime sendBefore = sendBefore(worker);
        return sendBefore == null || state.now().plus(sendDelay).isBefore(sendBefore);
    }

    /** Whether the worker holds a lease or may be asked for one. */
    boolean isObtainable(Worker worker) {
        return checksAllowed || isHeldBy(worker);
    }

    /** Whether the worker holds a lease; asks it where it doesn't, so that it may hold one a moment later. */
    boolean isHeldOrRequested(Worker worker) {
        boolean held = isHeldBy(worker);
        if (!held && checksAllowed) {
            requestCheck(worker);
        }
        return held;
    }

    private void requestCheck(Worker worker) {
        if (worker.checkSentAt == null) {
            worker.checkSentAt = state.now();
            state.emit(new Action.CheckHealth(worker.id));
        }
    }

    /**
     * Has a request wait until its worker has proved that it is ready.
     *
     * @return for how long at the most; null where it has waited often enough
     */
    TimeSpan await(Request request, Worker worker) {
        if (++request.readinessWaits > maxWaits) {
            return null;
        }
        requestCheck(worker);
        TimeSpan wait = checkPatience.atMost(state.timeLeft(request).times(1.0 / (1 + maxWaits)));
        waitingRequests.add(new WaitingRequest(request, worker, state.now().plus(wait)));
        return wait;
    }

    /** The requests that have waited long enough, oldest first; their silent workers are skipped. */
    List<Request> takeOverdueRequests() {
        List<Request> overdue = new ArrayList<>();
        waitingRequests.removeIf(waiting -> {
            boolean due = !state.now().isBefore(waiting.waitsUntil());
            if (due && !isHeldBy(waiting.worker())) {
                waiting.worker().unreadyUntil = state.now().plus(UNREADY_PAUSE);
            }
            return due && addOpen(overdue, waiting);
        });
        return overdue;
    }

    /** Takes a health check's result into account; returns the requests that waited for it. */
    List<Request> onHealthCheckCompleted(Worker worker, Event.HealthCheckCompleted event) {
        worker.checkSentAt = null;
        if (event.outcome() == Outcome.SUCCESS) {
            onProvedReady(worker, state.now().minus(event.elapsed()));
        } else {
            onUnready(worker, event.outcome());
        }
        List<Request> waited = new ArrayList<>();
        waitingRequests.removeIf(waiting -> waiting.worker() == worker && addOpen(waited, waiting));
        return waited;
    }

    private static boolean addOpen(List<Request> requests, WaitingRequest waiting) {
        if (!waiting.request().completed) {
            requests.add(waiting.request());
        }
        return true;
    }

    private void onProvedReady(Worker worker, MonotonicTime at) {
        worker.provedReadyAt = later(worker.provedReadyAt, at);
        worker.unreadyUntil = null;
        if (worker.unready) {
            // what drained or wasn't there comes back as a new process, which is cold
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

    /** A worker that executed a request was in service when that was sent; one that refused may drain. */
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
     * A worker that drains may answer health checks as ready and turn all work away. While nobody tells its
     * state, a health check alone does not have it tried again and again.
     *
     * @param needless whether it has capacity by its own report
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
