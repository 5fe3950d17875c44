package pearladder.router.core;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.TimeSpan;

/**
 * Passes events to the routing policy and its actions to an {@link ActionHandler}, one event after the other. An
 * event that is caused by an action is queued until the remaining actions of the current event are executed.
 */
final class PolicyDriver {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.decisions");
    /** Delay after which a timer event on which the policy failed is dispatched again. */
    private static final TimeSpan TIMER_RETRY_DELAY = TimeSpan.millis(100);

    /** Executes the policy's actions except timers and log lines. */
    interface ActionHandler {
        void send(Action.SendAttempt action);

        void cancel(Action.CancelAttempt action);

        void reject(Action.Reject action);

        void fail(Action.Fail action);

        void checkHealth(Action.CheckHealth action);

        void closeIdleConnections(Action.CloseIdleConnections action);

        void loadInstances(Action.LoadInstances action);

        void unloadInstances(Action.UnloadInstances action);

        void watchEndpoints(Action.WatchEndpoints action);

        void pollEndpoints();

        void reportPrewarmProgress(Action.PrewarmProgress action);
    }

    private final Timers timers;
    private final RoutingPolicy policy;
    private final RouterMetrics metrics;
    private final ActionHandler actionHandler;
    private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();
    private final Set<Timers.Timer> activeTimers = new HashSet<>();
    private boolean dispatching;
    private boolean stopped;

    PolicyDriver(Timers timers, RoutingPolicy policy, RouterMetrics metrics, ActionHandler actionHandler) {
        this.timers = timers;
        this.policy = policy;
        this.metrics = metrics;
        this.actionHandler = actionHandler;
    }

    /** Cancels all timers; later events are not passed to the policy. */
    void stop() {
        stopped = true;
        activeTimers.forEach(Timers.Timer::cancel);
    }

    /** Passes an event to the policy, either now or, while another event is handled, after that event's actions. */
    void dispatch(Event event) {
        pendingEvents.add(event);
        if (dispatching || stopped) {
            return;
        }
        dispatching = true;
        try {
            for (Event next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
                decide(next).forEach(this::executeGuarded);
            }
        } finally {
            dispatching = false;
        }
    }

    /** Returns the policy's actions for an event; none if the policy threw an exception. */
    private List<Action> decide(Event event) {
        List<Action> actions;
        long startedAt = System.nanoTime();
        try {
            actions = policy.handle(timers.now(), event);
        } catch (RuntimeException failure) {
            onPolicyFailure(event, failure);
            return List.of();
        }
        metrics.onDecision(System.nanoTime() - startedAt);
        return actions;
    }

    /** Fails the request of an event on which the policy failed, as it would otherwise never be answered. */
    private void onPolicyFailure(Event event, RuntimeException failure) {
        LOG.error("the policy threw an exception on event {}", event, failure);
        if (event instanceof Event.RequestArrived arrived) {
            actionHandler.fail(new Action.Fail(arrived.requestId()));
        } else if (event instanceof Event.AttemptEnded attemptEnded && !attemptEnded.requestCompleted()) {
            actionHandler.fail(new Action.Fail(attemptEnded.requestId()));
        } else if (event instanceof Event.TimerFired timerFired) {
            setTimer(new Action.SetTimer(timers.now().plus(TIMER_RETRY_DELAY), timerFired.tag()));
        }
    }

    /** Executes an action and logs its failure, so that later actions, which may answer requests, are executed. */
    private void executeGuarded(Action action) {
        try {
            execute(action);
        } catch (RuntimeException failure) {
            LOG.error("failed to execute action {} of the policy", action, failure);
        }
    }

    private void execute(Action action) {
        if (action instanceof Action.SendAttempt send) {
            actionHandler.send(send);
        } else if (action instanceof Action.SetTimer setTimer) {
            setTimer(setTimer);
        } else if (action instanceof Action.Reject reject) {
            actionHandler.reject(reject);
        } else if (action instanceof Action.Fail fail) {
            actionHandler.fail(fail);
        } else if (action instanceof Action.CancelAttempt cancel) {
            actionHandler.cancel(cancel);
        } else if (action instanceof Action.LoadInstances load) {
            actionHandler.loadInstances(load);
        } else if (action instanceof Action.UnloadInstances unload) {
            actionHandler.unloadInstances(unload);
        } else if (action instanceof Action.CheckHealth check) {
            actionHandler.checkHealth(check);
        } else if (action instanceof Action.CloseIdleConnections close) {
            actionHandler.closeIdleConnections(close);
        } else if (action instanceof Action.WatchEndpoints watch) {
            actionHandler.watchEndpoints(watch);
        } else if (action instanceof Action.PrewarmProgress progress) {
            actionHandler.reportPrewarmProgress(progress);
        } else if (action instanceof Action.PollEndpoints) {
            actionHandler.pollEndpoints();
        } else if (action instanceof Action.Log log) {
            LOG.info(log.text());
            metrics.onModeChange(log.text());
        } else {
            LOG.warn("this router does not support action {}", action);
        }
    }

    /** Sets a timer; with a resolution of one millisecond, it fires at its due time or up to a millisecond later. */
    private void setTimer(Action.SetTimer action) {
        Timers.Timer[] timer = {null};
        TimeSpan delay = action.dueAt().since(timers.now()).atLeast(TimeSpan.ZERO);
        timer[0] = timers.after(delay, () -> {
            activeTimers.remove(timer[0]);
            dispatch(new Event.TimerFired(action.tag()));
        });
        activeTimers.add(timer[0]);
    }
}
