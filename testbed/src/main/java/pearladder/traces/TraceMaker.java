package pearladder.traces;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Makes a trace of this project's own where none is at hand: models by Zipf's law down to a long tail that is called once,
 * bursts of whole minutes, and timers that pulse at fixed periods. The same seed makes the same trace.
 */
public final class TraceMaker {
    /**
     * What is made.
     *
     * @param rate calls a second on the mean
     * @param seconds how long
     * @param skew Zipf's exponent
     * @param timers share of the calls that come from timers, each of a model of its own
     * @param bursts how much a minute's rate may differ: 0 for none, 1 for from nothing to twice the mean
     * @param workMillis mean work of a call
     */
    public record Terms(
            int models,
            double skew,
            double rate,
            double seconds,
            double timers,
            double bursts,
            double workMillis,
            long seed) {}

    private static final double PERIOD = 30;
    private static final double[] MEMORY = {100, 200, 400, 400, 400, 800};

    private final Terms terms;
    private final SplittableRandom random;
    private final double[] upTo;

    private TraceMaker(Terms terms) {
        this.terms = terms;
        this.random = new SplittableRandom(terms.seed());
        this.upTo = new double[terms.models()];
        double sum = 0;
        for (int i = 0; i < upTo.length; i++) {
            sum += Math.pow(i + 1, -terms.skew());
            upTo[i] = sum;
        }
    }

    /** Makes all calls in the order of their arrival. */
    public static void make(Terms terms, Consumer<TraceCall> out) {
        new TraceMaker(terms).make(out);
    }

    private void make(Consumer<TraceCall> out) {
        int pulses = (int) Math.round(terms.rate() * terms.timers() * PERIOD);
        double[] timers = new double[pulses];
        for (int i = 0; i < pulses; i++) {
            timers[i] = random.nextDouble() * PERIOD;
        }
        Arrays.sort(timers);
        int timer = 0;
        long round = 0;
        double at = 0;
        double steady = terms.rate() * (1 - terms.timers());
        double minute = -1;
        double rate = steady;
        while (true) {
            if (Math.floor(at / 60) != minute) {
                minute = Math.floor(at / 60);
                rate = steady * (1 + terms.bursts() * (2 * random.nextDouble() - 1));
            }
            at += rate <= 0 ? 60 : -Math.log(1 - random.nextDouble()) / rate;
            while (pulses > 0 && timers[timer] + round * PERIOD <= Math.min(at, terms.seconds())) {
                out.accept(call(timers[timer] + round * PERIOD, "timer-" + timer, timer));
                timer = (timer + 1) % pulses;
                round += timer == 0 ? 1 : 0;
            }
            if (at >= terms.seconds()) {
                return;
            }
            int found = Arrays.binarySearch(upTo, random.nextDouble() * upTo[upTo.length - 1]);
            int model = Math.min(upTo.length - 1, found < 0 ? -found - 1 : found);
            out.accept(call(at, "fn-" + model, model));
        }
    }

    private TraceCall call(double at, String model, int number) {
        double work = terms.workMillis() * (0.5 + random.nextDouble());
        return new TraceCall(
                Math.round(at * 1e9),
                model,
                Math.round(work * 1e6),
                MEMORY[Math.floorMod(number * 31, MEMORY.length)],
                "",
                "",
                0);
    }
}
