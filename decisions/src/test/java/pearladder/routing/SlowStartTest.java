package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pearladder.routing.api.Event.EndpointState;

/** Workers that have just started; FleetTest has many routers at once. */
class SlowStartTest {
    @Test
    void warmingWorkerGetsNoMoreThanOurPartOfItsCapacity() {
        PolicyHarness harness = PolicyHarness.withWorkers(TestSettings.withoutLoadRequests(), 4);
        for (int i = 0; i < 400; i++) {
            harness.homeWorker("f" + i % 40);
        }
        harness.setEndpointState("w1", EndpointState.IN_SERVICE, harness.now);
        int toWarming = 0;
        int warm = 0;
        for (int i = 0; i < 15; i++) {
            if (harness.homeWorker("f" + i % 40).equals("w1")) {
                toWarming++;
            } else {
                warm++;
            }
        }
        assertTrue(toWarming <= 1 + 0.5 * 1.1 * warm / 3, toWarming + " to the warming worker, " + warm + " to three");
    }
}
