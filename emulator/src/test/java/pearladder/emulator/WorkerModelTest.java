package pearladder.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class WorkerModelTest {
    private static final long MS = 1_000_000;

    private final VirtualTimeline time = new VirtualTimeline();
    private final WorkerModelFixture fixture = new WorkerModelFixture(time);
    private final List<Observation> observations = fixture.observations;
    private final List<WorkerReply> replies = new ArrayList<>();

    private static WorkerRequest request(String id, String model, String idempotencyKey) {
        return WorkerModelFixture.request(id, model, idempotencyKey);
    }

    private long observed(String event) {
        return observations.stream()
                .filter(observation -> observation.event().equals(event))
                .count();
    }

    @Test
    void firstRequestWaitsForItsLoadAndTheNextFindsTheInstanceReady() {
        WorkerModel worker = fixture.worker(10, true, false);
        worker.submit(request("c1", "m1", ""), replies::add);
        worker.submit(request("c2", "m1", ""), replies::add);
        time.advanceTo(799 * MS);
        assertEquals(0, replies.size());
        time.advanceTo(830 * MS);
        assertEquals(
                List.of(InstanceState.LOAD_BEGUN, InstanceState.LOAD_JOINED),
                replies.stream().map(WorkerReply::instanceState).toList());
        worker.submit(request("c3", "m1", ""), replies::add);
        time.advanceTo(851 * MS);
        assertEquals(InstanceState.STOOD, replies.get(2).instanceState());
    }

    @Test
    void runningRequestsShareTheCores() {
        WorkerModel worker = fixture.worker(10, true, false);
        worker.loadInstances("r", "m1", 2, reply -> {});
        time.advanceTo(2000 * MS);
        List<Long> endedAt = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            worker.submit(request("c" + i, "m1", ""), reply -> endedAt.add(time.now()));
        }
        time.advanceTo(2039 * MS);
        assertEquals(0, endedAt.size(), "four requests of 20 ms on two cores take 40 ms");
        time.advanceTo(2041 * MS);
        assertEquals(4, endedAt.size());
    }

    @Test
    void rejectedFetchFailsTheRequestsThatWaitForIt() {
        WorkerModel worker = fixture.worker(10, true, false);
        fixture.modelStore.setRejectingAll(true);
        worker.submit(request("c1", "m1", ""), replies::add);
        time.advanceTo(10 * MS);
        assertEquals(WorkerOutcome.ABSENT, replies.get(0).outcome());
        assertEquals(InstanceState.LOAD_FAILED, replies.get(0).instanceState());
        assertTrue(observations.stream()
                .noneMatch(observation -> observation.event().equals(Observation.RAN)));
    }

    @Test
    void fullQueueAndDrainingRejectNewRequestsAndFinishThoseHeld() {
        WorkerModel worker = fixture.worker(1, true, false);
        worker.submit(request("c1", "m1", ""), replies::add);
        worker.submit(request("c2", "m1", ""), replies::add);
        assertEquals(WorkerOutcome.FULL, replies.get(0).outcome());
        worker.drain();
        worker.submit(request("c3", "m2", ""), replies::add);
        assertEquals(WorkerOutcome.FULL, replies.get(1).outcome());
        time.advanceTo(900 * MS);
        assertEquals(
                WorkerOutcome.OK, replies.get(2).outcome(), "a draining worker finishes the requests that it holds");
    }

    @Test
    void idempotencyKeyRunsOnceInTheGroupEvenIfBothAttemptsWereQueued() {
        WorkerModel firstWorker = fixture.worker(10, true, false);
        WorkerModel secondWorker = fixture.worker(10, true, false);
        firstWorker.submit(request("c1", "m1", "k"), replies::add);
        secondWorker.submit(request("c1", "m1", "k"), replies::add);
        time.advanceTo(2000 * MS);
        firstWorker.submit(request("c1", "m1", "k"), replies::add);
        time.advanceTo(3000 * MS);
        assertEquals(
                3,
                replies.stream()
                        .filter(reply -> reply.outcome() == WorkerOutcome.OK)
                        .count());
        assertEquals(1, observed(Observation.RAN));
        time.advanceTo(12_000 * MS);
        firstWorker.submit(request("c1", "m1", "k"), replies::add);
        time.advanceTo(14_000 * MS);
        assertEquals(2, observed(Observation.RAN), "the idempotency key is kept for 8 s");
    }

    @Test
    void coldWorkerCrashesFromOverloadAndWarmOneDoesNot() {
        WorkerModel warm = fixture.worker(500, true, false);
        WorkerModel cold = fixture.coldWorker(500);
        for (int i = 0; i < 80; i++) {
            time.advanceTo(time.now() + 10 * MS);
            warm.submit(request("w" + i, "m1", ""), reply -> {});
            cold.submit(request("c" + i, "m1", ""), reply -> {});
        }
        assertTrue(warm.isUp());
        assertFalse(cold.isUp(), "1.6 s of work within a second at a quarter of two cores");
        assertEquals(1, observed(Observation.CRASHED_FROM_OVERLOAD));
    }

    @Test
    void newReleaseInvalidatesInstancesAndImages() {
        WorkerModel worker = fixture.worker(10, true, true);
        worker.loadInstances("r", "m1", 1, replies::add);
        time.advanceTo(900 * MS);
        worker.invalidateModels("m*");
        assertEquals(0, worker.readyInstances("m1"));
        worker.submit(request("c1", "m1", ""), replies::add);
        time.advanceTo(1650 * MS);
        assertEquals(1, replies.size(), "the cached image is invalid too, so it is fetched again");
        time.advanceTo(1800 * MS);
        assertEquals(InstanceState.LOAD_BEGUN, replies.get(1).instanceState());
    }

    @Test
    void idleInstanceIsUnloadedAfterItsTimeoutWhichALoadRequestRenews() {
        WorkerModel worker = fixture.worker(10, true, false);
        worker.loadInstances("r", "m1", 1, reply -> {});
        time.advanceTo(5000 * MS);
        worker.loadInstances("r", "m1", 1, reply -> {});
        time.advanceTo(9000 * MS);
        assertEquals(1, worker.readyInstances("m1"));
        time.advanceTo(10_100 * MS);
        assertEquals(0, worker.readyInstances("m1"));
    }
}
