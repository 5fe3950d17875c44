package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import pearladder.emulator.Observation;

/** Workers that begin to drain while discovery is silent, with health checks enabled. */
class DiscoveryOutageTest {
    /** The age at which the endpoint list is outdated, plus the grace after which no request may be sent. */
    private static final long NO_REQUESTS_AFTER_MILLIS = 2000 + 1000;

    private static final int REQUESTS = 20;
    private static final long REQUEST_PAUSE_MILLIS = 50;

    private static void pause(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    @Test
    void aWorkerThatDrainsDuringADiscoveryOutageGetsNoNewRequests() {
        try (RouterHarness harness = new RouterHarness(
                RouterHarness.FLEET_CONFIG.formatted(3), RouterHarness.CONFIG + "allowances: {probes: true}\n")) {
            assertEquals("settled", RouterHarness.outcome(RouterHarness.await(harness.send("pair-a", 5))));
            String worker = harness.workerOf("pair-a");
            harness.fleet.run(() -> {
                harness.fleet.registry().setSilent(true);
                harness.fleet.drain(worker);
            });
            pause(NO_REQUESTS_AFTER_MILLIS);
            int before = harness.observations(Observation.ARRIVED).size();
            for (int i = 0; i < REQUESTS; i++) {
                assertEquals("settled", RouterHarness.outcome(RouterHarness.await(harness.send("pair-a", 5))));
                pause(REQUEST_PAUSE_MILLIS);
            }
            assertEquals(
                    0,
                    harness.observations(Observation.ARRIVED).stream()
                            .skip(before)
                            .filter(observation -> observation.worker().equals(worker))
                            .count());
        }
    }
}
