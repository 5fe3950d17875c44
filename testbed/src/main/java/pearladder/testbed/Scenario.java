package pearladder.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import pearladder.emulator.Observation;
import pearladder.emulator.ObservationLog;
import pearladder.emulator.net.VertxTimeline;

/** Plays one day: starts the processes, sends the traffic, brings the troubles, judges the rules and writes the table. */
public final class Scenario {
    /** What a day came to. */
    public record Outcome(
            double credit,
            double worstWindow,
            long calls,
            List<String> table,
            InvariantChecker.Verdict verdict,
            List<String> faults) {
        /** Whether every rule was kept and nothing else went wrong. */
        public boolean kept() {
            return verdict.breaches().isEmpty() && faults.isEmpty();
        }
    }

    /** A run whose generator lagged more than this at p99 measured the generator. */
    private static final long LAG_MILLIS = 50;

    private final ScenarioPlan plan;
    private final Path script;
    private final Path out;
    private final ChildProcesses processes;
    private final List<String> routerWords;
    private final PrintStream progress;
    private final HttpClient control = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();
    private final ExecutorService helper = Executors.newSingleThreadExecutor(Scenario::daemon);
    private final ExecutorService starters = Executors.newCachedThreadPool(Scenario::daemon);
    private final Map<String, Integer> ports = java.util.Collections.synchronizedMap(new LinkedHashMap<>());
    private final Map<String, String> halls = new LinkedHashMap<>();
    private final List<String> faults = java.util.Collections.synchronizedList(new ArrayList<>());
    private final ClientLoadBalancer front;
    private final LoadStatistics books = new LoadStatistics();
    private final RouterWatch watch = new RouterWatch(this::metrics);
    private final ReleaseScript releases = new ReleaseScript(control);
    private final Map<String, Integer> doors = java.util.Collections.synchronizedMap(new LinkedHashMap<>());
    private final List<Vertx> loops = new ArrayList<>();
    private final List<LoadGenerator> clients = new ArrayList<>();
    private ObservationLog tape;
    private TraceWorkload trace;
    private int controlPort;
    private int listPort;
    private volatile long begun;
    private double took;

    private Scenario(Path script, Path out, List<String> program, List<String> routerWords, PrintStream progress) {
        this.plan = ScenarioPlan.read(script);
        this.script = script;
        this.out = out;
        this.processes = new ChildProcesses(
                program, out, plan.routers() * 2 > Runtime.getRuntime().availableProcessors());
        this.routerWords = routerWords;
        this.progress = progress;
        this.front = new ClientLoadBalancer(plan.clients().frontLag());
    }

    private static Thread daemon(Runnable run) {
        Thread thread = new Thread(run, "troubles");
        thread.setDaemon(true);
        return thread;
    }

    /** Only reads a script; throws {@link pearladder.config.Mistakes.Found} with every mistake in it. */
    public static void check(Path script) {
        ScenarioPlan.read(script);
    }

    /**
     * Plays a day.
     *
     * @param out folder for the tapes, the processes' files and logs, and the table
     * @param program the command that runs this program
     * @param routerWords further words of the routers' command line
     * @param progress where lines of progress go
     */
    public static Outcome play(
            Path script, Path out, List<String> program, List<String> routerWords, PrintStream progress)
            throws IOException, InterruptedException {
        return play(script, null, out, program, routerWords, progress);
    }

    /** The same with a trace's calls in place of the script's traffic, whose flows then only name whose calls they are. */
    public static Outcome play(
            Path script,
            TraceWorkload.Terms trace,
            Path out,
            List<String> program,
            List<String> routerWords,
            PrintStream progress)
            throws IOException, InterruptedException {
        Files.createDirectories(out);
        Scenario day = new Scenario(script, out, program, routerWords, progress);
        day.trace = trace == null ? null : new TraceWorkload(trace, day.plan, out);
        try {
            return day.play();
        } finally {
            day.helper.shutdownNow();
            day.starters.shutdownNow();
            day.processes.close();
            if (day.trace != null) {
                day.trace.close();
            }
        }
    }

