package pearladder.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import pearladder.emulator.Observation;

/**
 * The router processes of a scenario: writes their configuration files, starts them, waits until they are ready and
 * holds their addresses. A router keeps its ports across restarts. Thread-safe once all routers have started.
 */
final class RouterProcesses implements AutoCloseable {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration READY_POLL_INTERVAL = Duration.ofMillis(20);

    private final ScenarioPlan plan;
    private final Path folder;
    private final ChildProcesses processes;
    private final List<String> arguments;
    private final LoopbackHttpClient http;
    private final Consumer<Observation> observations;
    private final ExecutorService startExecutor = Executors.newCachedThreadPool(Scenario::daemonThread);
    private final YAMLMapper yaml = new YAMLMapper();
    private final Map<String, String> zones = new LinkedHashMap<>();
    private final Map<String, Integer> ports = Collections.synchronizedMap(new LinkedHashMap<>());
    private final Map<String, Integer> adminPorts = Collections.synchronizedMap(new LinkedHashMap<>());

    /**
     * Creates the routers of a scenario without starting them.
     *
     * @param folder for the routers' configuration and data
     * @param arguments additional command-line arguments of each router
     * @param observations is notified when a router starts or is killed
     */
    RouterProcesses(
            ScenarioPlan plan,
            Path folder,
            ChildProcesses processes,
            List<String> arguments,
            LoopbackHttpClient http,
            Consumer<Observation> observations) {
        this.plan = plan;
        this.folder = folder;
        this.processes = processes;
        this.arguments = arguments;
        this.http = http;
        this.observations = observations;
        for (int i = 0; i < plan.routers(); i++) {
            String name = "r" + (i + 1);
            zones.put(name, plan.zones().get(i % plan.zones().size()));
            ports.put(name, 0);
        }
    }

    /**
     * Writes the configuration of each router, starts all in parallel (a dozen started in sequence take 30 s),
     * and writes the addresses of the others into the configuration of each.
     *
     * @param routerSection the router section of the script
     * @param discoveryPort port of the endpoint registry
     */
    void startAll(JsonNode routerSection, int discoveryPort) throws IOException {
        int number = 0;
        for (String name : names()) {
            writeConfiguration(routerSection.deepCopy(), name, number++, discoveryPort);
        }
        List<CompletableFuture<Void>> starts = new ArrayList<>();
        for (String name : names()) {
            starts.add(CompletableFuture.runAsync(() -> startUnchecked(name), startExecutor));
        }
        try {
            CompletableFuture.allOf(starts.toArray(CompletableFuture[]::new)).join();
        } catch (CompletionException failed) {
            throw failed.getCause() instanceof UncheckedIOException cause
                    ? cause.getCause()
                    : new IOException(failed.getCause());
        }
        for (String name : names()) {
            writePeers(name);
        }
    }

    private void writeConfiguration(ObjectNode configuration, String name, int number, int discoveryPort)
            throws IOException {
        ObjectNode router = configuration.withObject("/router");
        router.put("name", name)
                .put("admin", "127.0.0.1:0")
                .put("listen", "127.0.0.1:0")
                .put("hall", zones.get(name))
                .put("number", number)
                .put("data", folder.resolve("data-" + name).toString());
        if (!router.has("peers")) {
            router.put("peers", plan.routers());
        }
        configuration.withObject("/list").put("address", "127.0.0.1:" + discoveryPort);
        yaml.writeValue(configurationFile(name).toFile(), configuration);
    }

    /** Lists all other routers as peers, so that a restarted router learns the rollout orders it missed. */
    private void writePeers(String name) throws IOException {
        editConfiguration(name, configuration -> {
            ArrayNode peers = configuration.withObject("/releases").putArray("learn_from");
            adminPorts.forEach((other, adminPort) -> {
                if (!other.equals(name)) {
                    peers.add("127.0.0.1:" + adminPort);
                }
            });
        });
    }

    private void editConfiguration(String name, Consumer<ObjectNode> edit) throws IOException {
        Path file = configurationFile(name);
        ObjectNode configuration = (ObjectNode) yaml.readTree(file.toFile());
        edit.accept(configuration);
        yaml.writeValue(file.toFile(), configuration);
    }

