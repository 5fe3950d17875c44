package pearladder.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Laws that need no oracle: what the emulated engine does is held against queueing theory. */
class LawsTest {
    private static final int CORES = 4;
    private static final double SERVICE = 0.05;

    private final VirtualTimeline time = new VirtualTimeline();
    private final SplittableRandom random = new SplittableRandom(11);
    private final List<Double> waits = new ArrayList<>();
    private final List<Double> stays = new ArrayList<>();
    private double area;
    private long since;
    private int inside;

    private void count(int change) {
        area += inside * (time.now() - since) / 1e9;
        since = time.now();
        inside += change;
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    /** Poisson arrivals, exponential work, one lane a core: M/M/c. */
    private double run(double load, int calls) {
        WorkerKind kind = new WorkerKind(
                "k",
                CORES,
                1,
                1000,
                1,
                1_000_000,
                1_000_000_000_000L,
                false,
                false,
                true,
                0,
                WorkerKind.IdempotencyScope.ALL,
                1,
                0,
                100,
                1_000_000_000L,
                100_000_000L);
        ModelKind model = new ModelKind("m", 100, CORES, 0, 0, 1, 0, 1);
        WorkerModel engine = new WorkerModel(
                new WorkerSettings("e", kind, 1, false),
                new WorkerEnvironment(
                        time, name -> model, new ModelStore(time, 1, 10), new IdempotencyCache(time, 0), seen -> {}));
        engine.loadInstances("r", "m", 1, answer -> {});
        time.runTo(10_000_000_000L);
        since = time.now();
        double rate = load * CORES / SERVICE;
        arrive(engine, rate, calls);
        long begun = time.now();
        while (stays.size() < calls) {
            time.runTo(time.now() + 1_000_000_000L);
        }
        count(0);
        assertEquals(0, engine.heldRequests(), "what came in went out");
        return (time.now() - begun) / 1e9;
    }

    private void arrive(WorkerModel engine, double rate, int left) {
        if (left == 0) {
            return;
        }
        time.after(Math.round(exponential(1 / rate) * 1e9), () -> {
            long came = time.now();
            double work = exponential(SERVICE);
            count(1);
            engine.submit(
                    new WorkerRequest("r", "c" + left, 0, "m", "", Math.max(1, Math.round(work * 1e9))), answer -> {
                        assertEquals(WorkerOutcome.OK, answer.outcome());
                        count(-1);
                        double stay = (time.now() - came) / 1e9;
                        stays.add(stay);
                        waits.add(stay - work);
                    });
            arrive(engine, rate, left - 1);
        });
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(value -> value).average().orElse(0);
    }

    /** Erlang's formula for the mean wait of M/M/c. */
    private static double wait(double load) {
        double offered = load * CORES;
        double term = 1;
        double sum = 1;
        for (int i = 1; i < CORES; i++) {
            term *= offered / i;
            sum += term;
        }
        double last = term * offered / CORES / (1 - load);
        return last / (sum + last) * SERVICE / (CORES * (1 - load));
    }

    @Test
    void waitsAreThoseOfTheFormula() {
        run(0.8, 60_000);
        assertEquals(wait(0.8), mean(waits), 0.08 * wait(0.8), "mean wait in seconds");
    }

    @Test
    void littlesLawHolds() {
        double span = run(0.6, 20_000);
        double throughput = stays.size() / span;
        assertEquals(throughput * mean(stays), area / span, 0.01 * area / span);
    }

    /** Random calls, orders, releases and leaks: copies never take more memory than there is, and all that came in ends. */
    @Test
    void noCopyIsOverMemory() {
        for (int seed = 0; seed < 20; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            VirtualTimeline clock = new VirtualTimeline();
            WorkerKind kind = new WorkerKind(
                    "k",
                    CORES,
                    1,
                    1000,
                    2,
                    20,
                    500_000_000L,
                    true,
                    chance.nextBoolean(),
                    true,
                    0,
                    WorkerKind.IdempotencyScope.ALL,
                    1,
                    0,
                    100,
                    1_000_000_000L,
                    10_000_000L);
            int[] ended = {0};
            WorkerModel engine = new WorkerModel(
                    new WorkerSettings("e", kind, seed, false),
                    new WorkerEnvironment(
                            clock,
                            name -> new ModelKind(
                                    name, 50 + 37 * (name.hashCode() % 9), 2, 30_000_000, 10_000_000, 1, 0, 1),
                            new ModelStore(clock, 2, 6),
                            new IdempotencyCache(clock, 0),
                            seen -> {}));
            int came = 0;
            for (int i = 0; i < 2000; i++) {
                clock.runTo(clock.now() + chance.nextInt(8_000_000));
                String model = "m" + chance.nextInt(14);
                switch (chance.nextInt(12)) {
                    case 0 -> engine.loadInstances("r", model, 1 + chance.nextInt(2), answer -> {});
                    case 1 -> engine.unload(model);
                    case 2 -> engine.invalidateModels(model);
                    default -> {
                        came++;
                        engine.submit(
                                new WorkerRequest("r", "c" + i, 0, model, "", 1 + chance.nextInt(20_000_000)),
                                answer -> ended[0]++);
                    }
                }
                assertTrue(engine.usedMemoryMb() <= kind.memoryMb() + 1e-6, "seed " + seed + " step " + i);
            }
            clock.runTo(clock.now() + 100_000_000_000L);
            assertEquals(came, ended[0], "seed " + seed);
        }
    }
}
