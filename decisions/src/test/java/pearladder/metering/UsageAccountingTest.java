package pearladder.metering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class UsageAccountingTest {
    private static final long MINUTE = 60_000;
    private static final long IDLE_TIMEOUT = 10_000;

    private static List<UsageShare> shares(List<InstanceObservation> observations, long until) {
        UsageAccounting usage = new UsageAccounting(MINUTE, IDLE_TIMEOUT, 2 * MINUTE);
        List<UsageShare> shares = new ArrayList<>();
        observations.forEach(observation -> shares.addAll(usage.on(observation)));
        shares.addAll(usage.finish(until));
        assertEquals(0, usage.lateObservationCount());
        return shares;
    }

    private static Map<String, Long> megabyteMillisByTenant(List<UsageShare> shares) {
        Map<String, Long> sums = new TreeMap<>();
        shares.forEach(share -> sums.merge(share.tenant(), share.megabyteMillis(), Long::sum));
        sums.values().removeIf(sum -> sum == 0);
        return sums;
    }

    private static InstanceObservation memory(String model, long memoryMb) {
        return new InstanceObservation.ModelMemoryKnown(0, "r1", model, memoryMb);
    }

    private static InstanceObservation worked(long at, String router, String tenant, long workMicros) {
        return new InstanceObservation.WorkReported(at, router, "e1", "m", tenant, workMicros);
    }

    @Test
    void countsAnInstanceFromTheStartOfItsLoadToTheIdleTimeout() {
        assertEquals(
                Map.of("tender", 100L * (5_000 + IDLE_TIMEOUT)),
                megabyteMillisByTenant(shares(
                        List.of(
                                memory("m", 100),
                                new InstanceObservation.LoadStarted(1_000, "r1", "e1", "m", "tender", 0),
                                worked(6_000, "r1", "tender", 500)),
                        10 * MINUTE)));
    }

    @Test
    void countsTheWholeOfALoadThatTakesLongerThanTheIdleTimeout() {
        assertEquals(
                Map.of("tender", 100L * (30_000 + 500 + IDLE_TIMEOUT)),
                megabyteMillisByTenant(shares(
                        List.of(
                                memory("m", 100),
                                new InstanceObservation.LoadStarted(1_000, "r1", "e1", "m", "tender", 30_000),
                                worked(31_500, "r1", "tender", 500)),
                        10 * MINUTE)));
    }

    @Test
    void stopsCountingWhenALoadFails() {
        assertEquals(
                Map.of("tender", 100L * 2_000),
                megabyteMillisByTenant(shares(
                        List.of(
                                memory("m", 100),
                                new InstanceObservation.LoadStarted(1_000, "r1", "e1", "m", "tender", 0),
                                new InstanceObservation.LoadFailed(3_000, "r1", "e1", "m")),
                        10 * MINUTE)));
    }

    @Test
    void stopsCountingWhenTheWorkerIsGone() {
        assertEquals(
                Map.of("tender", 100L * 6_000),
                megabyteMillisByTenant(shares(
                        List.of(
                                memory("m", 100),
                                new InstanceObservation.LoadStarted(1_000, "r1", "e1", "m", "tender", 0),
                                worked(5_000, "r1", "tender", 9),
                                new InstanceObservation.WorkerGone(7_000, "r2", "e1")),
                        10 * MINUTE)));
    }

    @Test
    void countsAnUnreachableWorkerToTheIdleTimeoutUnlessAnotherObservationCorrectsIt() {
        List<InstanceObservation> observations = new ArrayList<>(List.of(
                memory("m", 100),
                new InstanceObservation.LoadStarted(1_000, "r1", "e1", "m", "tender", 0),
                worked(2_000, "r1", "tender", 9)));
        assertEquals(
                100L * 11_000,
                megabyteMillisByTenant(shares(observations, MINUTE)).get("tender"));
        // Another router could reach the worker all the time.
        observations.add(worked(9_000, "r2", "tender", 9));
        assertEquals(
                100L * 18_000,
                megabyteMillisByTenant(shares(observations, MINUTE)).get("tender"));
        // The endpoint list later reports when the worker ended.
        observations.add(new InstanceObservation.WorkerGone(9_500, "r1", "e1"));
        assertEquals(
                100L * 8_500,
                megabyteMillisByTenant(shares(observations, MINUTE)).get("tender"));
    }

    @Test
    void dividesSharedInstancesByWork() {
        List<InstanceObservation> observations = new ArrayList<>(List.of(memory("m", 100)));
        observations.add(new InstanceObservation.LoadStarted(0, "r1", "e1", "m", "big", 0));
        for (long at = 1_000; at < 5 * MINUTE; at += 1_000) {
            observations.add(worked(at, "r1", "big", 1_000));
        }
        long alone = megabyteMillisByTenant(shares(observations, 10 * MINUTE)).get("big");
        observations.add(worked(4 * MINUTE + 500, "r1", "small", 1_000));
        Map<String, Long> both = megabyteMillisByTenant(shares(observations, 10 * MINUTE));
        assertEquals(alone, both.get("big") + both.get("small"));
        // One of about three hundred requests, in the last of five minutes.
        assertTrue(both.get("small") < alone / 300, both + " of " + alone);
        assertTrue(both.get("small") > 0);
    }

    @Test
    void chargesNoTenantForUnusedInstancesLoadedAheadOfRequests() {
        assertEquals(
                Map.of("", 100L * IDLE_TIMEOUT),
                megabyteMillisByTenant(shares(
                        List.of(memory("m", 100), new InstanceObservation.LoadStarted(1_000, "r1", "e1", "m", "", 0)),
                        10 * MINUTE)));
    }

    @Test
    void countsEachInstanceThatTheWorkerReports() {
        assertEquals(
                Map.of("tender", 100L * (4_000 + 3 * 2_000)),
                megabyteMillisByTenant(shares(
                        List.of(
                                memory("m", 100),
                                new InstanceObservation.LoadStarted(1_000, "r1", "e1", "m", "tender", 0),
                                worked(4_000, "r1", "tender", 5),
                                new InstanceObservation.InstancesReported(5_000, "r1", "e1", "m", 3),
                                new InstanceObservation.InstancesReported(7_000, "r1", "e1", "m", 0)),
                        MINUTE)));
    }
}
