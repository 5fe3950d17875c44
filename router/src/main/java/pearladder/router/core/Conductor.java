package pearladder.router.core;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.api.Action;
import pearladder.api.Dispatcher;
import pearladder.api.Event;
import pearladder.api.Span;

/**
 * Hands each event to the module and has its actions done, one event after the other: what an action causes at once
 * waits until the actions before it are done. Only the event loop calls it.
 */
final class Conductor {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.decisions");

    /** Does what the module asks of the world outside. */
    interface Hands {
        void send(Action.Send send);

        void cancel(Action.Cancel cancel);

        void dismiss(Action.Dismiss dismiss);

        void terminate(Action.Terminate terminate);

        void probe(Action.Probe probe);

        void closeIdle(Action.CloseIdle close);

        void hold(Action.Hold hold);

        void unload(Action.Unload unload);

        void subscribe(Action.Subscribe subscribe);

        void fetchList();

        void standing(Action.Standing standing);
    }

    private final Timers clock;
    private final Dispatcher module;
    private final Tally tally;
    private final Hands hands;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final Set<Timers.Timer> timers = new HashSet<>();
    private boolean busy;
    private boolean ended;

    Conductor(Timers clock, Dispatcher module, Tally tally, Hands hands) {
        this.clock = clock;
        this.module = module;
        this.tally = tally;
        this.hands = hands;
    }

    /** Nothing more reaches the module. */
    void end() {
        ended = true;
        timers.forEach(Timers.Timer::cancel);
    }

    void tell(Event event) {
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
                    actions = module.on(clock.now(), next);
                } catch (RuntimeException failure) {
                    failed(next, failure);
                    continue;
                }
                tally.decided(System.nanoTime() - begun);
                actions.forEach(this::act);
            }
        } finally {
            busy = false;
        }
    }

    /** Guards against a call that is never answered because the module failed on it: it promises nothing then. */
    private void failed(Event event, RuntimeException failure) {
        LOG.error("the module failed on {}", event, failure);
        if (event instanceof Event.CallCame came) {
            hands.terminate(new Action.Terminate(came.call()));
        } else if (event instanceof Event.LegEnded ended && !ended.over()) {
            hands.terminate(new Action.Terminate(ended.call()));
        } else if (event instanceof Event.Due due) {
            wake(new Action.Wake(clock.now().plus(Span.millis(100)), due.tag()));
        }
    }

    private void act(Action action) {
        if (action instanceof Action.Send send) {
            hands.send(send);
        } else if (action instanceof Action.Wake wake) {
            wake(wake);
        } else if (action instanceof Action.Dismiss dismiss) {
            hands.dismiss(dismiss);
        } else if (action instanceof Action.Terminate terminate) {
            hands.terminate(terminate);
        } else if (action instanceof Action.Cancel cancel) {
            hands.cancel(cancel);
        } else if (action instanceof Action.Hold hold) {
            hands.hold(hold);
        } else if (action instanceof Action.Unload unload) {
            hands.unload(unload);
        } else if (action instanceof Action.Probe probe) {
            hands.probe(probe);
        } else if (action instanceof Action.CloseIdle close) {
            hands.closeIdle(close);
        } else if (action instanceof Action.Subscribe subscribe) {
            hands.subscribe(subscribe);
        } else if (action instanceof Action.Standing standing) {
            hands.standing(standing);
        } else if (action instanceof Action.FetchList) {
            hands.fetchList();
        } else if (action instanceof Action.Log log) {
            LOG.info(log.text());
            tally.modeChanged(log.text());
        } else {
            LOG.warn("not done, no way to: {}", action);
        }
    }

    /** Timers run in whole milliseconds: a wake comes at its time or up to a millisecond later. */
    private void wake(Action.Wake wake) {
        Timers.Timer[] timer = {null};
        timer[0] = clock.after(wake.at().since(clock.now()).atLeast(Span.NONE), () -> {
            timers.remove(timer[0]);
            tell(new Event.Due(wake.tag()));
        });
        timers.add(timer[0]);
    }
}
