package pearladder.routing.state;

import java.util.List;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.RoutingPolicy;

/**
 * Dispatches each event to its handler method, with the objects that the event names. Events about unknown objects,
 * which may be late, and events without a handler are ignored.
 */
public abstract class EventDrivenPolicy implements RoutingPolicy {
    private final RouterState state;
    private boolean started;

    /** @param state shared with the mechanisms of the policy */
    protected EventDrivenPolicy(RouterState state) {
        this.state = state;
    }

    @Override
    public final List<Action> handle(MonotonicTime now, Event event) {
        state.advanceTo(now);
        List<Action> actions = state.startActions();
        if (!started) {
            started = true;
            onStart();
        }
        dispatch(event);
        return actions;
    }

    private void dispatch(Event event) {
        if (event instanceof Event.RequestArrived arrived) {
            onRequestAdmitted(state.admit(arrived));
        } else if (event instanceof Event.AttemptEnded ended) {
            endAttempt(ended);
        } else if (event instanceof Event.TimerFired fired) {
            onTimerFired(fired.tag());
        } else if (event instanceof Event.EndpointsUpdated updated) {
            onEndpointsUpdated(updated);
        } else if (event instanceof Event.ClientDisconnected disconnected) {
            completeRequest(disconnected.requestId());
        } else if (event instanceof Event.StreamStarted streamStarted) {
            startStream(streamStarted.requestId());
        } else if (event instanceof Event.PrewarmRequested requested) {
            setPrewarm(requested);
        } else if (event instanceof Event.SnapshotRestored restored) {
            onSnapshotRestored(restored.snapshot());
        } else if (event instanceof Event.LoadCompleted completed) {
            completeLoad(completed);
        } else if (event instanceof Event.HealthCheckCompleted completed) {
            completeHealthCheck(completed);
        } else if (event instanceof Event.EndpointListConfirmed confirmed) {
            onEndpointListConfirmed(confirmed.asOf());
        } else if (event instanceof Event.EndpointListUnconfirmed) {
            onEndpointListUnconfirmed();
        }
    }

    private void endAttempt(Event.AttemptEnded event) {
        Attempt attempt = state.findInFlight(event.requestId(), event.attempt());
        if (attempt != null) {
            state.endAttempt(attempt, event.outcome());
            onAttemptEnded(attempt, event);
        }
    }

    private void completeRequest(String requestId) {
        Request request = state.findRequest(requestId);
        if (request != null) {
            state.completeRequest(request);
        }
    }

    private void startStream(String requestId) {
        Request request = state.findRequest(requestId);
        if (request != null) {
            request.streaming = true;
        }
    }

    private void setPrewarm(Event.PrewarmRequested event) {
        Function function = state.function(event.function());
        function.setRequirements(event.concurrency(), event.memoryMb(), event.typicalLoadTime());
        function.prewarmShare = event.share();
        function.prewarmReference = state.findFunction(event.referenceFunction());
    }

    private void completeLoad(Event.LoadCompleted event) {
        Placement placement = state.findPlacement(event.function(), event.worker());
        if (placement != null) {
            onLoadCompleted(placement, event);
        }
    }

    private void completeHealthCheck(Event.HealthCheckCompleted event) {
        Worker worker = state.endpoints().find(event.worker());
        if (worker != null) {
            onHealthCheckCompleted(worker, event);
        }
    }

    /** Called before the first event is handled. */
    protected abstract void onStart();

    /** Called when a request was admitted and counted; decides how to serve or answer it. */
    protected abstract void onRequestAdmitted(Request request);

    /** Called when an attempt has ended and is no longer counted as in flight. */
    protected abstract void onAttemptEnded(Attempt attempt, Event.AttemptEnded event);

    /** Called when a timer that was set with this tag has fired. */
    protected abstract void onTimerFired(String tag);

    /** Called when the endpoint list has changed or could not be read; the update is not yet applied. */
    protected abstract void onEndpointsUpdated(Event.EndpointsUpdated event);

    /** Called when a snapshot of an earlier process has to be restored. */
    protected abstract void onSnapshotRestored(PolicySnapshot snapshot);

    /** Called when the endpoint list is confirmed to be complete up to the given time. */
    protected abstract void onEndpointListConfirmed(MonotonicTime asOf);

    /** Called when the endpoint list may be incomplete until it is confirmed. */
    protected abstract void onEndpointListUnconfirmed();

    /** Called when a health check of a known worker has ended. */
    protected abstract void onHealthCheckCompleted(Worker worker, Event.HealthCheckCompleted event);

    /** Called when a load request has ended. */
    protected abstract void onLoadCompleted(Placement placement, Event.LoadCompleted event);
}