    private Outcome play() throws IOException, InterruptedException {
        for (ScenarioPlan.Trouble trouble : plan.troubles()) {
            if (trouble.what().rehearsedOnly()) {
                throw new IOException(script + ": the trouble "
                        + trouble.what().name().toLowerCase(Locale.ROOT).replace('_', '-')
                        + " is only rehearsed; use pearladder rehearse, or take it out");
            }
        }
        JsonNode whole = new YAMLMapper().readTree(script.toFile());
        startEngines(whole);
        tape = new ObservationLog(out.resolve("clients.tape"));
        for (int i = 0; i < plan.routers(); i++) {
            String name = "r" + (i + 1);
            halls.put(name, plan.halls().get(i % plan.halls().size()));
            ports.put(name, 0);
            writeRouter(whole, name, i);
        }
        startAll();
        for (String name : ports.keySet()) {
            front.add(name, halls.get(name), ports.get(name));
        }
        for (String name : ports.keySet()) {
            // a router that is started again learns from all the others what was ordered meanwhile
            Path file = out.resolve(name + ".yaml");
            ObjectNode kept = (ObjectNode) new YAMLMapper().readTree(file.toFile());
            ArrayNode from = kept.withObject("/releases").putArray("learn_from");
            doors.forEach((other, door) -> {
                if (!other.equals(name)) {
                    from.add("127.0.0.1:" + door);
                }
            });
            new YAMLMapper().writeValue(file.toFile(), kept);
        }
        String address = "http://127.0.0.1:" + ports.get("r1");
        progress.println("running: " + plan.fleet().engines().size() + " engines, " + plan.routers()
                + " routers; while it runs, try");
        ScenarioPlan.Flow flow = plan.flows().get(0);
        progress.println("  curl -i " + address + "/v2/models/" + flow.prefix() + "0/infer -H 'pearladder-category: "
                + flow.category() + "'"
                + (flow.account().isEmpty() ? "" : " -H 'pearladder-account: " + flow.account() + "'")
                + " -d '{\"inputs\":[]}'");
        traffic();
        for (String router : ports.keySet()) {
            boolean alive = processes.alive(router);
            int code = processes.stop(router);
            if (alive && code != 0) {
                faults.add(router + " ended with " + code + " after SIGTERM, not 0");
            }
        }
        processes.stop("engines");
        tape.close();
        return judge();
    }

    /** All at once: one after the other, a dozen take half a minute. */
    private void startAll() throws IOException {
        List<CompletableFuture<Void>> all = new ArrayList<>();
        for (String name : List.copyOf(ports.keySet())) {
            all.add(CompletableFuture.runAsync(
                    () -> {
                        try {
                            startRouter(name);
                        } catch (IOException failed) {
                            throw new UncheckedIOException(failed);
                        }
                    },
                    starters));
        }
        try {
            CompletableFuture.allOf(all.toArray(CompletableFuture[]::new)).join();
        } catch (CompletionException failed) {
            throw failed.getCause() instanceof UncheckedIOException io
                    ? io.getCause()
                    : new IOException(failed.getCause());
        }
    }

    private void startEngines(JsonNode whole) throws IOException {
        Path file = out.resolve("fleet.yaml");
        ObjectNode fleet = new YAMLMapper().createObjectNode();
        fleet.set("fleet", whole.get("fleet"));
        new YAMLMapper().writeValue(file.toFile(), fleet);
        String line = processes.start(
                "engines",
                "engines",
                "-c",
                file.toString(),
                "--tape",
                out.resolve("engines.tape").toString());
        listPort = ChildProcesses.number(line, "list");
        controlPort = ChildProcesses.number(line, "control");
    }

    private void writeRouter(JsonNode whole, String name, int number) throws IOException {
        ObjectNode file = whole.get("router").deepCopy();
        ObjectNode head = file.withObject("/router");
        head.put("name", name)
                .put("admin", "127.0.0.1:0")
                .put("listen", "127.0.0.1:" + ports.get(name))
                .put("hall", halls.get(name))
                .put("number", number)
                .put("data", out.resolve("data-" + name).toString());
        if (!head.has("peers")) {
            head.put("peers", plan.routers());
        }
        file.withObject("/list").put("address", "127.0.0.1:" + listPort);
        new YAMLMapper().writeValue(out.resolve(name + ".yaml").toFile(), file);
    }

