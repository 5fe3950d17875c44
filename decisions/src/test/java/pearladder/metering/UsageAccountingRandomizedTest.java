package pearladder.metering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Random observations: the order of merging changes nothing, sums are exact, and more work never lowers a tenant's
 * share.
 */
class UsageAccountingRandomizedTest {
    private static final long MINUTE = 60_000;
    private static final long IDLE_TIMEOUT = 10_000;

    @Test
    void sumsAreExactAndIndependentOfTheOrderOfMerging() {
        for (int seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            List<InstanceObservation> observations = randomObservations(random);
            List<UsageShare> shares = shares(observations);
            List<InstanceObservation> shuffled = new ArrayList<>(observations);
            Collections.shuffle(shuffled, random);
            assertEquals(shares, shares(shuffled), "seed " + seed);
            assertEquals(
                    MillisecondUsage.total(observations, IDLE_TIMEOUT, 7 * MINUTE),
                    shares.stream().mapToLong(UsageShare::megabyteMillis).sum(),
                    "seed " + seed);
            checkMoreWorkNeverLowersTheShare(observations, shares, random, seed);
        }
    }

    private static List<UsageShare> shares(List<InstanceObservation> observations) {
        UsageAccounting usage = new UsageAccounting(MINUTE, IDLE_TIMEOUT, 100 * MINUTE);
        observations.forEach(usage::on);
        return usage.finish(20 * MINUTE);
    }

    private static List<InstanceObservation> randomObservations(Random random) {
        List<InstanceObservation> observations = new ArrayList<>(List.of(
                new InstanceObservation.ModelMemoryKnown(0, "r1", "m0", 100),
                new InstanceObservation.ModelMemoryKnown(0, "r1", "m1", 333),
                new InstanceObservation.ModelMemoryKnown(0, "r1", "m2", 7)));
        for (int i = 0; i < 150; i++) {
            observations.add(randomObservation(random));
        }
        return observations;
    }

    private static InstanceObservation randomObservation(Random random) {
        long at = random.nextInt((int) (6 * MINUTE));
        String router = "r" + random.nextInt(3);
        String worker = "e" + random.nextInt(3);
        String model = "m" + random.nextInt(3);
        String tenant = "a" + random.nextInt(3);
        return switch (random.nextInt(9)) {
            case 0 -> new InstanceObservation.LoadStarted(at, router, worker, model, tenant, 0);
            case 1 -> new InstanceObservation.LoadFailed(at, router, worker, model);
            case 2 -> new InstanceObservation.InstancesReported(at, router, worker, model, random.nextInt(4));
            case 3 -> new InstanceObservation.WorkerGone(at, router, worker);
            default -> new InstanceObservation.WorkReported(
                    at, router, worker, model, tenant, 1 + random.nextInt(100_000));
        };
    }

    private static void checkMoreWorkNeverLowersTheShare(
            List<InstanceObservation> observations, List<UsageShare> shares, Random random, int seed) {
        InstanceObservation.WorkReported repeated = (InstanceObservation.WorkReported) observations.stream()
                .filter(InstanceObservation.WorkReported.class::isInstance)
                .skip(random.nextInt(20))
                .findFirst()
                .orElseThrow();
        List<InstanceObservation> withMoreWork = new ArrayList<>(observations);
        withMoreWork.add(new InstanceObservation.WorkReported(
                repeated.atMillis(),
                repeated.router(),
                repeated.worker(),
                repeated.model(),
                repeated.tenant(),
                50_000));
        long before = megabyteMillis(shares, repeated.tenant());
        assertTrue(before > 0, "seed " + seed);
        assertTrue(megabyteMillis(shares(withMoreWork), repeated.tenant()) >= before, "seed " + seed);
    }

    private static long megabyteMillis(List<UsageShare> shares, String tenant) {
        return shares.stream()
                .filter(share -> share.tenant().equals(tenant))
                .mapToLong(UsageShare::megabyteMillis)
                .sum();
    }
}
