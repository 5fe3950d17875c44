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

/** The router's metrics, in the text format of Prometheus. */
final class PrometheusMetrics implements RouterMetrics {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<CompletionStatus, Counter> responses = new EnumMap<>(CompletionStatus.class);
    private final Map<Outcome, Counter> attempts = new EnumMap<>(Outcome.class);
    private final Timer successLatency = timer("pearladder.call.seconds");
    private final Timer decisionTime = timer("pearladder.decision.seconds");
    private final Counter clientDisconnects = registry.counter("pearladder.clients.left");
    private final Counter requestsNotAdmitted = registry.counter("pearladder.calls.not.taken");
    private final Counter modeChanges = registry.counter("pearladder.mode.changes");
    private final Counter loadRequests = registry.counter("pearladder.load.orders");

    PrometheusMetrics(Supplier<Number> requestsInFlight, Supplier<Number> listedWorkers) {
        new JvmMemoryMetrics().bindTo(registry);
        new ProcessorMetrics().bindTo(registry);
        for (CompletionStatus status : CompletionStatus.values()) {
            responses.put(status, registry.counter("pearladder.calls", "state", status.code()));
        }
        for (Outcome outcome : Outcome.values()) {
            attempts.put(outcome, registry.counter("pearladder.legs", "outcome", code(outcome)));
        }
        gauge("pearladder.calls.open", requestsInFlight);
        gauge("pearladder.engines.listed", listedWorkers);
    }

    private Timer timer(String name) {
        return Timer.builder(name).publishPercentiles(0.5, 0.99).register(registry);
    }

    /**
     * Registers a gauge. The builder keeps its supplier; {@code registry.gauge} would hold it weakly and report NaN
     * after a garbage collection.
     */
    private void gauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    private static String code(Outcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT);
    }

    /**
     * Adds gauges of the event log.
     *
     * @param pending entries that are not on disk yet
     * @param failing 1 where the last write failed, else 0
     */
    void addEventLogGauges(Supplier<Number> pending, Supplier<Number> failing) {
        gauge("pearladder.records.held", pending);
        gauge("pearladder.records.failing", failing);
    }

    @Override
    public void onResponse(CompletionStatus status, long nanos) {
        responses.get(status).increment();
        if (status == CompletionStatus.SUCCEEDED) {
            successLatency.record(nanos, TimeUnit.NANOSECONDS);
        }
    }

    @Override
    public void onAttemptEnded(Outcome outcome) {
        attempts.get(outcome).increment();
    }

    @Override
    public void onDecision(long nanos) {
        decisionTime.record(nanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void onModeChange(String text) {
        modeChanges.increment();
    }

    @Override
    public void onClientDisconnected() {
        clientDisconnects.increment();
    }

    /** Counts a valid request that was not admitted. */
    void onNotAdmitted() {
        requestsNotAdmitted.increment();
    }

    @Override
    public void onLoadRequest() {
        loadRequests.increment();
    }

    /** Returns all metrics in the text format of Prometheus. */
    String scrape() {
        return registry.scrape();
    }
}
