package pearladder.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pearladder.rollout.RolloutTarget.Mode;
import pearladder.routing.api.TimeSpan;

/** Versions of requests and the steps of a rollout. */
class RolloutControllerTest extends RolloutTestBase {
    @Test
    void usesNoVersionForAModelWithoutARollout() {
        assertEquals("", version("k", ""));
    }

    @Test
    void takesAStepOnlyWhenInstancesAreReadyAndOnlyAddsKeys() {
        List<RolloutAction> actions = order(1, Mode.RUNNING, 0);
        assertEquals(
                List.of(
                        new RolloutAction.LoadInstances("pair", "2", "1", 0.05),
                        new RolloutAction.LoadInstances("pair", "1", "1", 1)),
                only(actions, RolloutAction.LoadInstances.class));
        assertEquals(Set.of(), keysOnNewVersion(), "no key gets the new version before its instances are ready");
        instancesReady(0.05);
        Set<String> first = keysOnNewVersion();
        assertTrue(first.size() > 70 && first.size() < 130, "a twentieth of 2000: " + first.size());
        order(2, Mode.RUNNING, 1);
        assertEquals(first, keysOnNewVersion());
        instancesReady(0.3);
        Set<String> second = keysOnNewVersion();
        assertTrue(
                second.containsAll(first) && second.size() > 430 && second.size() < 570,
                "a quarter of 2000: " + second.size());
        order(3, Mode.ROLLED_BACK, 0);
        assertEquals(Set.of(), keysOnNewVersion());
    }

    @Test
    void takesTheNextStepOnlyAfterTheHoldEnoughRequestsAndAPassedGate() {
        SplittableRandom random = new SplittableRandom(1);
        order(1, Mode.RUNNING, 0);
        instancesReady(1);
        advance(TimeSpan.seconds(11));
        tick();
        assertTrue(status().contains("share 0.05"), "no request has ended: " + status());
        completeRequests(6000, 0.01, 0.01, random);
        tick();
        assertStatusContains("share 0.25");
        completeRequests(2000, 0.01, 0.01, random);
        tick();
        assertTrue(status().contains("share 0.25"), "the step was not held long enough");
        advance(TimeSpan.seconds(11));
        tick();
        assertStatusContains("share 1.00");
        assertEquals(List.of(), only(tick(), RolloutAction.ReleaseInstances.class), "the old instances are kept");
        advance(TimeSpan.seconds(11));
        assertTrue(tick().contains(new RolloutAction.ReleaseInstances("pair", "1")), "until the hold is over");
    }

    @Test
    void rollsBackAVersionThatFailsEveryRequestWithinAFewRequests() {
        order(1, Mode.RUNNING, 0);
        instancesReady(1);
        int failed = failRequestsOfNewVersionUntilRolledBack(50);
        assertTrue(failed >= 2 && failed <= 12, "bad requests before the rollback: " + failed);
        assertEquals(Set.of(), keysOnNewVersion());
        instancesReady(1);
        advance(TimeSpan.seconds(100));
        tick();
        assertEquals(Set.of(), keysOnNewVersion(), "the rollout does not restart by itself");
        order(2, Mode.RUNNING, 0);
        assertFalse(keysOnNewVersion().isEmpty(), "an operator's target restarts the rollout");
    }

    private int failRequestsOfNewVersionUntilRolledBack(int maxRequests) {
        int failed = 0;
        while (status().contains("share 0.05") && failed < maxRequests) {
            String requestId = nextRequestId();
            if (!version(requestId, requestId, "").equals("2")) {
                on(new RolloutEvent.RequestCompleted(requestId, true, List.of("e0")));
                continue;
            }
            failed++;
            List<RolloutAction> actions =
                    on(new RolloutEvent.RequestCompleted(requestId, false, List.of("e" + failed % 2)));
            if (!only(actions, RolloutAction.ReleaseInstances.class).isEmpty()) {
                break;
            }
        }
        return failed;
    }

    @Test
    void doesNotRollBackOverAFaultThatAffectsBothVersions() {
        SplittableRandom random = new SplittableRandom(3);
        order(1, Mode.RUNNING, 1);
        instancesReady(1);
        completeRequests(1000, 0.01, 0.01, random);
        for (double badShare : new double[] {0.1, 0.2, 0.3, 0.2, 0.05}) {
            completeRequests(800, badShare, badShare, random);
        }
        assertFalse(status().contains("broken"), status());
    }

    @Test
    void keepsTheVersionOfAnIdempotencyKeyThroughARollbackWhileItIsRemembered() {
        order(1, Mode.RUNNING, 1);
        instancesReady(1);
        Map<String, String> firstVersions = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            firstVersions.put("m" + i, version("key-" + i, "m" + i));
        }
        assertTrue(firstVersions.containsValue("1") && firstVersions.containsValue("2"));
        order(2, Mode.ROLLED_BACK, 0);
        advance(TimeSpan.seconds(7));
        tick();
        firstVersions.forEach((key, version) -> assertEquals(version, version("key-" + key.substring(1), key)));
        advance(TimeSpan.seconds(2));
        tick();
        assertEquals("1", version("key-1", "m1"));
        assertTrue(firstVersions.keySet().stream()
                .allMatch(key -> version("key-" + key.substring(1), key).equals("1")));
    }

    @Test
    void staysAtItsStepWhilePausedAndAdvancesWhenRunning() {
        SplittableRandom random = new SplittableRandom(4);
        order(1, Mode.RUNNING, 0);
        instancesReady(1);
        order(2, Mode.PAUSED, 0);
        completeRequests(6000, 0.01, 0.01, random);
        advance(TimeSpan.seconds(60));
        tick();
        assertStatusContains("paused, share 0.05");
        order(3, Mode.RUNNING, 1);
        assertStatusContains("share 0.25");
    }
}
