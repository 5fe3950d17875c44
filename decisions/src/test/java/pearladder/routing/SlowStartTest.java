package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pearladder.routing.api.Event.EndpointState;

/** Tests requests to workers that have just started, from one router; {@link FleetTest} covers many routers. */
class SlowStartTest {
    @Test
    void warmingWorkerGetsNoMoreThanTheRoutersShareOfItsCapacity() {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 4);
        for (int i = 0; i < 400; i++) {
            harness.homeWorker("f" + i % 40);
        }
        harness.setEndpointState("w1", EndpointState.IN_SERVICE, harness.now);
        int sentToWarming = 0;
        int sentToWarm = 0;
        for (int i = 0; i < 15; i++) {
            if (harness.homeWorker("f" + i % 40).equals("w1")) {
                sentToWarming++;
            } else {
                sentToWarm++;
            }
        }
        assertTrue(
                sentToWarming <= 1 + 0.5 * 1.1 * sentToWarm / 3,
                sentToWarming + " to the warming worker, " + sentToWarm + " to three");
    }
}
