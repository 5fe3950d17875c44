package pearladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** In which order faults begin and end. */
class FaultInjectorTest {
    /** Records what is injected; knows four workers, two of them in a zone, and one router. */
    private static final class RecordingTarget implements FaultInjector.FaultTarget {
        private final List<String> injected = new ArrayList<>();

        @Override
        public List<String> runningWorkers(String zone) {
            return zone.isEmpty() ? List.of("e0", "e1", "e2", "e3") : List.of("e1", "e3");
        }

        @Override
        public List<String> routers(String zone) {
            return List.of("r2");
        }

        @Override
        public void commandWorkers(String what, List<String> workers, String model, double figure) {
            injected.add(what + workers.size() + " " + figure);
        }

        @Override
        public void injectIntoRouters(ScenarioPlan.FaultKind what, List<String> routers, double figure) {
            throw new AssertionError(what);
        }

        @Override
        public void ignoreRetryAfter(boolean on) {
            throw new AssertionError("not in this script");
        }

        @Override
        public void killRouter(String router) {
            injected.add("kill " + router);
        }

        @Override
        public void startRouter(String router) {
            injected.add("start " + router);
        }

        @Override
        public void giveRolloutOrder(RolloutScript.Order order) {
            injected.add("order " + order.type());
        }

        @Override
        public void report(String what) {
            injected.add(what.split(" ")[0]);
        }
    }

    @Test
    void faultsBeginInOrderAndEnd() {
        RecordingTarget target = new RecordingTarget();
        FaultInjector injector = new FaultInjector(TestScenarios.plan(1), target);
        assertEquals(2_000_000_000L, injector.runDue(0));
        assertEquals(16_000_000_000L, injector.runDue(15_500_000_000L));
        assertEquals(
                List.of("burst", "one-offs", "slow", "slow2 4.0", "hall-lost", "kill2 0.0", "kill r2"),
                target.injected);
        target.injected.clear();
        assertEquals(-1, injector.runDue(16_000_000_000L));
        assertEquals(List.of("slow2 1.0", "restart2 0.0", "start r2"), target.injected);
    }
}
