package pearladder.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks invariants of the worker under random sequences of requests, load requests and faults. */
class WorkerModelRandomizedTest {
    private static final long MS = 1_000_000;
    private static final int STEPS = 400;

    private final VirtualTimeline time = new VirtualTimeline();
    private final WorkerModelFixture fixture = new WorkerModelFixture(time);

    /**
     * Under any sequence of steps, the memory limit is kept, each request is replied to at most once, and none is held
     * forever.
     */
    @Test
    void memoryLimitIsKeptAndRepliesAreNotRepeatedUnderFaults() {
        for (int seed = 0; seed < 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            WorkerModel worker = fixture.worker(6, random.nextBoolean(), random.nextBoolean());
            int[] replies = new int[STEPS];
            List<PendingRequest> pending = new ArrayList<>();
            for (int step = 0; step < STEPS; step++) {
                time.advanceTo(time.now() + random.nextLong(120 * MS));
                int number = step;
                if (!injectFault(worker, pending, random)) {
                    PendingRequest submitted = worker.submit(
                            WorkerModelFixture.request("s" + seed + "." + step, "m" + random.nextInt(4), ""),
                            reply -> replies[number]++);
                    if (submitted != null) {
                        pending.add(submitted);
                    }
                }
                assertTrue(worker.usedMemoryMb() <= 1000, "memory limit exceeded, seed " + seed + " step " + step);
                assertTrue(replies[number] <= 1);
            }
            fixture.modelStore.setRejectingAll(false);
            worker.setSlowdown(1);
            time.advanceTo(time.now() + 60_000 * MS);
            assertEquals(0, worker.heldRequests(), "requests still held, seed " + seed);
            for (int count : replies) {
                assertTrue(count <= 1, "request replied to more than once, seed " + seed);
            }
        }
    }

    /** Draws and applies a fault or another event for a step; returns false if the step is an ordinary request. */
    private boolean injectFault(WorkerModel worker, List<PendingRequest> pending, SplittableRandom random) {
        switch (random.nextInt(12)) {
            case 0 -> worker.invalidateModels("m" + random.nextInt(4));
            case 1 -> worker.setSlowdown(1 + random.nextInt(4));
            case 2 -> fixture.modelStore.setRejectingAll(random.nextInt(3) == 0);
            case 3 -> {
                if (!pending.isEmpty()) {
                    pending.remove(random.nextInt(pending.size())).cancel();
                }
            }
            case 4 -> worker.loadInstances("r", "m" + random.nextInt(4), 1 + random.nextInt(2), reply -> {});
            case 5 -> {
                if (random.nextInt(8) == 0) {
                    worker.crash();
                    pending.clear();
                    worker.restart();
                }
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    /** With models of many sizes on a small worker, the memory limit is kept and every request ends. */
    @Test
    void memoryLimitIsKeptAndAllRequestsEndWithModelsOfManySizes() {
        for (int seed = 0; seed < 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            VirtualTimeline clock = new VirtualTimeline();
            WorkerKind kind = smallKind(random.nextBoolean());
            WorkerModel worker = workerWithModelsOfManySizes(clock, kind, seed);
            int[] ended = {0};
            int submitted = 0;
            for (int step = 0; step < 2000; step++) {
                clock.advanceTo(clock.now() + random.nextInt(8_000_000));
                String model = "m" + random.nextInt(14);
                switch (random.nextInt(12)) {
                    case 0 -> worker.loadInstances("r", model, 1 + random.nextInt(2), reply -> {});
                    case 1 -> worker.unload(model);
                    case 2 -> worker.invalidateModels(model);
                    default -> {
                        submitted++;
                        long work = 1 + random.nextInt(20_000_000);
                        worker.submit(new WorkerRequest("r", "c" + step, 0, model, "", work), reply -> ended[0]++);
                    }
                }
                assertTrue(worker.usedMemoryMb() <= kind.memoryMb() + 1e-6, "seed " + seed + " step " + step);
            }
            clock.advanceTo(clock.now() + 100_000_000_000L);
            assertEquals(submitted, ended[0], "seed " + seed);
        }
    }

    private static WorkerKind smallKind(boolean cachesImages) {
        return new WorkerKind(
                "k",
                4,
                1,
                1000,
                2,
                20,
                500_000_000L,
                true,
                cachesImages,
                true,
                0,
                WorkerKind.IdempotencyScope.ALL,
                1,
                0,
                100,
                1_000_000_000L,
                10_000_000L);
    }

    private static WorkerModel workerWithModelsOfManySizes(VirtualTimeline clock, WorkerKind kind, int seed) {
        return new WorkerModel(
                new WorkerSettings("e", kind, seed, false),
                new WorkerEnvironment(
                        clock,
                        name -> new ModelKind(
                                name, 50 + 37 * (name.hashCode() % 9), 2, 30_000_000, 10_000_000, 1, 0, 1),
                        new ModelStore(clock, 2, 6),
                        new IdempotencyCache(clock, 0),
                        observation -> {}));
    }
}
