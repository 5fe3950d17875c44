package pearladder.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import pearladder.traces.ZipfDistribution;

/**
 * Draws the requests of a scenario from its seed: the same script draws the same requests at the same moments.
 * Arrivals are a Poisson process whose rate follows the script.
 */
public final class SyntheticWorkload implements RequestSource {
    /** The rate never falls below this share of the mean. */
    private static final double LEAST_RATE_SHARE = 0.01;
    /** Work is uniformly distributed between this share of the mean and this share plus 1. */
    private static final double LEAST_WORK_SHARE = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private final ScenarioPlan plan;
    private final SplittableRandom arrivals;
    private final SplittableRandom contents;
    private final List<ZipfDistribution> popularities = new ArrayList<>();
    private long due;
    private long number;

    /** Creates a workload that starts with the first request of the scenario. */
    public SyntheticWorkload(ScenarioPlan plan) {
        this.plan = plan;
        SplittableRandom random = new SplittableRandom(plan.seed());
        this.arrivals = random.split();
        this.contents = random.split();
        for (ScenarioPlan.Flow flow : plan.flows()) {
            popularities.add(new ZipfDistribution(flow.modelCount(), flow.skew()));
        }
    }

    @Override
    public ScheduledRequest next() {
        due += Math.round(-Math.log(1 - arrivals.nextDouble()) / rate() * NANOS_PER_SECOND);
        if (due >= plan.duration()) {
            return null;
        }
        // the order of the random draws must not change: it determines the requests of a seed
        int flowIndex = ScenarioPlan.Flow.choose(plan.flows(), contents.nextDouble());
        ScenarioPlan.Flow flow = plan.flows().get(flowIndex);
        String zone = plan.zones().get(contents.nextInt(plan.zones().size()));
        double work = flow.meanWork() * (LEAST_WORK_SHARE + contents.nextDouble());
        double heavyDraw = contents.nextDouble();
        double oneOffDraw = contents.nextDouble();
        double attemptTimeoutShare = plan.clients().attemptTimeoutShare(contents.nextDouble());
        int rank = popularities.get(flowIndex).rank(contents.nextDouble());
        String model = flow.modelPrefix() + model(flow, rank);
        for (ScenarioPlan.Fault fault : plan.faults()) {
            if (!isActive(fault)) {
                continue;
            }
            if (fault.kind() == ScenarioPlan.FaultKind.HEAVY && heavyDraw < fault.share()) {
                work *= fault.factor();
            } else if (fault.kind() == ScenarioPlan.FaultKind.ONE_OFFS && oneOffDraw < fault.share()) {
                model = flow.modelPrefix() + "once-" + number;
            }
        }
        return new ScheduledRequest(
                due, number++, flow.requestClass(), flow.tenant(), model, zone, Math.round(work), attemptTimeoutShare);
    }

    /** Returns the request rate per second at the time of the last arrival. */
    private double rate() {
        double bursts = 1;
        for (ScenarioPlan.Fault fault : plan.faults()) {
            if (fault.kind() == ScenarioPlan.FaultKind.BURST && isActive(fault)) {
                bursts *= fault.factor();
            }
        }
        return plan.rate() * Math.max(LEAST_RATE_SHARE, plan.rateVariation().at(due)) * bursts;
    }

    private boolean isActive(ScenarioPlan.Fault fault) {
        return due >= fault.startAt() && due < fault.startAt() + fault.duration();
    }

    /** Returns the model with a popularity rank; the mapping advances by one model with each popularity shift. */
    private int model(ScenarioPlan.Flow flow, int rank) {
        return flow.shiftInterval() == 0 ? rank : (int) ((rank + due / flow.shiftInterval()) % flow.modelCount());
    }
}
