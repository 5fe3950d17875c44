package pearladder.testbed;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws the requests of a scenario from its seed: the same script draws the same requests at the same moments.
 * Arrivals are a Poisson process whose rate follows the script.
 */
public final class SyntheticWorkload implements RequestSource {
    /** The rate never falls below this share of the mean. */
    private static final double LEAST_RATE_SHARE = 0.01;
    /** Work is drawn evenly from this share of the mean up to it plus 1. */
    private static final double LEAST_WORK_SHARE = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private final ScenarioPlan plan;
    private final SplittableRandom arrivals;
    private final SplittableRandom contents;
    /** By flow, the sums of its models' popularities up to each. */
    private final List<double[]> cumulativePopularity = new ArrayList<>();

    private long due;
    private long number;

    /** Creates a workload that begins with the scenario. */
    public SyntheticWorkload(ScenarioPlan plan) {
        this.plan = plan;
        SplittableRandom random = new SplittableRandom(plan.seed());
        this.arrivals = random.split();
        this.contents = random.split();
        for (ScenarioPlan.Flow flow : plan.flows()) {
            cumulativePopularity.add(zipf(flow.modelCount(), flow.skew()));
        }
    }

    private static double[] zipf(int models, double skew) {
        double[] cumulative = new double[models];
        double sum = 0;
        for (int i = 0; i < models; i++) {
            sum += Math.pow(i + 1, -skew);
            cumulative[i] = sum;
        }
        return cumulative;
    }

    @Override
    public Drawn next() {
        due += Math.round(-Math.log(1 - arrivals.nextDouble()) / rate() * NANOS_PER_SECOND);
        if (due >= plan.lasting()) {
            return null;
        }
        // the order of the draws is part of what a seed means
        int flowIndex = drawFlow();
        ScenarioPlan.Flow flow = plan.flows().get(flowIndex);
        String zone = plan.halls().get(contents.nextInt(plan.halls().size()));
        double work = flow.meanWork() * (LEAST_WORK_SHARE + contents.nextDouble());
        double heavyDraw = contents.nextDouble();
        double oneOffDraw = contents.nextDouble();
        double patience = plan.clients().leastPatience() + (1 - plan.clients().leastPatience()) * contents.nextDouble();
        String model = flow.modelPrefix() + drawModel(flow, cumulativePopularity.get(flowIndex));
        for (ScenarioPlan.Fault fault : plan.faults()) {
            if (!isActive(fault)) {
                continue;
            }
            if (fault.kind() == ScenarioPlan.Kind.HEAVY && heavyDraw < fault.share()) {
                work *= fault.factor();
            } else if (fault.kind() == ScenarioPlan.Kind.ONE_OFFS && oneOffDraw < fault.share()) {
                model = flow.modelPrefix() + "once-" + number;
            }
        }
        return new Drawn(due, number++, flow.requestClass(), flow.tenant(), model, zone, Math.round(work), patience);
    }

    /** Requests a second at the last arrival. */
    private double rate() {
        double bursts = 1;
        for (ScenarioPlan.Fault fault : plan.faults()) {
            if (fault.kind() == ScenarioPlan.Kind.BURST && isActive(fault)) {
                bursts *= fault.factor();
            }
        }
        return plan.rate() * Math.max(LEAST_RATE_SHARE, plan.rateVariation().at(due)) * bursts;
    }

    private boolean isActive(ScenarioPlan.Fault fault) {
        return due >= fault.startAt() && due < fault.startAt() + fault.duration();
    }

    private int drawFlow() {
        double sum = plan.flows().stream().mapToDouble(ScenarioPlan.Flow::share).sum();
        double drawn = contents.nextDouble() * sum;
        for (int i = 0; i < plan.flows().size(); i++) {
            drawn -= plan.flows().get(i).share();
            if (drawn < 0) {
                return i;
            }
        }
        return plan.flows().size() - 1;
    }

    private int drawModel(ScenarioPlan.Flow flow, double[] cumulative) {
        int last = cumulative.length - 1;
        int found = Arrays.binarySearch(cumulative, contents.nextDouble() * cumulative[last]);
        int rank = Math.min(last, found < 0 ? -found - 1 : found);
        return flow.shiftInterval() == 0 ? rank : (int) ((rank + due / flow.shiftInterval()) % flow.modelCount());
    }
}
