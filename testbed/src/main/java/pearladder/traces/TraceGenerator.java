package pearladder.traces;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Makes a synthetic trace where none is at hand: models by Zipf's law down to a long tail that is requested once,
 * bursts of whole minutes, and timers with a fixed period. The same seed makes the same trace.
 */
public final class TraceGenerator {
    /**
     * What is made.
     *
     * @param models how many there are beside those of the timers
     * @param skew exponent of Zipf's law
     * @param rate mean requests a second
     * @param seconds length of the trace
     * @param timers share of the requests that come from timers, each of a model of its own
     * @param bursts how much the rate of a minute may differ: 0 for none, 1 for from nothing to twice the mean
     * @param workMillis mean work of a request
     */
    public record Settings(
            int models,
            double skew,
            double rate,
            double seconds,
            double timers,
            double bursts,
            double workMillis,
            long seed) {}

    private static final double TIMER_PERIOD_SECONDS = 30;
    private static final double SECONDS_PER_MINUTE = 60;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;
    /** Sizes of the models; a model's is taken by its number. */
    private static final double[] MEMORY_MB = {100, 200, 400, 400, 400, 800};

    private static final int MEMORY_STEP = 31;

    private final Settings terms;
    private final SplittableRandom random;
    private final ZipfDistribution popularity;
    private final double steadyRate;
    /** When each timer fires within a period, in seconds, sorted. */
    private final double[] timerPhases;

    private int nextTimer;
    private long timerPeriods;
    private double minute = -1;
    private double rate;

    private TraceGenerator(Settings terms) {
        this.terms = terms;
        this.random = new SplittableRandom(terms.seed());
        this.popularity = new ZipfDistribution(terms.models(), terms.skew());
        this.steadyRate = terms.rate() * (1 - terms.timers());
        this.rate = steadyRate;
        this.timerPhases = new double[(int) Math.round(terms.rate() * terms.timers() * TIMER_PERIOD_SECONDS)];
        for (int i = 0; i < timerPhases.length; i++) {
            timerPhases[i] = random.nextDouble() * TIMER_PERIOD_SECONDS;
        }
        Arrays.sort(timerPhases);
    }

    /** Makes all requests in the order of their arrival. */
    public static void make(Settings terms, Consumer<TraceRequest> out) {
        new TraceGenerator(terms).make(out);
    }

    private void make(Consumer<TraceRequest> out) {
        double at = 0;
        while (true) {
            drawRate(at);
            at += rate <= 0 ? SECONDS_PER_MINUTE : -Math.log(1 - random.nextDouble()) / rate;
            fireTimers(Math.min(at, terms.seconds()), out);
            if (at >= terms.seconds()) {
                return;
            }
            int model = popularity.rank(random.nextDouble());
            out.accept(request(at, "fn-" + model, model));
        }
    }

    /** Draws a new rate at the start of each minute. */
    private void drawRate(double at) {
        double currentMinute = Math.floor(at / SECONDS_PER_MINUTE);
        if (currentMinute != minute) {
            minute = currentMinute;
            rate = steadyRate * (1 + terms.bursts() * (2 * random.nextDouble() - 1));
        }
    }

    private void fireTimers(double until, Consumer<TraceRequest> out) {
        while (timerPhases.length > 0 && nextTimerAt() <= until) {
            out.accept(request(nextTimerAt(), "timer-" + nextTimer, nextTimer));
            nextTimer = (nextTimer + 1) % timerPhases.length;
            timerPeriods += nextTimer == 0 ? 1 : 0;
        }
    }

    private double nextTimerAt() {
        return timerPhases[nextTimer] + timerPeriods * TIMER_PERIOD_SECONDS;
    }

    private TraceRequest request(double atSeconds, String model, int number) {
        double workMillis = terms.workMillis() * (0.5 + random.nextDouble());
        return new TraceRequest(
                Math.round(atSeconds * NANOS_PER_SECOND),
                model,
                Math.round(workMillis * NANOS_PER_MILLI),
                MEMORY_MB[Math.floorMod(number * MEMORY_STEP, MEMORY_MB.length)],
                "",
                "",
                0);
    }
}
