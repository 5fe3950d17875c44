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
 * Hands each event to the module and has its actions done, one event after the other: what an action causes at once
 * waits until the actions before it are done. Only the event loop calls it.
 */
final class PolicyDriver {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.decisions");

    /** Does what the module asks of the world outside. */
    interface ActionHandler {
        void send(Action.SendAttempt send);

        void cancel(Action.CancelAttempt cancel);

        void reject(Action.Reject dismiss);

        void fail(Action.Fail terminate);

        void checkHealth(Action.CheckHealth probe);

        void closeIdleConnections(Action.CloseIdleConnections close);

        void loadInstances(Action.LoadInstances hold);

        void unloadInstances(Action.UnloadInstances unload);

        void watchEndpoints(Action.WatchEndpoints subscribe);

        void pollEndpoints();

        void reportPrewarmProgress(Action.PrewarmProgress standing);
    }

    private final Timers clock;
    private final RoutingPolicy module;
    private final RouterMetrics tally;
    private final ActionHandler hands;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final Set<Timers.Timer> timers = new HashSet<>();
    private boolean busy;
    private boolean ended;

    PolicyDriver(Timers clock, RoutingPolicy module, RouterMetrics tally, ActionHandler hands) {
        this.clock = clock;
        this.module = module;
        this.tally = tally;
        this.hands = hands;
    }

    /** Nothing more reaches the module. */
    void stop() {
        ended = true;
        timers.forEach(Timers.Timer::cancel);
    }

    void dispatch(Event event) {
        events.add(event);
        if (busy || ended) {
            return;
        }
        busy = true;
        try {
            Event next;
            while ((next = events.poll()) != null) {
                List<Action> actions;
                long begun = System.nanoTime();
                try {
                    actions = module.handle(clock.now(), next);
                } catch (RuntimeException failure) {
                    failed(next, failure);
                    continue;
                }
                tally.onDecision(System.nanoTime() - begun);
                actions.forEach(this::act);
            }
        } finally {
            busy = false;
        }
    }

    /** Guards against a call that is never answered because the module failed on it: it promises nothing then. */
    private void failed(Event event, RuntimeException failure) {
        LOG.error("the module failed on {}", event, failure);
        if (event instanceof Event.RequestArrived came) {
            hands.fail(new Action.Fail(came.requestId()));
        } else if (event instanceof Event.AttemptEnded ended && !ended.requestCompleted()) {
            hands.fail(new Action.Fail(ended.requestId()));
        } else if (event instanceof Event.TimerFired due) {
            wake(new Action.SetTimer(clock.now().plus(TimeSpan.millis(100)), due.tag()));
        }
    }

    private void act(Action action) {
        if (action instanceof Action.SendAttempt send) {
            hands.send(send);
        } else if (action instanceof Action.SetTimer wake) {
            wake(wake);
        } else if (action instanceof Action.Reject dismiss) {
            hands.reject(dismiss);
        } else if (action instanceof Action.Fail terminate) {
            hands.fail(terminate);
        } else if (action instanceof Action.CancelAttempt cancel) {
            hands.cancel(cancel);
        } else if (action instanceof Action.LoadInstances hold) {
            hands.loadInstances(hold);
        } else if (action instanceof Action.UnloadInstances unload) {
            hands.unloadInstances(unload);
        } else if (action instanceof Action.CheckHealth probe) {
            hands.checkHealth(probe);
        } else if (action instanceof Action.CloseIdleConnections close) {
            hands.closeIdleConnections(close);
        } else if (action instanceof Action.WatchEndpoints subscribe) {
            hands.watchEndpoints(subscribe);
        } else if (action instanceof Action.PrewarmProgress standing) {
            hands.reportPrewarmProgress(standing);
        } else if (action instanceof Action.PollEndpoints) {
            hands.pollEndpoints();
        } else if (action instanceof Action.Log log) {
            LOG.info(log.text());
            tally.onModeChange(log.text());
        } else {
            LOG.warn("not done, no way to: {}", action);
        }
    }

    /** Timers run in whole milliseconds: a wake comes at its time or up to a millisecond later. */
    private void wake(Action.SetTimer wake) {
        Timers.Timer[] timer = {null};
        timer[0] = clock.after(wake.dueAt().since(clock.now()).atLeast(TimeSpan.ZERO), () -> {
            timers.remove(timer[0]);
            dispatch(new Event.TimerFired(wake.tag()));
        });
        timers.add(timer[0]);
    }
}
