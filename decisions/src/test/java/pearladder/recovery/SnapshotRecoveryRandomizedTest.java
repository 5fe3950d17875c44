package pearladder.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pearladder.recovery.SnapshotRecovery.RestartState;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.PolicySnapshot;
import pearladder.routing.state.PolicySnapshot.FunctionSnapshot;
import pearladder.routing.state.PolicySnapshot.InstanceSnapshot;
import pearladder.routing.state.PolicySnapshot.WorkerSnapshot;

/**
 * Random snapshots: no age decreases, no count increases, and no instance outlives its worker process or the idle
 * timeout.
 */
class SnapshotRecoveryRandomizedTest {
    private static final TimeSpan IDLE_TIMEOUT = TimeSpan.seconds(10);
    private static final TimeSpan QUOTA_WINDOW = TimeSpan.seconds(5);
    private static final int QUOTA_BURST = 4;
    private static final int WORKERS = 6;

    private final SnapshotRecovery recovery = new SnapshotRecovery(IDLE_TIMEOUT, QUOTA_WINDOW, QUOTA_BURST);

    @Test
    void restoresNothingThatIsNoLongerValid() {
        for (int seed = 0; seed < 300; seed++) {
            RestartState restartState = randomRestartState(new SplittableRandom(seed));
            PolicySnapshot now = recovery.recover(restartState).snapshot();
            checkInstances(restartState, now);
            checkWorkers(restartState, now);
            checkLoadRequests(restartState, now);
            assertTrue(restartState.gap().nanos() >= 0 || now.functions().isEmpty());
        }
    }

    private static TimeSpan seconds(double seconds) {
        return TimeSpan.seconds(seconds);
    }

    private static RestartState randomRestartState(SplittableRandom random) {
        TimeSpan gap = seconds(random.nextDouble() * 40 - 3);
        Map<String, TimeSpan> uptimes = new HashMap<>();
        List<WorkerSnapshot> workers = randomWorkers(random, gap, uptimes);
        List<InstanceSnapshot> instances = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            instances.add(new InstanceSnapshot(
                    "e" + i, 1 + random.nextInt(4), seconds(random.nextInt(12)), random.nextBoolean()));
        }
        List<TimeSpan> loadRequestAges = new ArrayList<>();
        for (int i = random.nextInt(8); i > 0; i--) {
            loadRequestAges.add(seconds(random.nextDouble() * 9));
        }
        boolean isLogComplete = random.nextBoolean();
        FunctionSnapshot function = new FunctionSnapshot("f", 1, 1, null, 1, 1, 1, instances);
        PolicySnapshot then = new PolicySnapshot(TimeSpan.ZERO, workers, List.of(function), List.of(), 1, 1);
        return new RestartState(then, gap, loadRequestAges, isLogComplete, uptimes);
    }

    /** Fills {@code uptimes} with those after the gap: some of the same process, some of another, some missing. */
    private static List<WorkerSnapshot> randomWorkers(
            SplittableRandom random, TimeSpan gap, Map<String, TimeSpan> uptimes) {
        List<WorkerSnapshot> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            TimeSpan then = random.nextInt(5) == 0 ? null : seconds(random.nextInt(100));
            workers.add(new WorkerSnapshot("e" + i, then, seconds(random.nextInt(5))));
            if (random.nextInt(4) > 0) {
                uptimes.put(
                        "e" + i,
                        then == null ? null : random.nextBoolean() ? then.plus(gap) : seconds(random.nextInt(100)));
            }
        }
        return workers;
    }

    private static void checkInstances(RestartState restartState, PolicySnapshot now) {
        for (FunctionSnapshot function : now.functions()) {
            for (InstanceSnapshot instance : function.instances()) {
                InstanceSnapshot then = restartState.snapshot().functions().get(0).instances().stream()
                        .filter(candidate -> candidate.worker().equals(instance.worker()))
                        .findFirst()
                        .orElseThrow();
                assertEquals(then.sinceRenewed().plus(restartState.gap()), instance.sinceRenewed());
                assertTrue(!instance.sinceRenewed().isLongerThan(IDLE_TIMEOUT));
                assertTrue(instance.instances() <= then.instances());
                assertTrue(now.workers().stream()
                        .anyMatch(worker -> worker.worker().equals(instance.worker())));
            }
        }
    }

    private static void checkWorkers(RestartState restartState, PolicySnapshot now) {
        for (WorkerSnapshot worker : now.workers()) {
            assertTrue(restartState.uptimes().containsKey(worker.worker()));
            assertTrue(worker.ejectedFor().nanos() >= 0);
        }
    }

    private static void checkLoadRequests(RestartState restartState, PolicySnapshot now) {
        long withinWindow = restartState.loadRequestAges().stream()
                .filter(age -> !age.isLongerThan(QUOTA_WINDOW))
                .count();
        assertEquals(
                restartState.isLogComplete() ? withinWindow : Math.max(withinWindow, QUOTA_BURST),
                now.loadRequestAges().size());
    }
}