    private Path configurationFile(String name) {
        return folder.resolve(name + ".yaml");
    }

    private void startUnchecked(String name) {
        try {
            start(name);
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    /** Starts a router on a separate thread, because a process takes a second to start. */
    void startInBackground(String name, Runnable onReady, Consumer<String> onFailure) {
        startExecutor.execute(() -> {
            try {
                start(name);
                onReady.run();
            } catch (IOException failed) {
                onFailure.accept(failed.getMessage());
            }
        });
    }

    /** Starts a router and waits until it is ready. The ports of its first start are written into its configuration. */
    private void start(String name) throws IOException {
        List<String> command =
                new ArrayList<>(List.of("router", "-c", configurationFile(name).toString(), "--log", "JSON"));
        command.addAll(arguments);
        String line = processes.start(name, command.toArray(String[]::new));
        int port = ChildProcesses.number(line, "port");
        int adminPort = ChildProcesses.number(line, "admin");
        adminPorts.put(name, adminPort);
        boolean firstStart = ports.put(name, port) == 0;
        if (firstStart) {
            editConfiguration(name, configuration -> configuration
                    .withObject("/router")
                    .put("listen", "127.0.0.1:" + port)
                    .put("admin", "127.0.0.1:" + adminPort));
        }
        awaitReady(name, port);
        observations.accept(Scenario.observation(Observation.STARTED, name, ""));
    }

    private void awaitReady(String name, int port) throws IOException {
        long polls = READY_TIMEOUT.dividedBy(READY_POLL_INTERVAL);
        for (int i = 0; i < polls; i++) {
            if (isReady(port)) {
                return;
            }
            pause(READY_POLL_INTERVAL);
        }
        throw new IOException(name + " was not ready within " + READY_TIMEOUT.toSeconds() + " s");
    }

    private boolean isReady(int port) {
        try {
            return http.get(port, "/v2/health/ready", REQUEST_TIMEOUT).statusCode() == LoopbackHttpClient.OK;
        } catch (IOException notListening) {
            return false;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static void pause(Duration duration) throws IOException {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", interrupted);
        }
    }

    /** Kills a router without a graceful shutdown. */
    void kill(String name) {
        observations.accept(Scenario.observation(Observation.KILLED, name, ""));
        processes.kill(name);
        adminPorts.remove(name);
    }

    /** Stops the routers in sequence; returns a line for each running router whose exit code was not 0. */
    List<String> stopAll() {
        List<String> faults = new ArrayList<>();
        for (String name : names()) {
            boolean wasAlive = processes.alive(name);
            int exitCode = processes.stop(name);
            if (wasAlive && exitCode != 0) {
                faults.add(name + " ended with " + exitCode + " after SIGTERM, not 0");
            }
        }
        return faults;
    }

    /** Returns the metrics text of each router that responds, by router name. */
    Map<String, String> metrics() {
        Map<String, String> metrics = new LinkedHashMap<>();
        for (String name : names()) {
            try {
                metrics.put(
                        name,
                        http.get(ports.get(name), "/metrics", REQUEST_TIMEOUT).body());
            } catch (IOException unreachable) {
                continue;
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        return metrics;
    }

    /** Returns the names of all routers in the order of their numbers. */
    List<String> names() {
        return List.copyOf(zones.keySet());
    }

    /** Returns the names of the routers in a zone, or of all routers if the zone is empty. */
    List<String> names(String zone) {
        return zones.keySet().stream()
                .filter(name -> zone.isEmpty() || zones.get(name).equals(zone))
                .toList();
    }

    /** Returns the zone of a router. */
    String zone(String name) {
        return zones.get(name);
    }

    /** Returns the port on which a router accepts requests. */
    int port(String name) {
        return ports.get(name);
    }

    /** Returns the ports on which the routers accept requests. */
    List<Integer> ports() {
        return List.copyOf(ports.values());
    }

    /** Returns the admin port of each router that was not killed, by router name. */
    Map<String, Integer> adminPorts() {
        return new LinkedHashMap<>(adminPorts);
    }

    /** Cancels pending starts. The owner of the processes stops the processes themselves. */
    @Override
    public void close() {
        startExecutor.shutdownNow();
    }
}
