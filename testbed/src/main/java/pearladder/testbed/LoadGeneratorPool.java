package pearladder.testbed;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import pearladder.emulator.ObservationLog;
import pearladder.emulator.net.VertxTimeline;

/**
 * The load generators of a scenario, each with an event loop of its own; together they send one sequence of requests.
 */
final class LoadGeneratorPool {
    private static final long FLUSH_INTERVAL_MILLIS = 200;

    private record Lane(Vertx vertx, HttpClientDriver driver, LoadGenerator generator) {}

    private final List<Lane> lanes = new ArrayList<>();
    private final ObservationLog observations;
    private final CountDownLatch finished;

    LoadGeneratorPool(
            ScenarioPlan plan,
            RequestSource source,
            ClientLoadBalancer loadBalancer,
            LoadStatistics statistics,
            ObservationLog observations) {
        this.observations = observations;
        this.finished = new CountDownLatch(plan.clients().lanes());
        RequestDistributor distributor =
                new RequestDistributor(source, plan.clients().lanes());
        for (RequestDistributor.Lane requests : distributor.lanes()) {
            Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
            HttpClientDriver driver = new HttpClientDriver(vertx);
            LoadGenerator generator = new LoadGenerator(
                    new VertxTimeline(vertx),
                    driver,
                    plan,
                    lanes.size(),
                    requests,
                    loadBalancer,
                    statistics,
                    observations);
            lanes.add(new Lane(vertx, driver, generator));
        }
    }

    /** Sends health checks to the routers and waits for their end, so that class loading is not measured. */
    void warmUp(List<Integer> routerPorts) throws InterruptedException {
        CountDownLatch warm = new CountDownLatch(lanes.size());
        for (Lane lane : lanes) {
            lane.vertx().runOnContext(run -> {
                lane.driver().reportPauses(observations);
                lane.driver().warmUp(routerPorts).onComplete(end -> warm.countDown());
            });
        }
        warm.await();
    }

    /**
     * Starts sending requests.
     *
     * @param startAt start of the scenario, on the clock of {@link System#nanoTime}
     */
    void start(long startAt) {
        for (Lane lane : lanes) {
            lane.vertx().runOnContext(run -> lane.generator().start(startAt, finished::countDown));
        }
        lanes.get(0).vertx().setPeriodic(FLUSH_INTERVAL_MILLIS, tick -> observations.flush());
    }

    /** Waits for the end of all requests; returns false if they have not ended within the given number of seconds. */
    boolean awaitEnd(long timeoutSeconds) throws InterruptedException {
        return finished.await(timeoutSeconds, TimeUnit.SECONDS);
    }

    /** Sets whether clients ignore Retry-After and retry at once. */
    void ignoreRetryAfter(boolean ignored) {
        for (Lane lane : lanes) {
            lane.vertx().runOnContext(run -> lane.generator().ignoreRetryAfter(ignored));
        }
    }

    /** Closes all connections and event loops. */
    void close() {
        lanes.forEach(lane ->
                lane.vertx().close().toCompletionStage().toCompletableFuture().join());
    }
}
