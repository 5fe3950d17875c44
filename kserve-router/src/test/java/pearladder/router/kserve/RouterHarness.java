package pearladder.router.kserve;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import pearladder.config.YamlParser;
import pearladder.emulator.FleetPlan;
import pearladder.emulator.Observation;
import pearladder.emulator.net.Fleet;
import pearladder.kserve.DiscoveryMessage.Entry;
import pearladder.kserve.DiscoveryMessage.WorkerState;
import pearladder.routing.StickyFirstFitPolicy;

/**
 * A router, emulated workers with their discovery service, and a client in one process, on ports that the system
 * chooses.
 */
final class RouterHarness implements AutoCloseable {
    static final String CONFIG =
            """
            categories:
              draw: {expected: 1 s, abandon: 3 s, effect: retriable}
              post: {expected: 1 s, abandon: 3 s, effect: binding}
              commit: {expected: 1 s, abandon: 3 s, effect: fingerprinted, remembered: 8 s}
            models:
              - {name: "pair-*", memory: 400 MB, lanes: 2, category: draw}
            """;
    static final String FLEET_CONFIG =
            """
            seed: 3
            shelf: {capacity: 8, limit: 40}
            list: {lag: 10 ms}
            kinds:
              std: {cores: 4, memory: 4 GB, reports_every: 10 ms}
            models:
              - {name: "pair-slow", memory: 400 MB, lanes: 2, fetch: 600 ms, start: 200 ms, work: 5 ms}
              - {name: "pair-*", memory: 400 MB, lanes: 2, fetch: 20 ms, start: 10 ms, work: 5 ms}
            engines:
              - {name: engine, count: %d, kind: std, halls: [east]}
            """;

    private static final long CONDITION_TIMEOUT_NANOS = 15_000_000_000L;
    private static final long POLL_NANOS = 2_000_000;
    private static final int AWAIT_SECONDS = 20;

    final Vertx vertx = Vertx.vertx();
    final List<Observation> observations = new ArrayList<>();
    final Fleet fleet;
    final Path directory;
    final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    Router router;

    RouterHarness(int workers) {
        this(FLEET_CONFIG.formatted(workers), CONFIG);
    }

    RouterHarness(String fleet, String config) {
        this(FleetPlan.read(YamlParser.parse("fleet", fleet)), config);
    }

    /** Starts a router to which discovery lists only these workers. */
    static RouterHarness withWorkers(RawWorker... workers) {
        return withWorkers(CONFIG, workers);
    }

    static RouterHarness withWorkers(String config, RawWorker... workers) {
        RouterHarness harness = new RouterHarness(new FleetPlan(1, 1, 1, 0, false, List.of(), List.of()), config);
        for (int i = 0; i < workers.length; i++) {
            harness.announce("raw-" + i, workers[i].serverSocket.getLocalPort(), "east", WorkerState.IN_SERVICE);
        }
        awaitUntil("the workers are listed", () -> harness.metric("pearladder_engines_listed") == workers.length);
        return harness;
    }

    /** Lists a worker with a state in the discovery service. */
    void announce(String worker, int port, String zone, WorkerState state) {
        fleet.run(() -> fleet.registry().change(new Entry(worker, "127.0.0.1", port, zone, "raw", 0, state, 0)));
    }

    /** Returns the value of a router's metric, or 0 where it is missing. */
    double metric(String name) {
        return get("/metrics")
                .body()
                .lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                .findFirst()
                .orElse(0);
    }

    private RouterHarness(FleetPlan plan, String config) {
        this.fleet = Fleet.start(vertx, plan, observation -> {
            synchronized (observations) {
                observations.add(observation);
            }
        });
        try {
            directory = Files.createTempDirectory("router-harness");
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
        router = startRouter("r1", discoveryAddress(), config);
        awaitUntil("the router is ready", () -> get("/v2/health/ready").statusCode() == 200);
    }

    Router startRouter(String name, String discoveryAddress, String config) {
        String head = "router: {name: " + name
                + ", listen: \"127.0.0.1:0\", admin: \"127.0.0.1:0\", hall: east, data: \"" + directory.resolve(name)
                + "\", stop_within: 2 s}\nlist: {address: \"" + discoveryAddress + "\", silence: 1500 ms}\n";
        return await(Router.start(
                        RouterConfigParser.read(YamlParser.parse("router", head + config)),
                        StickyFirstFitPolicy::new,
                        5)
                .toCompletionStage()
                .toCompletableFuture());
    }

    /** Stops a router and waits until it has ended. */
    static void stop(Router router) {
        await(router.stop().toCompletionStage().toCompletableFuture());
    }

    /** Starts the first router again, with the files in its data directory. */
    void restartRouter(String config) {
        router = startRouter("r1", discoveryAddress(), config);
    }

    String discoveryAddress() {
        return "127.0.0.1:" + fleet.discoveryPort();
    }

    void awaitReady() {
        awaitUntil(
                "the restarted router is ready", () -> get("/v2/health/ready").statusCode() == 200);
    }

    static <T> T await(CompletableFuture<T> future) {
        try {
            return future.get(AWAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException | TimeoutException | ExecutionException failed) {
            throw new IllegalStateException(failed);
        }
    }

    /** Waits for a condition that must become true; the timeout only ends a run that has failed. */
    static void awaitUntil(String description, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + CONDITION_TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("condition not met within the timeout: " + description);
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    URI uri(String path) {
        return URI.create("http://127.0.0.1:" + router.port() + path);
    }

    HttpResponse<String> get(String path) {
        return await(client.sendAsync(HttpRequest.newBuilder(uri(path)).build(), HttpResponse.BodyHandlers.ofString()));
    }

    HttpRequest.Builder inferRequest(String model, double workMs, String... headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(uri("/v2/models/" + model + "/infer"))
                .timeout(Duration.ofSeconds(15))
                .POST(HttpRequest.BodyPublishers.ofString(
                        "{\"parameters\":{\"work_ms\":" + workMs + "},\"inputs\":[]}"));
        return headers.length == 0 ? builder : builder.headers(headers);
    }

    CompletableFuture<HttpResponse<String>> send(String model, double workMs, String... headers) {
        return client.sendAsync(inferRequest(model, workMs, headers).build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Opens a connection to the router and writes bytes on it. */
    Socket sendRaw(String request) throws IOException {
        Socket socket = new Socket("127.0.0.1", router.port());
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
        return socket;
    }

    /** Returns an inference request as sent over the wire; each header ends with CRLF. */
    static String postRequest(String model, String headers, String body) {
        return "POST /v2/models/" + model + "/infer HTTP/1.1\r\nhost: x\r\n" + headers + "content-length: "
                + body.length() + "\r\n\r\n" + body;
    }

    /** Returns the outcome of a response: settled (succeeded), dismissed (rejected) or terminated (failed). */
    static String outcome(HttpResponse<?> response) {
        return response.headers().firstValue("pearladder-state").orElse("");
    }

    /** Returns the emulator's observations of one event, in order. */
    List<Observation> observations(String event) {
        synchronized (observations) {
            return observations.stream()
                    .filter(observation -> observation.event().equals(event))
                    .toList();
        }
    }

    /** Returns the worker at which the newest request of a model arrived. */
    String workerOf(String model) {
        return observations(Observation.ARRIVED).stream()
                .filter(observation -> observation.model().equals(model))
                .reduce((earlier, later) -> later)
                .orElseThrow()
                .worker();
    }

    @Override
    public void close() {
        stop(router);
        fleet.close();
        await(vertx.close().toCompletionStage().toCompletableFuture());
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }
}
