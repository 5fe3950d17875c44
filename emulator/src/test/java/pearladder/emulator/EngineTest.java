package pearladder.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class EngineTest {
    private static final long MS = 1_000_000;
    private static final ModelKind MODEL = new ModelKind("m*", 400, 2, 600 * MS, 200 * MS, 20 * MS, 0, 1);

    private final VirtualTimeline time = new VirtualTimeline();
    private final List<Observation> seen = new ArrayList<>();
    private final IdempotencyCache marks = new IdempotencyCache(time, 8000 * MS);
    private final ModelStore shelf = new ModelStore(time, 2, 4);

    private static WorkerKind kind(int queue, boolean cancelStops, boolean images) {
        return new WorkerKind(
                "std",
                2,
                1,
                1000,
                2,
                queue,
                5000 * MS,
                true,
                images,
                cancelStops,
                8000 * MS,
                WorkerKind.IdempotencyScope.ALL,
                0.25,
                10_000 * MS,
                2,
                1000 * MS,
                100 * MS);
    }

    private WorkerModel engine(WorkerKind kind, boolean cold) {
        return new WorkerModel(
                new WorkerSettings("e", kind, 1, cold),
                new WorkerEnvironment(time, name -> MODEL.matches(name) ? MODEL : null, shelf, marks, seen::add));
    }

    private static WorkerRequest asked(String call, String model, String mark) {
        return new WorkerRequest("r", call, 0, model, mark, 20 * MS);
    }

    @Test
    void aFirstCallWaitsForItsLoadAndTheNextFindsTheCopy() {
        WorkerModel engine = engine(kind(10, true, false), false);
        List<WorkerReply> answers = new ArrayList<>();
        engine.submit(asked("c1", "m1", ""), answers::add);
        engine.submit(asked("c2", "m1", ""), answers::add);
        time.runTo(799 * MS);
        assertEquals(0, answers.size());
        time.runTo(830 * MS);
        assertEquals(
                List.of(InstanceState.LOAD_BEGUN, InstanceState.LOAD_JOINED),
                answers.stream().map(WorkerReply::instanceState).toList());
        engine.submit(asked("c3", "m1", ""), answers::add);
        time.runTo(851 * MS);
        assertEquals(InstanceState.STOOD, answers.get(2).instanceState());
    }

    @Test
    void runningCallsShareTheCores() {
        WorkerModel engine = engine(kind(10, true, false), false);
        engine.loadInstances("r", "m1", 2, answer -> {});
        time.runTo(2000 * MS);
        List<Long> ended = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            engine.submit(asked("c" + i, "m1", ""), answer -> ended.add(time.now()));
        }
        time.runTo(2039 * MS);
        assertEquals(0, ended.size(), "four calls of 20 ms on two cores take 40 ms");
        time.runTo(2041 * MS);
        assertEquals(4, ended.size());
    }

    @Test
    void theShelfSharesItsCapacitySlowsAndRefuses() {
        List<Long> done = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            shelf.fetch(100 * MS, ok -> done.add(time.now()));
        }
        List<Boolean> turned = new ArrayList<>();
        shelf.fetch(100 * MS, turned::add);
        time.runTo(199 * MS);
        assertEquals(List.of(false), turned);
        assertEquals(0, done.size());
        time.runTo(201 * MS);
        assertEquals(4, done.size());
        shelf.setSlowdown(5);
        shelf.fetch(100 * MS, ok -> done.add(time.now()));
        time.runTo(690 * MS);
        assertEquals(4, done.size());
        time.runTo(702 * MS);
        assertEquals(5, done.size());
    }

    @Test
    void aRefusedFetchFailsTheCallsThatWaitForIt() {
        WorkerModel engine = engine(kind(10, true, false), false);
        shelf.setRejectingAll(true);
        List<WorkerReply> answers = new ArrayList<>();
        engine.submit(asked("c1", "m1", ""), answers::add);
        time.runTo(10 * MS);
        assertEquals(WorkerOutcome.ABSENT, answers.get(0).outcome());
        assertEquals(InstanceState.LOAD_FAILED, answers.get(0).instanceState());
        assertTrue(seen.stream().noneMatch(one -> one.what().equals(Observation.RAN)));
    }

    @Test
    void aFullQueueAndADrainRefuseUnseen() {
        WorkerModel engine = engine(kind(1, true, false), false);
        List<WorkerReply> answers = new ArrayList<>();
        engine.submit(asked("c1", "m1", ""), answers::add);
        engine.submit(asked("c2", "m1", ""), answers::add);
        assertEquals(WorkerOutcome.FULL, answers.get(0).outcome());
        engine.drain();
        engine.submit(asked("c3", "m2", ""), answers::add);
        assertEquals(WorkerOutcome.FULL, answers.get(1).outcome());
        time.runTo(900 * MS);
        assertEquals(WorkerOutcome.OK, answers.get(2).outcome(), "what it held it finishes");
    }

    @Test
    void aMarkRunsOnceAcrossTheGroupAlsoWhereBothWaited() {
        WorkerModel one = engine(kind(10, true, false), false);
        WorkerModel two = engine(kind(10, true, false), false);
        List<WorkerReply> answers = new ArrayList<>();
        one.submit(asked("c1", "m1", "k"), answers::add);
        two.submit(asked("c1", "m1", "k"), answers::add);
        time.runTo(2000 * MS);
        one.submit(asked("c1", "m1", "k"), answers::add);
        time.runTo(3000 * MS);
        assertEquals(
                3,
                answers.stream()
                        .filter(answer -> answer.outcome() == WorkerOutcome.OK)
                        .count());
        assertEquals(
                1, seen.stream().filter(s -> s.what().equals(Observation.RAN)).count());
        time.runTo(12_000 * MS);
        one.submit(asked("c1", "m1", "k"), answers::add);
        time.runTo(14_000 * MS);
        assertEquals(
                2, seen.stream().filter(s -> s.what().equals(Observation.RAN)).count(), "it is remembered for 8 s");
    }

    @Test
    void aColdEngineFallsOverWhenPushedAndAWarmOneDoesNot() {
        WorkerModel warm = engine(kind(500, true, false), false);
        WorkerModel cold = engine(kind(500, true, false), true);
        for (int i = 0; i < 80; i++) {
            time.runTo(time.now() + 10 * MS);
            warm.submit(asked("w" + i, "m1", ""), answer -> {});
            cold.submit(asked("c" + i, "m1", ""), answer -> {});
        }
        assertTrue(warm.isUp());
        assertFalse(cold.isUp(), "1.6 s of work within a second at a quarter of two cores");
        assertEquals(
                1,
                seen.stream().filter(one -> one.what().equals(Observation.FELL)).count());
    }

    @Test
    void aReleaseVoidsCopiesAndImages() {
        WorkerModel engine = engine(kind(10, true, true), false);
        List<WorkerReply> answers = new ArrayList<>();
        engine.loadInstances("r", "m1", 1, answers::add);
        time.runTo(900 * MS);
        engine.invalidateModels("m*");
        assertEquals(0, engine.standing("m1"));
        engine.submit(asked("c1", "m1", ""), answers::add);
        time.runTo(1650 * MS);
        assertEquals(1, answers.size(), "the image is void too, so the fetch comes again");
        time.runTo(1800 * MS);
        assertEquals(InstanceState.LOAD_BEGUN, answers.get(1).instanceState());
    }

    @Test
    void anIdleCopyGoesAfterItsTimeAndAnOrderRenewsIt() {
        WorkerModel engine = engine(kind(10, true, false), false);
        engine.loadInstances("r", "m1", 1, answer -> {});
        time.runTo(5000 * MS);
        engine.loadInstances("r", "m1", 1, answer -> {});
        time.runTo(9000 * MS);
        assertEquals(1, engine.standing("m1"));
        time.runTo(10_100 * MS);
        assertEquals(0, engine.standing("m1"));
    }

    /** Whatever comes, in any order: memory is never over, an answer comes once, and what ended unseen never ran. */
    @Test
    void lawsHoldThroughAnyTroubles() {
        for (int seed = 0; seed < 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            WorkerModel engine = engine(kind(6, random.nextBoolean(), random.nextBoolean()), false);
            int[] answers = new int[400];
            List<PendingRequest> held = new ArrayList<>();
            for (int step = 0; step < 400; step++) {
                time.runTo(time.now() + random.nextLong(120 * MS));
                int number = step;
                switch (random.nextInt(12)) {
                    case 0 -> engine.invalidateModels("m" + random.nextInt(4));
                    case 1 -> engine.setSlowdown(1 + random.nextInt(4));
                    case 2 -> shelf.setRejectingAll(random.nextInt(3) == 0);
                    case 3 -> {
                        if (!held.isEmpty()) {
                            held.remove(random.nextInt(held.size())).cancel();
                        }
                    }
                    case 4 -> engine.loadInstances("r", "m" + random.nextInt(4), 1 + random.nextInt(2), answer -> {});
                    case 5 -> {
                        if (random.nextInt(8) == 0) {
                            engine.crash();
                            held.clear();
                            engine.restart();
                        }
                    }
                    default -> {
                        PendingRequest one = engine.submit(
                                asked("s" + seed + "." + step, "m" + random.nextInt(4), ""),
                                answer -> answers[number]++);
                        if (one != null) {
                            held.add(one);
                        }
                    }
                }
                assertTrue(engine.usedMemoryMb() <= 1000, "memory at seed " + seed + " step " + step);
                assertTrue(answers[number] <= 1);
            }
            shelf.setRejectingAll(false);
            engine.setSlowdown(1);
            time.runTo(time.now() + 60_000 * MS);
            assertEquals(0, engine.heldRequests(), "nothing is held for ever, seed " + seed);
            for (int answer : answers) {
                assertTrue(answer <= 1, "an answer came twice, seed " + seed);
            }
        }
    }
}
