package pearladder.traces;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Generates a synthetic trace: models drawn by Zipf's law down to a long tail that is requested once,
 * bursts of whole minutes, and timers with a fixed period. The same seed gives the same trace.
 */
public final class TraceGenerator {
    /**
     * Properties of the generated trace.
     *
     * @param models number of models, without those of the timers
     * @param skew exponent of Zipf's law
     * @param rate mean requests a second
     * @param seconds length of the trace
     * @param timers share of the requests that come from timers, each of a model of its own
     * @param bursts relative variation of the rate between minutes: 0 for none, 1 for rates from 0 to twice the mean
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
    /** Memory sizes of the models; a model's number selects its size. */
    private static final double[] MEMORY_MB = {100, 200, 400, 400, 400, 800};

    private static final int MEMORY_STEP = 31;

    private final Settings settings;
    private final SplittableRandom random;
    private final ZipfDistribution popularity;
    private final double steadyRate;
    /** Time at which each timer fires within a period, in seconds, sorted. */
    private final double[] timerPhases;

    private int nextTimer;
    private long timerPeriods;
    private double minute = -1;
    private double rate;

    private TraceGenerator(Settings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
        this.popularity = new ZipfDistribution(settings.models(), settings.skew());
        this.steadyRate = settings.rate() * (1 - settings.timers());
        this.rate = steadyRate;
        this.timerPhases = new double[(int) Math.round(settings.rate() * settings.timers() * TIMER_PERIOD_SECONDS)];
        for (int i = 0; i < timerPhases.length; i++) {
            timerPhases[i] = random.nextDouble() * TIMER_PERIOD_SECONDS;
        }
        Arrays.sort(timerPhases);
    }

    /** Generates all requests in order of arrival. */
    public static void generate(Settings settings, Consumer<TraceRequest> out) {
        new TraceGenerator(settings).generate(out);
    }

    private void generate(Consumer<TraceRequest> out) {
        double at = 0;
        while (true) {
            drawRate(at);
            at += rate <= 0 ? SECONDS_PER_MINUTE : -Math.log(1 - random.nextDouble()) / rate;
            fireTimers(Math.min(at, settings.seconds()), out);
            if (at >= settings.seconds()) {
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
            rate = steadyRate * (1 + settings.bursts() * (2 * random.nextDouble() - 1));
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
        double workMillis = settings.workMillis() * (0.5 + random.nextDouble());
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
