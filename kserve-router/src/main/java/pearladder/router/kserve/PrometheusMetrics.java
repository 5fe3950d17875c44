package pearladder.router.kserve;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import pearladder.router.core.CompletionStatus;
import pearladder.router.core.RouterMetrics;
import pearladder.routing.api.Outcome;

/** The router's counts, told on /metrics in the text form of Prometheus. */
final class PrometheusMetrics implements RouterMetrics {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<CompletionStatus, Counter> answers = new EnumMap<>(CompletionStatus.class);
    private final Map<Outcome, Counter> legs = new EnumMap<>(Outcome.class);
    private final Timer settled = Timer.builder("pearladder.call.seconds")
            .publishPercentiles(0.5, 0.99)
            .register(registry);
    private final Timer decisions = Timer.builder("pearladder.decision.seconds")
            .publishPercentiles(0.5, 0.99)
            .register(registry);
    private final Counter left = registry.counter("pearladder.clients.left");
    private final Counter turnedAway = registry.counter("pearladder.calls.not.taken");
    private final Counter modes = registry.counter("pearladder.mode.changes");
    private final Counter orders = registry.counter("pearladder.load.orders");

    PrometheusMetrics(Supplier<Number> openCalls, Supplier<Number> engines) {
        new JvmMemoryMetrics().bindTo(registry);
        new ProcessorMetrics().bindTo(registry);
        for (CompletionStatus state : CompletionStatus.values()) {
            answers.put(state, registry.counter("pearladder.calls", "state", state.code()));
        }
        for (Outcome outcome : Outcome.values()) {
            legs.put(
                    outcome,
                    registry.counter(
                            "pearladder.legs", "outcome", outcome.name().toLowerCase(Locale.ROOT)));
        }
        // a builder keeps its supplier; registry.gauge would hold it weakly and read NaN after a collection
        Gauge.builder("pearladder.calls.open", openCalls).register(registry);
        Gauge.builder("pearladder.engines.listed", engines).register(registry);
    }

    /** Records on their way to the disk. */
    void records(Supplier<Number> held, Supplier<Number> failing) {
        Gauge.builder("pearladder.records.held", held).register(registry);
        Gauge.builder("pearladder.records.failing", failing).register(registry);
    }

    @Override
    public void onResponse(CompletionStatus state, long nanos) {
        answers.get(state).increment();
        if (state == CompletionStatus.SUCCEEDED) {
            settled.record(nanos, TimeUnit.NANOSECONDS);
        }
    }

    @Override
    public void onAttemptEnded(Outcome outcome) {
        legs.get(outcome).increment();
    }

    @Override
    public void onDecision(long nanos) {
        decisions.record(nanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void onModeChange(String text) {
        modes.increment();
    }

    @Override
    public void onClientDisconnected() {
        left.increment();
    }

    void notTaken() {
        turnedAway.increment();
    }

    @Override
    public void onLoadRequest() {
        orders.increment();
    }

    String text() {
        return registry.scrape();
    }
}
