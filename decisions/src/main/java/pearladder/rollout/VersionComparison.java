package pearladder.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the bad results of a new version with those of the old one that runs beside it, request by request, by two
 * sequential probability ratio tests (Wald, Ann. Math. Stat. 16, 1945). A few requests are not enough for a decision.
 *
 * <p>The origin test, whether the new version is worse, considers only bad results and the version that they come from.
 * If the new version is no worse, a bad result comes from it with the same probability as any request; if its share of
 * bad results is larger by the excess, with a higher one. A fault that affects both versions causes more bad results
 * but changes neither probability. While no requests go to the old version there is nothing to compare with, and this
 * test does not decide.
 *
 * <p>A new version runs on few workers at first, and one of those may be faulty. Therefore a version is not found worse
 * while nearly all of its bad results come from one worker.
 *
 * <p>The result test, whether the new version is no worse, compares its results with the old version's share of bad
 * results; it is only needed before a step. That share is estimated from the old version's latest requests, with a
 * prior of one in fifty and a lower bound of one in two hundred: with a share of zero, a single bad request would prove
 * the new version worse.
 */
final class VersionComparison {
    private static final double PRIOR_REQUESTS = 50;
    private static final double PRIOR_BAD = 1;
    private static final double MIN_BAD_SHARE = 0.005;
    /** Upper bound of an assumed share of bad results, because the logarithm of a probability of zero is not finite. */
    private static final double MAX_BAD_SHARE = 0.999;
    /** Number of the latest requests that the decaying counts cover, approximately. */
    private static final double DECAY_REQUESTS = 400;

    private static final double DECAY = 1 - 1 / DECAY_REQUESTS;
    /** The new version is not found worse while more than this share of its bad results comes from one worker. */
    private static final double MAX_SHARE_OF_ONE_WORKER = 0.8;

    private final RolloutPlan.Gate gate;
    /** Decaying count of the new version's bad results by worker; several workers of one request get equal parts. */
    private final Map<String, Double> badByWorker = new HashMap<>();
    /** Decaying counts of the old version's requests and of the bad ones among them. */
    private double oldRequests;

    private double oldBad;
    /** Decaying counts of the requests of both versions, and of those of the new one. */
    private double latestRequests;

    private double latestNewRequests;
    private long newRequests;
    private long newBad;
    /** Logarithms of the likelihood ratios of both tests: worse by the excess versus no worse. */
    private double originLogOdds;

    private double resultLogOdds;
    private boolean isFoundWorse;
    private boolean passesResultTest;

    VersionComparison(RolloutPlan.Gate gate) {
        this.gate = gate;
    }

    /** Returns a comparison for the next step, which starts with only the counts of the old version. */
    VersionComparison restarted() {
        VersionComparison next = new VersionComparison(gate);
        next.oldRequests = oldRequests;
        next.oldBad = oldBad;
        return next;
    }

    void onOldVersionResult(boolean isGood) {
        oldRequests = oldRequests * DECAY + 1;
        oldBad = oldBad * DECAY + (isGood ? 0 : 1);
        countRequest(false);
        if (!isGood) {
            updateOriginTest(false);
        }
    }

    /** @param workers workers to which the request's attempts were sent, each listed once */
    void onNewVersionResult(boolean isGood, List<String> workers) {
        newRequests++;
        newBad += isGood ? 0 : 1;
        countRequest(true);
        updateResultTest(isGood);
        badByWorker.replaceAll((worker, bad) -> bad * DECAY);
        if (!isGood) {
            workers.forEach(worker -> badByWorker.merge(worker, 1.0 / workers.size(), Double::sum));
            updateOriginTest(true);
        }
    }

    private void countRequest(boolean isNewVersion) {
        latestRequests = latestRequests * DECAY + 1;
        latestNewRequests = latestNewRequests * DECAY + (isNewVersion ? 1 : 0);
    }

    /** Keeps the log-odds at or below their upper bound, so that a version that has recovered can pass later. */
    private void updateResultTest(boolean isGood) {
        double ifNoWorse = oldBadShare();
        double ifWorse = Math.min(MAX_BAD_SHARE, ifNoWorse + gate.excess());
        resultLogOdds += isGood ? Math.log((1 - ifWorse) / (1 - ifNoWorse)) : Math.log(ifWorse / ifNoWorse);
        resultLogOdds = Math.min(resultLogOdds, worseBound());
        passesResultTest |= resultLogOdds <= noWorseBound();
    }

    /** Keeps the log-odds at or above their lower bound, so that a version that degrades later is also found worse. */
    private void updateOriginTest(boolean isNewVersion) {
        double ifNoWorse = latestNewRequests / latestRequests;
        if (ifNoWorse <= 0 || ifNoWorse >= 1) {
            return;
        }
        double oldBadShare = oldBadShare();
        double badOfNew = ifNoWorse * Math.min(1, oldBadShare + gate.excess());
        double ifWorse = badOfNew / (badOfNew + (1 - ifNoWorse) * oldBadShare);
        originLogOdds += isNewVersion ? Math.log(ifWorse / ifNoWorse) : Math.log((1 - ifWorse) / (1 - ifNoWorse));
        originLogOdds = Math.max(originLogOdds, noWorseBound());
        isFoundWorse |= originLogOdds >= worseBound() && !isMostlyFromOneWorker();
    }

    /** Returns Wald's bound at which the version is accepted as worse. */
    private double worseBound() {
        return Math.log((1 - gate.missed()) / gate.wrongly());
    }

    /** Returns Wald's bound at which the version is accepted as no worse. */
    private double noWorseBound() {
        return Math.log(gate.missed() / (1 - gate.wrongly()));
    }

    private boolean isMostlyFromOneWorker() {
        double most =
                badByWorker.values().stream().mapToDouble(bad -> bad).max().orElse(0);
        double sum = badByWorker.values().stream().mapToDouble(bad -> bad).sum();
        return most > MAX_SHARE_OF_ONE_WORKER * sum;
    }

    /** Returns the estimated share of bad results of the old version, 0 to 1. */
    private double oldBadShare() {
        return Math.max(MIN_BAD_SHARE, (oldBad + PRIOR_BAD) / (oldRequests + PRIOR_REQUESTS));
    }

    boolean isFoundWorse() {
        return isFoundWorse;
    }

    boolean isFoundNoWorse() {
        return passesResultTest && !isFoundWorse;
    }

    /** Returns the number of requests to the new version that were completed since the step began. */
    long newRequests() {
        return newRequests;
    }

    /** Returns the figures for the log and the status. */
    String figures() {
        return String.format(
                "%d bad of %d, usual %.3f, odds of worse %.2f",
                newBad, newRequests, oldBadShare(), Math.exp(originLogOdds));
    }
}
