package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pearladder.routing.api.Event.EndpointState;

/** Workers that have just started; FleetTest has many routers at once. */
class SlowStartTest {
    @Test
    void warmingWorkerGetsNoMoreThanOurPartOfItsCapacity() {
        Rig rig = Rig.withWorkers(Rig.plain(), 4);
        for (int i = 0; i < 400; i++) {
            Rig.home(rig, "f" + i % 40);
        }
        rig.stand("w1", EndpointState.IN_SERVICE, rig.now);
        int toCold = 0;
        int warm = 0;
        for (int i = 0; i < 15; i++) {
            if (Rig.home(rig, "f" + i % 40).equals("w1")) {
                toCold++;
            } else {
                warm++;
            }
        }
        assertTrue(toCold <= 1 + 0.5 * 1.1 * warm / 3, toCold + " to the cold worker, " + warm + " to three");
    }
}
