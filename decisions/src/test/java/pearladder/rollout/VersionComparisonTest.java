package pearladder.rollout;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class VersionComparisonTest {
    private static final RolloutPlan.Gate GATE = new RolloutPlan.Gate(0.05, 0.01, 0.05);

    /** Guards against the rollback of a good version because its one instance runs on a failing worker. */
    @Test
    void findsAVersionWorseOnlyWhenItFailsOnMoreThanOneWorker() {
        VersionComparison comparison = new VersionComparison(GATE);
        for (int i = 0; i < 400; i++) {
            comparison.onOldVersionResult(true);
            if (i % 10 == 0) {
                comparison.onNewVersionResult(false, List.of("faulty"));
            }
        }
        assertFalse(comparison.isFoundWorse(), comparison.figures());
        for (int i = 0; i < 12; i++) {
            comparison.onNewVersionResult(false, List.of("other"));
        }
        assertTrue(comparison.isFoundWorse(), comparison.figures());
    }

    /** 200 rollouts of a version that is no worse, and 200 of one that fails more often by ten percentage points. */
    @Test
    void keepsItsErrorRatesForGoodAndBadVersions() {
        int wrongly = 0;
        int missed = 0;
        for (int seed = 0; seed < 200; seed++) {
            wrongly += isFoundWorse(seed, 0.02, 0.02, 8000) ? 1 : 0;
            missed += isFoundWorse(seed + 1000, 0.02, 0.12, 8000) ? 0 : 1;
        }
        assertTrue(wrongly <= 6, "good versions found worse of 200: " + wrongly);
        assertTrue(missed <= 2, "bad versions missed of 200: " + missed);
    }

    private static boolean isFoundWorse(int seed, double badShareOfOld, double badShareOfNew, int requests) {
        VersionComparison comparison = new VersionComparison(GATE);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < requests && !comparison.isFoundWorse(); i++) {
            if (random.nextDouble() < 0.1) {
                comparison.onNewVersionResult(random.nextDouble() >= badShareOfNew, List.of("e" + random.nextInt(3)));
            } else {
                comparison.onOldVersionResult(random.nextDouble() >= badShareOfOld);
            }
        }
        return comparison.isFoundWorse();
    }
}