    /** Starts a router and waits until it is ready; after the first start it keeps its port. */
    private void startRouter(String name) throws IOException {
        List<String> words = new ArrayList<>(
                List.of("router", "-c", out.resolve(name + ".yaml").toString(), "--log", "JSON"));
        words.addAll(routerWords);
        String line = processes.start(name, words.toArray(String[]::new));
        int port = ChildProcesses.number(line, "port");
        doors.put(name, ChildProcesses.number(line, "admin"));
        boolean first = ports.put(name, port) == 0;
        if (first) {
            Path file = out.resolve(name + ".yaml");
            ObjectNode kept = (ObjectNode) new YAMLMapper().readTree(file.toFile());
            kept.withObject("/router").put("listen", "127.0.0.1:" + port).put("admin", "127.0.0.1:" + doors.get(name));
            new YAMLMapper().writeValue(file.toFile(), kept);
        }
        for (int i = 0; i < 1500; i++) {
            if (status(port) == 200) {
                tape.accept(seen(Observation.STARTED, name, ""));
                return;
            }
            pause(20);
        }
        throw new IOException(name + " was not ready within 30 s");
    }

    private static void pause(long millis) throws IOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }

    /** The metrics of each router that answers. */
    private Map<String, String> metrics() {
        Map<String, String> all = new LinkedHashMap<>();
        for (String router : List.copyOf(ports.keySet())) {
            try {
                all.put(
                        router,
                        control.send(
                                        HttpRequest.newBuilder(URI.create(
                                                        "http://127.0.0.1:" + ports.get(router) + "/metrics"))
                                                .timeout(Duration.ofSeconds(2))
                                                .build(),
                                        HttpResponse.BodyHandlers.ofString())
                                .body());
            } catch (IOException away) {
                continue;
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
        return all;
    }

    private int status(int port) {
        try {
            return control.send(
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/v2/health/ready"))
                                    .timeout(Duration.ofSeconds(2))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException notYet) {
            return 0;
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private static Observation seen(String what, String router, String note) {
        return new Observation(System.nanoTime(), what, router, "", 0, "", "", note, 0);
    }

    private void traffic() throws InterruptedException {
        FaultInjector troubles = new FaultInjector(plan, new World());
        RequestFeed feed = new RequestFeed(
                trace != null ? trace : new SyntheticWorkload(plan),
                plan.clients().lanes());
        CountDownLatch warm = new CountDownLatch(plan.clients().lanes());
        CountDownLatch done = new CountDownLatch(plan.clients().lanes());
        for (RequestFeed.Lane lane : feed.lanes()) {
            Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
            HttpClientDriver wire = new HttpClientDriver(vertx);
            clients.add(
                    new LoadGenerator(new VertxTimeline(vertx), wire, plan, loops.size(), lane, front, books, tape));
            loops.add(vertx);
            vertx.runOnContext(run -> {
                wire.watch(tape);
                wire.warmUp(List.copyOf(ports.values())).onComplete(end -> warm.countDown());
            });
        }
        warm.await();
        begun = System.nanoTime() + 200_000_000L;
        for (int i = 0; i < loops.size(); i++) {
            LoadGenerator some = clients.get(i);
            loops.get(i).runOnContext(run -> some.play(begun, done::countDown));
        }
        loops.get(0).setPeriodic(200, tick -> tape.flush());
        // troubles are slow to bring (processes start): they keep a thread of their own, and so stay in order
        helper.execute(() -> {
            long next;
            while ((next = troubles.due(System.nanoTime() - begun)) >= 0
                    && !Thread.currentThread().isInterrupted()) {
                java.util.concurrent.locks.LockSupport.parkNanos(
                        Math.max(1_000_000, Math.min(50_000_000, next - (System.nanoTime() - begun))));
            }
        });
        long bound = trace != null ? Long.MAX_VALUE : plan.lasting() / 1_000_000 + 60_000;
        while (!done.await(5, TimeUnit.SECONDS)) {
            watch.sample();
            progress.println(String.format(
                    Locale.ROOT,
                    "  %4.0f s: %d calls ended, credit %.3f",
                    (System.nanoTime() - begun) / 1e9,
                    books.calls(),
                    books.credit()));
            bound -= 5_000;
            if (bound < 0) {
                faults.add("the clients did not end in time");
                break;
            }
        }
        took = (System.nanoTime() - begun) / 1e9;
        loops.forEach(
                vertx -> vertx.close().toCompletionStage().toCompletableFuture().join());
    }

    private final class World implements FaultInjector.World {
        @Override
        public List<String> engines(String hall) {
            List<String> up = new ArrayList<>();
            for (String line : get("/engines").split("\n")) {
                String[] words = line.split(" ");
                if (words.length == 4 && words[2].equals("up") && (hall.isEmpty() || words[1].equals(hall))) {
                    up.add(words[0]);
                }
            }
            return up;
        }

        @Override
        public List<String> routers(String hall) {
            return halls.keySet().stream()
                    .filter(name -> hall.isEmpty() || halls.get(name).equals(hall))
                    .toList();
        }

        @Override
        public void toEngines(String what, List<String> engines, String model, double figure) {
            get("/do?what=" + what + "&engines=" + String.join(",", engines) + "&figure=" + figure
                    + (model.isEmpty() ? "" : "&model=" + URLEncoder.encode(model, StandardCharsets.UTF_8)));
        }

        private String get(String path) {
            try {
                HttpResponse<String> answer = control.send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + controlPort + path.replace("~", "%7E")))
                                .timeout(Duration.ofSeconds(60))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
                if (answer.statusCode() != 200) {
                    faults.add("a trouble could not be brought: " + path + ": " + answer.body());
                }
                return answer.body();
            } catch (IOException failed) {
                faults.add("a trouble could not be brought: " + path + ": " + failed);
                return "";
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
                return "";
            }
        }

        @Override
        public void killRouter(String router) {
            tape.accept(seen(Observation.KILLED, router, ""));
            processes.kill(router);
            doors.remove(router);
            front.died(router, System.nanoTime());
        }

        /** A process takes a second to start; the troubles after it don't wait for it. */
        @Override
        public void startRouter(String router) {
            starters.execute(() -> {
                try {
                    Scenario.this.startRouter(router);
                    front.back(router);
                } catch (IOException failed) {
                    faults.add(failed.getMessage());
                }
            });
        }

        @Override
        public void toRouters(ScenarioPlan.Kind what, List<String> routers, double figure) {
            throw new IllegalStateException(what + " is only rehearsed");
        }

        @Override
        public void heedless(boolean on) {
            for (int i = 0; i < clients.size(); i++) {
                LoadGenerator some = clients.get(i);
                loops.get(i).runOnContext(run -> some.heedless(on));
            }
        }

        @Override
        public void order(ReleaseScript.Order order) {
            // a router that dies under the order is no fault; it gets the order again when it is back
            releases.give(order, new LinkedHashMap<>(doors)).stream()
                    .filter(line -> !line.endsWith("no answer"))
                    .forEach(faults::add);
        }

        @Override
        public void say(String what) {
            tape.accept(seen(Observation.TROUBLE, "", what));
            progress.println(String.format(Locale.ROOT, "  %4.0f s: %s", (System.nanoTime() - begun) / 1e9, what));
        }
    }

    private Outcome judge() throws IOException {
        List<Observation> all = new ArrayList<>();
        for (String name : List.of("engines.tape", "clients.tape")) {
            int torn = ObservationLog.read(out.resolve(name), all::add);
            if (torn > 1) {
                faults.add(name + " has " + torn + " lines that can't be read");
            }
        }
        Map<String, String> places = plan.places();
        InvariantChecker.Verdict verdict = new InvariantChecker(plan.rules(), plan.slack(), places).check(all);
        List<String> lines = new ArrayList<>(books.table());
        lines.addAll(VersionShares.lines(all, begun, plan.releases()));
        lines.add(Results.fetched(plan, all, begun));
        lines.add("");
        lines.add(String.format(
                Locale.ROOT,
                "%d calls in %d tries over %.0f s; the generator was late by %.1f ms at p99, " + "%.1f ms at most",
                books.calls(),
                books.tries(),
                took,
                books.lagMillis(99),
                books.lagMillis(100)));
        watch.lines().forEach(lines::add);
        if (trace != null) {
            lines.addAll(trace.lines());
            if (trace.failure() != null) {
                faults.add(trace.failure().getMessage());
            }
        }
        faults.addAll(plan.expected().missed(books));
        if (books.lagMillis(99) > LAG_MILLIS) {
            faults.add(String.format(
                    Locale.ROOT,
                    "the generator was late by %.0f ms at p99, over %d ms: not to be quoted",
                    books.lagMillis(99),
                    LAG_MILLIS));
        }
        lines.add("");
        lines.addAll(verdict.lines(begun, plan.rules()));
        faults.forEach(fault -> lines.add("fault: " + fault));
        Files.write(out.resolve("table.txt"), lines);
        Results.write(out, Results.of(plan, books, verdict, faults, all, begun, lines));
        return new Outcome(books.credit(), books.worstWindow(), books.calls(), lines, verdict, List.copyOf(faults));
    }
}
