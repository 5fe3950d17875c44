package pearladder.testbed;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import pearladder.emulator.FleetPlan;
import pearladder.emulator.net.Fleet;
import pearladder.kserve.DiscoveryMessage.Entry;
import pearladder.kserve.DiscoveryMessage.WorkerState;
import pearladder.kserve.Headers;

/**
 * Measures the overhead that a router adds to a request: the same load is sent directly to workers that answer at once,
 * through a plain pass-through proxy, and through the router, alternating within one run. The clients are closed-loop,
 * so this measures processing cost and no queueing.
 */
public final class Benchmark {
    private static final int WORKERS = 8;
    private static final int WARM_UP_SECONDS = 2;
    private static final int[] CLIENT_COUNTS = {1, 32};
    private static final String PASS_THROUGH = "pass-through";
    private static final String STALLING = "stalling";
    /** Enables the event log in a router's configuration. */
    private static final String WITH_EVENT_LOG = "records: {}\n";

    /** A path of requests to the workers, given by the ports to which clients send. */
    private record RequestPath(String name, List<Integer> ports) {}

    private final Path folder;
    private final PrintStream out;
    private final ChildProcesses processes;
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));

    private Benchmark(ChildProcesses processes, Path folder, PrintStream out) {
        this.processes = processes;
        this.folder = folder;
        this.out = out;
    }

    /**
     * Runs the rounds for each request path and each number of clients, and prints the tables.
     *
     * @param program the command that runs this program
     * @param seconds duration of a round
     * @param records whether to compare routers instead of request paths: without an event log, with one, and with one
     *     whose disk stalls for half a second out of every two
     */
    public static void run(List<String> program, Path folder, int rounds, int seconds, boolean records, PrintStream out)
            throws IOException {
        Files.createDirectories(folder);
        ChildProcesses processes = new ChildProcesses(program, folder);
        Benchmark benchmark = new Benchmark(processes, folder, out);
        try {
            benchmark.run(rounds, seconds, records);
        } finally {
            processes.close();
            benchmark.vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }

    private void run(int rounds, int seconds, boolean records) throws IOException {
        List<Integer> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(startInstantWorker());
        }
        Fleet registry = startRegistry(workers);
        if (records) {
            List<RequestPath> requestPaths = eventLogPaths(registry.discoveryPort());
            DiskStallInjector stalls = DiskStallInjector.begin(folder.resolve("data-" + STALLING + "/records"));
            try {
                measure(requestPaths, rounds, seconds);
            } finally {
                stalls.close();
            }
        } else {
            measure(requestPaths(workers, registry.discoveryPort()), rounds, seconds);
        }
        registry.close();
    }

    private List<RequestPath> eventLogPaths(int discoveryPort) throws IOException {
        return List.of(
                startRouter("off", discoveryPort, ""),
                startRouter("records", discoveryPort, WITH_EVENT_LOG),
                startRouter(STALLING, discoveryPort, WITH_EVENT_LOG));
    }

    private List<RequestPath> requestPaths(List<Integer> workers, int discoveryPort) throws IOException {
        return List.of(
                new RequestPath("direct", workers),
                startPassThrough(workers),
                startRouter("router", discoveryPort, ""));
    }

    private void measure(List<RequestPath> requestPaths, int rounds, int seconds) {
        for (int clients : CLIENT_COUNTS) {
            for (RequestPath requestPath : requestPaths) {
                ClosedLoopClients.run(vertx, requestPath.ports(), clients, WARM_UP_SECONDS);
            }
            Map<String, List<ClosedLoopClients.Round>> measured = new LinkedHashMap<>();
            for (int i = 0; i < rounds; i++) {
                for (RequestPath requestPath : requestPaths) {
                    measured.computeIfAbsent(requestPath.name(), name -> new ArrayList<>())
                            .add(ClosedLoopClients.run(vertx, requestPath.ports(), clients, seconds));
                }
            }
            out.printf(
                    Locale.ROOT,
                    "%n%d caller%s, %d rounds of %d s each, medians (lowest to highest)%n",
                    clients,
                    clients == 1 ? "" : "s",
                    rounds,
                    seconds);
            String first = requestPaths.get(0).name();
            new BenchmarkTable(measured, out).print(measured.containsKey(PASS_THROUGH) ? PASS_THROUGH : first);
        }
    }

    private Fleet startRegistry(List<Integer> workers) {
        Fleet registry = Fleet.start(vertx, new FleetPlan(1, 1, 1, 0, false, List.of(), List.of()), seen -> {});
        for (int i = 0; i < workers.size(); i++) {
            int port = workers.get(i);
            Entry entry = new Entry("instant-" + i, "127.0.0.1", port, "east", "instant", 0, WorkerState.IN_SERVICE, 0);
            registry.run(() -> registry.registry().change(entry));
        }
        return registry;
    }

    private RequestPath startPassThrough(List<Integer> workers) throws IOException {
        String targets = String.join(",", workers.stream().map(Object::toString).toList());
        String line = processes.start(PASS_THROUGH, PASS_THROUGH, "--targets", targets);
        return new RequestPath(PASS_THROUGH, List.of(ChildProcesses.number(line, "port")));
    }

    private RequestPath startRouter(String name, int discoveryPort, String furtherSections) throws IOException {
        Path file = folder.resolve(name + ".yaml");
        Files.writeString(
                file,
                "router: {name: " + name + ", listen: \"127.0.0.1:0\", hall: east, data: \""
                        + folder.resolve("data-" + name) + "\"}\nlist: {address: \"127.0.0.1:" + discoveryPort + "\"}\n"
                        + "categories:\n  draft: {expected: 1 s, abandon: 3 s, effect: retriable}\n"
                        + "models:\n  - {name: \"m-*\", memory: 100 MB, lanes: 64}\n" + furtherSections);
        String line = processes.start(name, "router", "-c", file.toString(), "--log", "JSON");
        return new RequestPath(name, List.of(ChildProcesses.number(line, "port")));
    }

    /** Starts a worker that answers at once and returns its port. */
    private int startInstantWorker() {
        return vertx.createHttpServer(
                        new HttpServerOptions().setHost("127.0.0.1").setPort(0).setTcpNoDelay(true))
                .requestHandler(request -> request.body().onSuccess(body -> request.response()
                        .putHeader("content-type", "application/json")
                        .putHeader(Headers.INSTANCE_STATUS, "stood")
                        .end("{\"model_name\":\"" + request.path().split("/")[3] + "\",\"outputs\":[]}")))
                .listen()
                .map(HttpServer::actualPort)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }
}
