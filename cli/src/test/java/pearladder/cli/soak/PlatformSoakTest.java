package pearladder.cli.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs router processes, started as operators start them, under random, overlapping faults ({@link SoakFaults}), with
 * deadlines and a fleet size drawn from the seed, and checks {@link SoakInvariants} and {@link RouterStarts}.
 * {@code -Dsoak.seed}, {@code -Dsoak.seeds}, {@code -Dsoak.routers}, {@code -Dsoak.workers} and
 * {@code -Dsoak.seconds} select another run. The seed determines the faults; their timing depends on the machine.
 */
@Timeout(7200)
class PlatformSoakTest {
    private static final int ROUTERS = Integer.getInteger("soak.routers", 5);
    private static final int SECONDS = Integer.getInteger("soak.seconds", 25);
    private static final int MIN_FAULT_PAUSE_MILLIS = 20;
    private static final int FAULT_PAUSE_RANGE_MILLIS = 250;
    private static final int MIN_SUCCESSES_PERCENT = 30;
    private static final int MAX_PRINTED_VIOLATIONS = 10;

    @TempDir
    Path folder;

    private final MachineLateness lateness = new MachineLateness();
    private SoakFleet fleet;

    static LongStream seeds() {
        long first = Long.getLong("soak.seed", 1);
        return LongStream.range(first, first + Integer.getInteger("soak.seeds", 2));
    }

    @AfterEach
    void end() throws Exception {
        fleet.close();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void rulesHoldUnderRandomOverlappingFaults(long seed) throws Exception {
        Random random = new Random(seed);
        lateness.start();
        SoakSettings settings = new SoakSettings(seed, random);
        fleet = new SoakFleet(settings, folder, ROUTERS, lateness, seed);
        SoakInvariants.RouterEnds ends = new SoakInvariants.RouterEnds();
        SoakFaults faults = new SoakFaults(fleet, ends, random);
        long endNanos = System.nanoTime() + SECONDS * 1_000_000_000L;
        List<Thread> clients = fleet.startClients(seed, endNanos);
        while (System.nanoTime() < endNanos) {
            faults.injectOne();
            Thread.sleep(MIN_FAULT_PAUSE_MILLIS + random.nextInt(FAULT_PAUSE_RANGE_MILLIS));
        }
        for (Thread thread : clients) {
            thread.join();
        }
        faults.await();
        SoakInvariants invariants = new SoakInvariants(fleet.clock, ends, lateness);
        List<String> violations = new ArrayList<>(invariants.check(fleet.requests.values(), fleet.loadRequests));
        violations.addAll(faults.failures());
        violations.addAll(fleet.starts.check());
        fleet.unknownIds.forEach(id -> violations.add("no client sent " + id));
        long successes = fleet.successes();
        int count = fleet.requests.size();
        System.out.printf(
                "soak seed %d: %s, %d routers, %d requests, %d successful, %d breaks, %d by stopped routers;"
                        + " ready after %d ms at the most; this process up to %d ms late%n",
                seed,
                settings,
                ROUTERS,
                count,
                successes,
                violations.size(),
                invariants.toleratedViolations(),
                fleet.starts.longestMillis(),
                lateness.longestMillis());
        violations.stream().limit(MAX_PRINTED_VIOLATIONS).forEach(System.out::println);
        assertEquals(List.of(), violations, () -> violationReport(violations));
        assertTrue(successes * 100 > count * MIN_SUCCESSES_PERCENT, successes + " successful of " + count);
    }

    private String violationReport(List<String> violations) {
        StringBuilder text = new StringBuilder();
        violations.forEach(line -> text.append(line).append('\n'));
        fleet.routers.stream()
                .filter(router -> violations.stream().anyMatch(line -> line.startsWith(router.name + " ")))
                .limit(2)
                .forEach(router ->
                        text.append("== ").append(router.name).append('\n').append(router.log()));
        return text.toString();
    }
}
