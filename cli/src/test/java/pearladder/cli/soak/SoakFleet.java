package pearladder.cli.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Holds the routers, workers, discovery service and clients of a run, and the requests they observed. */
final class SoakFleet implements AutoCloseable {
    private static final int CLIENTS_PER_ROUTER = 2;
    /** Memory that the platform gives a router. */
    private static final int MEMORY_MB = 152;

    final Map<String, SoakRequest> requests = new ConcurrentHashMap<>();
    final List<SoakRequest.Arrival> loadRequests = Collections.synchronizedList(new ArrayList<>());
    final List<String> unknownIds = Collections.synchronizedList(new ArrayList<>());
    final List<SoakWorker> workers = new ArrayList<>();
    final List<SoakRouter> routers = new ArrayList<>();
    final ToldClock clock = new ToldClock();
    final SoakSettings settings;
    final SoakDiscovery discovery;
    final RouterStarts starts = new RouterStarts();
    private final SoakAcceptor acceptor = new SoakAcceptor();

    /** Starts everything but the clients, and waits until all routers are ready. */
    SoakFleet(SoakSettings settings, Path folder, int routerCount, MachineLateness lateness, long seed)
            throws IOException, InterruptedException {
        this.settings = settings;
        for (int i = 0; i < settings.workers; i++) {
            workers.add(new SoakWorker(
                    "worker-" + i, requests, unknownIds, loadRequests, settings, acceptor, seed * 10_000 + i));
        }
        discovery = new SoakDiscovery(
                workers.stream().map(worker -> worker.member("in_service")).toList(), clock);
        for (int i = 0; i < routerCount; i++) {
            SoakRouter router = new SoakRouter("router-" + i, i, folder.resolve("router-" + i), starts, lateness);
            routers.add(router);
            router.start(configuration(router));
        }
        for (SoakRouter router : routers) {
            router.awaitReady();
        }
    }

    List<Thread> startClients(long seed, long untilNanos) {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < routers.size() * CLIENTS_PER_ROUTER; i++) {
            SoakRouter router = routers.get(i % routers.size());
            clients.add(new SoakClient(router, settings, requests, i, seed * 1000 + i).start(untilNanos));
        }
        return clients;
    }

    /** Returns a configuration with all events published so far as {@code known}. */
    String configuration(SoakRouter router) throws IOException {
        return configuration(router, discovery.known());
    }

    /** @param known events in the form of {@code known} in the configuration */
    String configuration(SoakRouter router, String known) throws IOException {
        return Files.readString(Path.of("..", "deploy", "practice.json"))
                .replace("\"127.0.0.1:0\"", "\"127.0.0.1:" + router.port + "\"")
                .replace("\"127.0.0.1:1\",", "\"127.0.0.1:" + discovery.port() + "\",")
                .replaceAll("\"known\": .*", "\"known\": " + known + ",")
                .replaceFirst("\"memory_mb\": [0-9]+", "\"memory_mb\": " + MEMORY_MB)
                .replaceFirst("\"Services\": \\[.*\\],", "\"Services\": [" + settings.services() + "],");
    }

    /** Returns how many more workers may drain: at most half of all workers may drain at once. */
    long drainable() {
        return workers.size() / 2
                - workers.stream().filter(worker -> worker.drainingSince != 0).count();
    }

    /** Returns all workers in their current state, in the form of discovery events. */
    List<String> members() {
        return workers.stream()
                .map(worker -> worker.member(worker.drainingSince == 0 ? "in_service" : "terminating"))
                .toList();
    }

    long successes() {
        return requests.values().stream().filter(SoakRequest::isSuccessful).count();
    }

    @Override
    public void close() throws IOException {
        for (SoakRouter router : routers) {
            try {
                router.kill();
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
        acceptor.close();
        discovery.close();
    }
}
