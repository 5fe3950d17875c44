package pearladder.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Draws the day's calls from its seed: the same script draws the same calls at the same moments. */
public final class SyntheticWorkload implements RequestSource {
    private final ScenarioPlan plan;
    private final SplittableRandom arrivals;
    private final SplittableRandom contents;
    private final List<double[]> popularity = new ArrayList<>();
    private long due;
    private long number;

    public SyntheticWorkload(ScenarioPlan plan) {
        this.plan = plan;
        SplittableRandom random = new SplittableRandom(plan.seed());
        this.arrivals = random.split();
        this.contents = random.split();
        for (ScenarioPlan.Flow flow : plan.flows()) {
            double[] upTo = new double[flow.models()];
            double sum = 0;
            for (int i = 0; i < upTo.length; i++) {
                sum += Math.pow(i + 1, -flow.skew());
                upTo[i] = sum;
            }
            popularity.add(upTo);
        }
    }

    @Override
    public Drawn next() {
        double rate = plan.rate() * Math.max(0.01, plan.tide().at(due)) * times(ScenarioPlan.Kind.BURST, due);
        due += Math.round(-Math.log(1 - arrivals.nextDouble()) / rate * 1e9);
        if (due >= plan.lasting()) {
            return null;
        }
        int at = pick();
        ScenarioPlan.Flow flow = plan.flows().get(at);
        String hall = plan.halls().get(contents.nextInt(plan.halls().size()));
        double work = flow.work() * (0.5 + contents.nextDouble());
        double heavy = contents.nextDouble();
        double once = contents.nextDouble();
        double patience = plan.clients().patience() + (1 - plan.clients().patience()) * contents.nextDouble();
        int rank = model(popularity.get(at), contents.nextDouble());
        String model = flow.prefix() + (flow.shift() == 0 ? rank : (int) ((rank + due / flow.shift()) % flow.models()));
        for (ScenarioPlan.Trouble trouble : plan.troubles()) {
            if (due < trouble.at() || due >= trouble.at() + trouble.lasting()) {
                continue;
            }
            if (trouble.what() == ScenarioPlan.Kind.HEAVY && heavy < trouble.share()) {
                work *= trouble.times();
            } else if (trouble.what() == ScenarioPlan.Kind.ONE_OFFS && once < trouble.share()) {
                model = flow.prefix() + "once-" + number;
            }
        }
        return new Drawn(due, number++, flow.category(), flow.account(), model, hall, Math.round(work), patience);
    }

    private double times(ScenarioPlan.Kind kind, long at) {
        double times = 1;
        for (ScenarioPlan.Trouble trouble : plan.troubles()) {
            if (trouble.what() == kind && at >= trouble.at() && at < trouble.at() + trouble.lasting()) {
                times *= trouble.times();
            }
        }
        return times;
    }

    private int pick() {
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

    private static int model(double[] upTo, double drawn) {
        double wanted = drawn * upTo[upTo.length - 1];
        int at = java.util.Arrays.binarySearch(upTo, wanted);
        return Math.min(upTo.length - 1, at < 0 ? -at - 1 : at);
    }
}
