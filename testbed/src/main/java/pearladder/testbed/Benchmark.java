package pearladder.testbed;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import pearladder.emulator.FleetPlan;
import pearladder.emulator.net.Fleet;
import pearladder.kserve.DiscoveryMessage.Entry;
import pearladder.kserve.DiscoveryMessage.Standing;
import pearladder.kserve.Headers;
import pearladder.kserve.RequestOutcome;

/**
 * What a router adds to a call: the same load straight to instant engines, through a bare pass-through and through the
 * router, in turns within one run; medians over the rounds. Callers are closed-loop, so this measures cost, not queues.
 */
public final class Benchmark {
    private static final int ENGINES = 8;

    private record Way(String name, List<Integer> ports) {}

    private static final class Round {
        final Histogram times = new Histogram(10_000_000_000L, 3);
        long settled;
        long other;
        double seconds;
    }

    private final Path folder;
    private final PrintStream out;
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));

    private Benchmark(Path folder, PrintStream out) {
        this.folder = folder;
        this.out = out;
    }

    /**
     * Runs rounds of so many seconds for each way and each number of callers, and prints the table.
     *
     * @param records instead of the ways to an engine: a router without records, with them, and with a store that stands
     *         still for half a second out of two
     */
    public static void run(List<String> program, Path folder, int rounds, int seconds, boolean records, PrintStream out)
            throws IOException {
        Files.createDirectories(folder);
        Benchmark measure = new Benchmark(folder, out);
        ChildProcesses processes = new ChildProcesses(program, folder);
        try {
            measure.run(processes, rounds, seconds, records);
        } finally {
            processes.close();
            measure.vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }

    private void run(ChildProcesses processes, int rounds, int seconds, boolean records) throws IOException {
        List<Integer> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(instantEngine());
        }
        Fleet list = Fleet.start(vertx, new FleetPlan(1, 1, 1, 0, false, List.of(), List.of()), seen -> {});
        for (int i = 0; i < ENGINES; i++) {
            int port = engines.get(i);
            String id = "instant-" + i;
            list.run(() ->
                    list.roll().change(new Entry(id, "127.0.0.1", port, "east", "instant", 0, Standing.IN_SERVICE, 0)));
        }
        List<Way> ways = new ArrayList<>();
        DiskStallInjector stalls = null;
        if (records) {
            ways.add(router(processes, "off", list.listPort(), ""));
            ways.add(router(processes, "records", list.listPort(), "records: {}\n"));
            ways.add(router(processes, "stalling", list.listPort(), "records: {}\n"));
            stalls = DiskStallInjector.begin(folder.resolve("data-stalling/records"));
        } else {
            String targets =
                    String.join(",", engines.stream().map(Object::toString).toList());
            int through = ChildProcesses.number(
                    processes.start("pass-through", "pass-through", "--targets", targets), "port");
            ways.add(new Way("direct", engines));
            ways.add(new Way("pass-through", List.of(through)));
            ways.add(router(processes, "router", list.listPort(), ""));
        }
        for (int callers : new int[] {1, 32}) {
            Map<String, List<Round>> all = new LinkedHashMap<>();
            for (Way way : ways) {
                round(way, callers, 2);
            }
            for (int i = 0; i < rounds; i++) {
                for (Way way : ways) {
                    all.computeIfAbsent(way.name(), w -> new ArrayList<>()).add(round(way, callers, seconds));
                }
            }
            print(callers, rounds, seconds, all);
        }
        if (stalls != null) {
            stalls.close();
        }
        list.close();
    }

    private Way router(ChildProcesses processes, String name, int list, String more) throws IOException {
        Path file = folder.resolve(name + ".yaml");
        Files.writeString(
                file,
                "router: {name: " + name + ", listen: \"127.0.0.1:0\", hall: east, data: \""
                        + folder.resolve("data-" + name) + "\"}\nlist: {address: \"127.0.0.1:" + list + "\"}\n"
                        + "categories:\n  draft: {expected: 1 s, abandon: 3 s, effect: retriable}\n"
                        + "models:\n  - {name: \"m-*\", memory: 100 MB, lanes: 64}\n" + more);
        return new Way(
                name,
                List.of(ChildProcesses.number(
                        processes.start(name, "router", "-c", file.toString(), "--log", "JSON"), "port")));
    }

    private int instantEngine() {
        return vertx.createHttpServer(
                        new HttpServerOptions().setHost("127.0.0.1").setPort(0).setTcpNoDelay(true))
                .requestHandler(request -> request.body().onSuccess(body -> request.response()
                        .putHeader("content-type", "application/json")
                        .putHeader(Headers.COPY, "stood")
                        .end("{\"model_name\":\"" + request.path().split("/")[3] + "\",\"outputs\":[]}")))
                .listen()
                .map(HttpServer::actualPort)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    private Round round(Way way, int callers, int seconds) {
        HttpClient client = vertx.createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true), new PoolOptions().setHttp1MaxSize(callers + 8));
        Round round = new Round();
        long begun = System.nanoTime();
        long end = begun + seconds * 1_000_000_000L;
        Promise<Round> done = Promise.promise();
        vertx.getOrCreateContext().runOnContext(run -> {
            int[] left = {callers};
            for (int i = 0; i < callers; i++) {
                caller(client, way, i, 0, end, round, () -> {
                    if (--left[0] == 0) {
                        round.seconds = (System.nanoTime() - begun) / 1e9;
                        done.complete(round);
                    }
                });
            }
        });
        Round result = done.future().toCompletionStage().toCompletableFuture().join();
        client.close();
        return result;
    }

    private void caller(HttpClient client, Way way, int caller, int number, long end, Round round, Runnable done) {
        long sent = System.nanoTime();
        if (sent >= end) {
            done.run();
            return;
        }
        int port = way.ports().get((caller + number) % way.ports().size());
        client.request(new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost("127.0.0.1")
                        .setPort(port)
                        .setURI("/v2/models/m-" + (caller + number) % 20 + "/infer"))
                .compose(request -> request.send(Buffer.buffer("{\"inputs\":[{\"name\":\"in\",\"datatype\":\"BYTES\","
                        + "\"shape\":[1],\"data\":[\"some text of a usual length to be translated\"]}]}")))
                .compose(response -> response.body().compose(body -> Future.succeededFuture(response)))
                .onComplete(
                        response -> {
                            String state = response.getHeader(Headers.STATE);
                            if (response.statusCode() == 200
                                    && (state == null || state.equals(RequestOutcome.SETTLED.code()))) {
                                round.settled++;
                                round.times.recordValue(Math.min(9_000_000_000L, System.nanoTime() - sent));
                            } else {
                                round.other++;
                            }
                            caller(client, way, caller, number + 1, end, round, done);
                        },
                        failed -> {
                            round.other++;
                            caller(client, way, caller, number + 1, end, round, done);
                        });
    }

    private void print(int callers, int rounds, int seconds, Map<String, List<Round>> all) {
        out.printf(
                Locale.ROOT,
                "%n%d caller%s, %d rounds of %d s each, medians (lowest to highest)%n",
                callers,
                callers == 1 ? "" : "s",
                rounds,
                seconds);
        out.printf(
                Locale.ROOT, "%-14s %22s %22s %26s %10s%n", "", "p50 us", "p99 us", "settled a second", "not settled");
        Map<String, double[]> medians = new LinkedHashMap<>();
        all.forEach((name, list) -> {
            double[] p50 = sorted(list, r -> r.times.getValueAtPercentile(50) / 1e3);
            double[] p99 = sorted(list, r -> r.times.getValueAtPercentile(99) / 1e3);
            double[] rate = sorted(list, r -> r.settled / r.seconds);
            medians.put(name, new double[] {median(p50), median(p99), median(rate)});
            out.printf(
                    Locale.ROOT,
                    "%-14s %22s %22s %26s %10d%n",
                    name,
                    range(p50),
                    range(p99),
                    range(rate),
                    list.stream().mapToLong(r -> r.other).sum());
        });
        List<String> names = List.copyOf(all.keySet());
        // a table of refusals is no measurement
        all.forEach((name, list) -> {
            if (list.stream().mapToLong(r -> r.other).sum()
                    > 0.01 * list.stream().mapToLong(r -> r.settled).sum()) {
                throw new IllegalStateException(name + ": more than one call in a hundred was not settled");
            }
        });
        String base = names.contains("pass-through") ? "pass-through" : names.get(0);
        for (String name : names.subList(names.indexOf(base) + 1, names.size())) {
            double[] than = medians.get(base);
            double[] one = medians.get(name);
            out.printf(
                    Locale.ROOT,
                    "%s against %s: p50 %.2f times, p99 %.2f times, throughput %.2f times%n",
                    name,
                    base,
                    one[0] / than[0],
                    one[1] / than[1],
                    one[2] / than[2]);
        }
    }

    private static double[] sorted(List<Round> rounds, java.util.function.ToDoubleFunction<Round> figure) {
        return rounds.stream().mapToDouble(figure).sorted().toArray();
    }

    private static double median(double[] sorted) {
        return sorted[sorted.length / 2];
    }

    private static String range(double[] sorted) {
        return String.format(Locale.ROOT, "%.0f (%.0f to %.0f)", median(sorted), sorted[0], sorted[sorted.length - 1]);
    }
}
