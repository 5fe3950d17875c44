package pearladder.router.kserve;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import pearladder.config.YamlParser;
import pearladder.emulator.FleetPlan;
import pearladder.emulator.Observation;
import pearladder.emulator.net.Fleet;
import pearladder.kserve.DiscoveryMessage.Entry;
import pearladder.kserve.DiscoveryMessage.WorkerState;
import pearladder.routing.StickyFirstFitPolicy;

/** A router, its stand-ins and a client in one process, on ports given by the system. */
final class Stand implements AutoCloseable {
    static final String RULES =
            """
            categories:
              draw: {expected: 1 s, abandon: 3 s, effect: retriable}
              post: {expected: 1 s, abandon: 3 s, effect: binding}
              commit: {expected: 1 s, abandon: 3 s, effect: fingerprinted, remembered: 8 s}
            models:
              - {name: "pair-*", memory: 400 MB, lanes: 2, category: draw}
            """;
    static final String FLEET =
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

    final Vertx vertx = Vertx.vertx();
    final List<Observation> seen = new ArrayList<>();
    final Fleet fleet;
    final Path folder;
    final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    Router router;

    Stand(int engines) {
        this(FLEET.formatted(engines), RULES);
    }

    Stand(String fleet, String rules) {
        this(FleetPlan.read(YamlParser.read("fleet", fleet)), rules);
    }

    /** A router whose list names only these. */
    static Stand of(RawEngine... engines) {
        return of(RULES, engines);
    }

    static Stand of(String rules, RawEngine... engines) {
        Stand stand = new Stand(new FleetPlan(1, 1, 1, 0, false, List.of(), List.of()), rules);
        for (int i = 0; i < engines.length; i++) {
            stand.list("raw-" + i, engines[i].door.getLocalPort(), "east", WorkerState.IN_SERVICE);
        }
        until("the engines are listed", () -> stand.metric("pearladder_engines_listed") == engines.length);
        return stand;
    }

    /** The list tells of an engine. */
    void list(String engine, int port, String hall, WorkerState standing) {
        fleet.run(() -> fleet.registry().change(new Entry(engine, "127.0.0.1", port, hall, "raw", 0, standing, 0)));
    }

    /** A figure of the router's metrics; 0 where it is not there. */
    double metric(String name) {
        return get("/metrics")
                .body()
                .lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                .findFirst()
                .orElse(0);
    }

    private Stand(FleetPlan plan, String rules) {
        this.fleet = Fleet.start(vertx, plan, one -> {
            synchronized (seen) {
                seen.add(one);
            }
        });
        try {
            folder = Files.createTempDirectory("stand");
        } catch (IOException broken) {
            throw new IllegalStateException(broken);
        }
        router = startRouter("r1", "127.0.0.1:" + this.fleet.discoveryPort(), rules);
        until("the list is there", () -> get("/v2/health/ready").statusCode() == 200);
    }

    Router startRouter(String name, String list, String rules) {
        String head = "router: {name: " + name
                + ", listen: \"127.0.0.1:0\", admin: \"127.0.0.1:0\", hall: east, data: \"" + folder.resolve(name)
                + "\", stop_within: 2 s}\nlist: {address: \"" + list + "\", silence: 1500 ms}\n";
        return await(Router.start(
                        RouterConfigParser.read(YamlParser.read("router", head + rules)), StickyFirstFitPolicy::new, 5)
                .toCompletionStage()
                .toCompletableFuture());
    }

    static <T> T await(CompletableFuture<T> future) {
        try {
            return future.get(20, TimeUnit.SECONDS);
        } catch (InterruptedException | TimeoutException | java.util.concurrent.ExecutionException failed) {
            throw new IllegalStateException(failed);
        }
    }

    /** Waits for a state that must come; the bound only ends a run that has failed. */
    static void until(String what, BooleanSupplier holds) {
        long end = System.nanoTime() + 15_000_000_000L;
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("did not come: " + what);
            }
            java.util.concurrent.locks.LockSupport.parkNanos(2_000_000);
        }
    }

    URI uri(String path) {
        return URI.create("http://127.0.0.1:" + router.port() + path);
    }

    HttpResponse<String> get(String path) {
        return await(client.sendAsync(HttpRequest.newBuilder(uri(path)).build(), HttpResponse.BodyHandlers.ofString()));
    }

    HttpRequest.Builder call(String model, double workMs, String... headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(uri("/v2/models/" + model + "/infer"))
                .timeout(Duration.ofSeconds(15))
                .POST(HttpRequest.BodyPublishers.ofString(
                        "{\"parameters\":{\"work_ms\":" + workMs + "},\"inputs\":[]}"));
        return headers.length == 0 ? builder : builder.headers(headers);
    }

    CompletableFuture<HttpResponse<String>> send(String model, double workMs, String... headers) {
        return client.sendAsync(call(model, workMs, headers).build(), HttpResponse.BodyHandlers.ofString());
    }

    static String state(HttpResponse<?> response) {
        return response.headers().firstValue("pearladder-state").orElse("");
    }

    /** What was seen of a kind, in order. */
    List<Observation> seen(String what) {
        synchronized (seen) {
            return seen.stream().filter(one -> one.event().equals(what)).toList();
        }
    }

    /** The engine that runs a model's calls. */
    String engineOf(String model) {
        return seen(Observation.ARRIVED).stream()
                .filter(one -> one.model().equals(model))
                .reduce((a, b) -> b)
                .orElseThrow()
                .worker();
    }

    @Override
    public void close() {
        await(router.stop().toCompletionStage().toCompletableFuture());
        fleet.close();
        await(vertx.close().toCompletionStage().toCompletableFuture());
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException broken) {
            throw new IllegalStateException(broken);
        }
    }
}
