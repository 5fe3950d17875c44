package pearladder.router.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.TimeSpan;

/** Tests the order of events and actions and the handling of policy failures. */
class PolicyDriverTest {
    private static final TimeSpan ATTEMPT_TIMEOUT = TimeSpan.millis(50);
    private static final Event TIMER_A = new Event.TimerFired("a");
    private static final Event TIMER_B = new Event.TimerFired("b");
    private static final RoutingPolicy FAILING_POLICY = (now, event) -> {
        throw new IllegalStateException("simulated policy failure");
    };

    private final List<String> steps = new ArrayList<>();
    private final ManualTimers timers = new ManualTimers();

    /** A clock that does not advance; timers run when the test fires them. */
    private static final class ManualTimers implements Timers {
        private final List<TimeSpan> delays = new ArrayList<>();
        private final List<Runnable> pending = new ArrayList<>();

        @Override
        public MonotonicTime now() {
            return new MonotonicTime(0);
        }

        @Override
        public Timer after(TimeSpan delay, Runnable task) {
            delays.add(delay);
            pending.add(task);
            return () -> pending.remove(task);
        }

        void fireNext() {
            pending.remove(0).run();
        }
    }

    /** Records each action; an attempt ends before the action that sends it returns. */
    private final class RecordingActionHandler implements PolicyDriver.ActionHandler {
        private PolicyDriver driver;

        @Override
        public void send(Action.SendAttempt action) {
            steps.add("send begins");
            driver.dispatch(attemptEnded(action.requestId(), false));
            steps.add("send ends");
        }

        @Override
        public void cancel(Action.CancelAttempt action) {
            steps.add("cancel");
        }

        @Override
        public void reject(Action.Reject action) {
            steps.add("reject " + action.requestId());
        }

        @Override
        public void fail(Action.Fail action) {
            steps.add("fail " + action.requestId());
        }

        @Override
        public void checkHealth(Action.CheckHealth action) {
            steps.add("check health");
        }

        @Override
        public void closeIdleConnections(Action.CloseIdleConnections action) {
            steps.add("close idle connections");
        }

        @Override
        public void loadInstances(Action.LoadInstances action) {
            steps.add("load");
        }

        @Override
        public void unloadInstances(Action.UnloadInstances action) {
            steps.add("unload");
        }

        @Override
        public void watchEndpoints(Action.WatchEndpoints action) {
            steps.add("watch");
        }

        @Override
        public void pollEndpoints() {
            steps.add("poll");
        }

        @Override
        public void reportPrewarmProgress(Action.PrewarmProgress action) {
            steps.add("prewarm");
        }
    }

    private static final class NoOpMetrics implements RouterMetrics {
        @Override
        public void onResponse(CompletionStatus status, long nanos) {}

        @Override
        public void onAttemptEnded(Outcome outcome) {}

        @Override
        public void onDecision(long nanos) {}

        @Override
        public void onModeChange(String text) {}

        @Override
        public void onClientDisconnected() {}

        @Override
        public void onLoadRequest() {}
    }

    private PolicyDriver driver(RoutingPolicy policy) {
        RecordingActionHandler handler = new RecordingActionHandler();
        handler.driver = new PolicyDriver(timers, policy, new NoOpMetrics(), handler);
        return handler.driver;
    }

    private static Event requestArrived(String requestId) {
        return new Event.RequestArrived(
                requestId, "f", "class", "tenant", TimeSpan.seconds(1), 1, 1, null, null, false, false);
    }

    private static Event attemptEnded(String requestId, boolean requestCompleted) {
        return new Event.AttemptEnded(
                requestId, 1, "w1", Outcome.UNREACHABLE, TimeSpan.ZERO, requestCompleted, null, 0, null);
    }

    @Test
    void anEventCausedByAnActionIsHandledAfterTheRemainingActions() {
        PolicyDriver driver = driver((now, event) -> {
            if (event instanceof Event.RequestArrived arrived) {
                return List.of(
                        new Action.SendAttempt(arrived.requestId(), "w1", ATTEMPT_TIMEOUT),
                        new Action.CheckHealth("w1"));
            }
            return List.of(new Action.Reject("r1", TimeSpan.ZERO));
        });
        driver.dispatch(requestArrived("r1"));
        assertEquals(List.of("send begins", "send ends", "check health", "reject r1"), steps);
    }

    @Test
    void aRequestFailsIfThePolicyThrowsOnItsArrival() {
        driver(FAILING_POLICY).dispatch(requestArrived("r1"));
        assertEquals(List.of("fail r1"), steps);
    }

    @Test
    void aPolicyFailureOnAnEndedAttemptFailsOnlyAnOpenRequest() {
        PolicyDriver driver = driver(FAILING_POLICY);
        driver.dispatch(attemptEnded("open", false));
        driver.dispatch(attemptEnded("completed", true));
        assertEquals(List.of("fail open"), steps);
    }

    @Test
    void actionsAfterAFailedActionAreExecuted() {
        PolicyDriver driver = driver((now, event) ->
                List.of(new Action.SetTimer(null, "timer without a due time"), new Action.Reject("r1", TimeSpan.ZERO)));
        driver.dispatch(requestArrived("r1"));
        assertEquals(List.of("reject r1"), steps);
        driver.dispatch(requestArrived("r2"));
        assertEquals(List.of("reject r1", "reject r1"), steps, "later events are handled");
    }

    @Test
    void aTimerFiresAgainIfThePolicyThrowsOnIt() {
        List<Event> received = new ArrayList<>();
        PolicyDriver driver = driver((now, event) -> {
            received.add(event);
            if (received.size() == 1) {
                throw new IllegalStateException("simulated policy failure");
            }
            return List.of();
        });
        driver.dispatch(TIMER_A);
        assertEquals(List.of(TimeSpan.millis(100)), timers.delays);
        timers.fireNext();
        assertEquals(List.of(TIMER_A, TIMER_A), received);
        assertEquals(List.of(), timers.pending);
    }

    @Test
    void afterStopNoTimerOrEventReachesThePolicy() {
        List<Event> received = new ArrayList<>();
        PolicyDriver driver = driver((now, event) -> {
            received.add(event);
            return List.of(new Action.SetTimer(new MonotonicTime(1), "b"));
        });
        driver.dispatch(TIMER_A);
        assertEquals(1, timers.pending.size());
        driver.stop();
        assertEquals(List.of(), timers.pending);
        driver.dispatch(TIMER_B);
        assertEquals(List.of(TIMER_A), received);
    }
}
