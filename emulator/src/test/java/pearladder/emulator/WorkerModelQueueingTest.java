package pearladder.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares the worker with the theory of M/M/c queues: Poisson arrivals, exponential work, one slot per core. */
class WorkerModelQueueingTest {
    private static final int CORES = 4;
    private static final double MEAN_WORK_SECONDS = 0.05;
    private static final double NANOS_PER_SECOND = 1e9;

    private final VirtualTimeline time = new VirtualTimeline();
    private final SplittableRandom random = new SplittableRandom(11);
    private final List<Double> waitSeconds = new ArrayList<>();
    private final List<Double> latencySeconds = new ArrayList<>();
    /** The integral of the number of requests in the system over time. */
    private double requestSeconds;

    private long countedUntil;
    private int inSystem;

    private void count(int change) {
        requestSeconds += inSystem * (time.now() - countedUntil) / NANOS_PER_SECOND;
        countedUntil = time.now();
        inSystem += change;
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    /** Runs requests at an offered load per core, 0 to 1; returns the duration in seconds. */
    private double run(double load, int requests) {
        WorkerModel worker = worker();
        worker.loadInstances("r", "m", 1, reply -> {});
        time.advanceTo(10_000_000_000L);
        countedUntil = time.now();
        double requestsPerSecond = load * CORES / MEAN_WORK_SECONDS;
        scheduleArrivals(worker, requestsPerSecond, requests);
        long startedAt = time.now();
        while (latencySeconds.size() < requests) {
            time.advanceTo(time.now() + 1_000_000_000L);
        }
        count(0);
        assertEquals(0, worker.heldRequests(), "all submitted requests have ended");
        return (time.now() - startedAt) / NANOS_PER_SECOND;
    }

    private WorkerModel worker() {
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
        return new WorkerModel(
                new WorkerSettings("e", kind, 1, false),
                new WorkerEnvironment(
                        time,
                        name -> model,
                        new ModelStore(time, 1, 10),
                        new IdempotencyCache(time, 0),
                        observation -> {}));
    }

    private void scheduleArrivals(WorkerModel worker, double requestsPerSecond, int remaining) {
        if (remaining == 0) {
            return;
        }
        long gapNanos = Math.round(exponential(1 / requestsPerSecond) * NANOS_PER_SECOND);
        time.after(gapNanos, () -> {
            submit(worker, "c" + remaining);
            scheduleArrivals(worker, requestsPerSecond, remaining - 1);
        });
    }

    private void submit(WorkerModel worker, String id) {
        long arrivedAt = time.now();
        double workSeconds = exponential(MEAN_WORK_SECONDS);
        count(1);
        long workNanos = Math.max(1, Math.round(workSeconds * NANOS_PER_SECOND));
        worker.submit(new WorkerRequest("r", id, 0, "m", "", workNanos), reply -> {
            assertEquals(WorkerOutcome.OK, reply.outcome());
            count(-1);
            double latency = (time.now() - arrivedAt) / NANOS_PER_SECOND;
            latencySeconds.add(latency);
            waitSeconds.add(latency - workSeconds);
        });
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(value -> value).average().orElse(0);
    }

    /** Returns the mean wait in seconds in an M/M/c queue, by Erlang's C formula. */
    private static double erlangMeanWait(double load) {
        double offered = load * CORES;
        double term = 1;
        double sum = 1;
        for (int i = 1; i < CORES; i++) {
            term *= offered / i;
            sum += term;
        }
        double last = term * offered / CORES / (1 - load);
        return last / (sum + last) * MEAN_WORK_SECONDS / (CORES * (1 - load));
    }

    @Test
    void meanWaitMatchesErlangsFormula() {
        run(0.8, 60_000);
        double expected = erlangMeanWait(0.8);
        assertEquals(expected, mean(waitSeconds), 0.08 * expected, "mean wait in seconds");
    }

    @Test
    void meanNumberOfRequestsMatchesLittlesLaw() {
        double seconds = run(0.6, 20_000);
        double throughput = latencySeconds.size() / seconds;
        assertEquals(throughput * mean(latencySeconds), requestSeconds / seconds, 0.01 * requestSeconds / seconds);
    }
}
