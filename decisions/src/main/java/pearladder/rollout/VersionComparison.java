package pearladder.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Whether a new version is worse than the old one that runs beside it, judged call by call; few calls judge nothing. Two
 * sequential probability ratio tests (Wald, Ann. Math. Stat. 16, 1945) look at it from both sides.
 *
 * Worse: looks at bad results only, and at whose they are. If the new version is no worse, a bad result is the new one's
 * as often as any call is; if its share of bad results is larger by the excess, more often. A trouble that meets both
 * versions makes more bad results and changes neither chance, so it speaks against nobody. Where no call goes to the old
 * version there is nothing to compare with, and this test says nothing.
 *
 * A new version stands on few engines at first, and one of them may be sick. So no verdict is given while nearly all of
 * its bad results come from one engine: it takes another to find a version worse.
 *
 * No worse: looks at the new version's calls against the old one's share of bad results, and is only asked before a step.
 * That share is learnt from the old version's latest calls, starts from one in fifty, and is never taken for less than one
 * in two hundred: a share of zero would make one bad call a proof.
 */
final class VersionComparison {
    private static final double PRIOR_CALLS = 50;
    private static final double PRIOR_BAD = 1;
    private static final double LEAST = 0.005;
    /** Calls fade after so many of them. */
    private static final double LATEST = 400;

    /** The most of the bad results that may come from one engine. */
    private static final double ONE_ENGINE = 0.8;

    private final RolloutPlan.Gate gate;
    private final Map<String, Double> byEngine = new HashMap<>();
    private double oldCalls;
    private double oldBad;
    private double newOfLatest;
    private double latest;
    private long calls;
    private long bad;
    private double worse;
    private double noWorse;
    private boolean foundWorse;
    private boolean foundNoWorse;

    VersionComparison(RolloutPlan.Gate gate) {
        this.gate = gate;
    }

    /** A new step is judged anew, beside what is known of the old version. */
    VersionComparison anew() {
        VersionComparison next = new VersionComparison(gate);
        next.oldCalls = oldCalls;
        next.oldBad = oldBad;
        return next;
    }

    void oldEnded(boolean well) {
        double fade = 1 - 1 / LATEST;
        oldCalls = oldCalls * fade + 1;
        oldBad = oldBad * fade + (well ? 0 : 1);
        count(false);
        if (!well) {
            weigh(false);
        }
    }

    /** @param engines to which the call's legs went */
    void newEnded(boolean well, List<String> engines) {
        calls++;
        bad += well ? 0 : 1;
        count(true);
        double usual = usual();
        double more = Math.min(0.999, usual + gate.excess());
        noWorse += well ? Math.log((1 - more) / (1 - usual)) : Math.log(more / usual);
        noWorse = Math.min(noWorse, Math.log((1 - gate.missed()) / gate.wrongly()));
        foundNoWorse |= noWorse <= Math.log(gate.missed() / (1 - gate.wrongly()));
        byEngine.replaceAll((engine, sum) -> sum * (1 - 1 / LATEST));
        if (!well) {
            engines.forEach(engine -> byEngine.merge(engine, 1.0 / engines.size(), Double::sum));
            weigh(true);
        }
    }

    private void count(boolean toNew) {
        double fade = 1 - 1 / LATEST;
        latest = latest * fade + 1;
        newOfLatest = newOfLatest * fade + (toNew ? 1 : 0);
    }

    /** A bad result has come: by whom? The sum stays above its lower bound, so that a bad turn is found later too. */
    private void weigh(boolean byNew) {
        double share = newOfLatest / latest;
        if (share <= 0 || share >= 1) {
            return;
        }
        double usual = usual();
        double badNew = share * Math.min(1, usual + gate.excess());
        double ifWorse = badNew / (badNew + (1 - share) * usual);
        worse += byNew ? Math.log(ifWorse / share) : Math.log((1 - ifWorse) / (1 - share));
        worse = Math.max(worse, Math.log(gate.missed() / (1 - gate.wrongly())));
        foundWorse |= worse >= Math.log((1 - gate.missed()) / gate.wrongly()) && !oneEngine();
    }

    private boolean oneEngine() {
        double most = byEngine.values().stream().mapToDouble(sum -> sum).max().orElse(0);
        return most
                > ONE_ENGINE
                        * byEngine.values().stream().mapToDouble(sum -> sum).sum();
    }

    /** The old version's share of bad results. */
    double usual() {
        return Math.max(LEAST, (oldBad + PRIOR_BAD) / (oldCalls + PRIOR_CALLS));
    }

    boolean foundWorse() {
        return foundWorse;
    }

    boolean foundNoWorse() {
        return foundNoWorse && !foundWorse;
    }

    long calls() {
        return calls;
    }

    String figures() {
        return String.format("%d bad of %d, usual %.3f, odds of worse %.2f", bad, calls, usual(), Math.exp(worse));
    }
}
