package pearladder.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import pearladder.recovery.SnapshotRecovery.RestartState;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.PolicySnapshot;
import pearladder.routing.state.PolicySnapshot.FunctionSnapshot;
import pearladder.routing.state.PolicySnapshot.InstanceSnapshot;
import pearladder.routing.state.PolicySnapshot.WorkerSnapshot;

class SnapshotRecoveryTest {
    private static final TimeSpan IDLE_TIMEOUT = TimeSpan.seconds(10);
    private static final TimeSpan QUOTA_WINDOW = TimeSpan.seconds(5);

    private final SnapshotRecovery recovery = new SnapshotRecovery(IDLE_TIMEOUT, QUOTA_WINDOW, 4);

    private static TimeSpan seconds(double seconds) {
        return TimeSpan.seconds(seconds);
    }

    private static InstanceSnapshot instances(int count, double sinceRenewed) {
        return new InstanceSnapshot("e1", count, seconds(sinceRenewed), true);
    }

    /** Returns a snapshot of one worker, e1, and one function with the given instances. */
    private static PolicySnapshot snapshot(TimeSpan uptime, double recentRequests, InstanceSnapshot... instances) {
        return new PolicySnapshot(
                TimeSpan.ZERO,
                List.of(new WorkerSnapshot("e1", uptime, seconds(2))),
                List.of(new FunctionSnapshot("f", 2, 400, null, recentRequests, 5, 0.5, List.of(instances))),
                List.of(),
                10,
                5);
    }

    private PolicySnapshot recover(PolicySnapshot snapshot, TimeSpan gap, TimeSpan uptimeNow) {
        Map<String, TimeSpan> uptimes = new HashMap<>();
        uptimes.put("e1", uptimeNow);
        return recovery.recover(new RestartState(snapshot, gap, List.of(), true, uptimes))
                .snapshot();
    }

    private static List<TimeSpan> loadRequestAges(
            SnapshotRecovery recovery, List<TimeSpan> logged, boolean isLogComplete) {
        return recovery.recover(new RestartState(null, seconds(1), logged, isLogComplete, Map.of()))
                .snapshot()
                .loadRequestAges();
    }

    @Test
    void addsTheGapToTheAgesOfWhatIsRestored() {
        PolicySnapshot now = recover(snapshot(seconds(100), 5, instances(2, 1)), seconds(2), seconds(102.1));
        assertEquals(seconds(2), now.age());
        assertEquals(List.of(new WorkerSnapshot("e1", seconds(102.1), TimeSpan.ZERO)), now.workers());
        assertEquals(List.of(instances(2, 3)), now.functions().get(0).instances());
    }

    @Test
    void dropsWhatWasLearntOfARestartedWorkerButKeepsTheFunction() {
        PolicySnapshot now = recover(snapshot(seconds(100), 5, instances(2, 1)), seconds(2), seconds(1));
        assertEquals(List.of(), now.workers());
        assertEquals(List.of(), now.functions().get(0).instances());
        assertEquals(5, now.functions().get(0).recentRequests(), "the recent requests belong to the function");
    }

    @Test
    void keepsAWorkerOfUnknownUptimeOnlyAfterAGapTooShortForARestart() {
        PolicySnapshot unknownUptime = snapshot(null, 5, instances(1, 1));
        assertEquals(List.of(), recover(unknownUptime, seconds(11), null).workers());
        assertEquals(1, recover(unknownUptime, seconds(2), null).workers().size());
    }

    @Test
    void dropsInstancesThatHaveReachedTheIdleTimeout() {
        PolicySnapshot now = recover(snapshot(seconds(100), 5, instances(1, 8.5)), seconds(2), seconds(102));
        assertEquals(List.of(), now.functions().get(0).instances());
    }

    @Test
    void restoresNothingFromAnOldFutureOrMissingSnapshot() {
        PolicySnapshot snapshot = snapshot(seconds(100), 5);
        assertEquals(List.of(), recover(snapshot, seconds(31), seconds(131)).functions());
        assertEquals(List.of(), recover(snapshot, seconds(-3600), seconds(100)).functions());
        RestartState noSnapshot = new RestartState(null, seconds(1), List.of(), true, Map.of());
        assertEquals(List.of(), recovery.recover(noSnapshot).snapshot().functions());
    }

    @Test
    void countsLoggedLoadRequestsWithinTheQuotaWindowWithoutASnapshot() {
        List<TimeSpan> ages = List.of(seconds(1), seconds(6), seconds(4), seconds(-3600));
        assertEquals(List.of(seconds(4), seconds(1), TimeSpan.ZERO), loadRequestAges(recovery, ages, true));
    }

    @Test
    void countsTheWholeBurstWhenTheLogIsIncomplete() {
        assertEquals(
                List.of(seconds(1), TimeSpan.ZERO, TimeSpan.ZERO, TimeSpan.ZERO),
                loadRequestAges(recovery, List.of(seconds(1)), false));
    }

    @Test
    void countsNoLoadRequestsWithoutAQuota() {
        List<TimeSpan> ages = List.of(seconds(1), seconds(6), seconds(4), seconds(-3600));
        SnapshotRecovery withoutQuota = new SnapshotRecovery(IDLE_TIMEOUT, TimeSpan.ZERO, 4);
        assertEquals(List.of(), loadRequestAges(withoutQuota, ages, false));
    }

    @Test
    void restoresNothingFromASnapshotWithOneInvalidValue() {
        List<PolicySnapshot> invalid = List.of(
                snapshot(seconds(100), Double.NaN),
                snapshot(seconds(100), -1),
                snapshot(seconds(-5), 1),
                snapshot(seconds(100), 1, instances(100_000, 1)),
                snapshot(seconds(100), 1, instances(1, -9)),
                snapshot(seconds(100), 1, instances(1, 1), instances(1, 1)),
                new PolicySnapshot(TimeSpan.ZERO, List.of(), List.of(), List.of(), Double.POSITIVE_INFINITY, 1));
        for (PolicySnapshot snapshot : invalid) {
            SnapshotRecovery.RecoveredState recovered = recovery.recover(
                    new RestartState(snapshot, seconds(1), List.of(seconds(1)), true, Map.of("e1", seconds(101))));
            assertTrue(recovered.reason().startsWith("the snapshot is invalid"), recovered.reason());
            assertEquals(List.of(), recovered.snapshot().functions());
            assertEquals(List.of(seconds(1)), recovered.snapshot().loadRequestAges());
        }
    }
}
