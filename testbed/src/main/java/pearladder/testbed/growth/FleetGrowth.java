package pearladder.testbed.growth;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

/** Measures one router with the same traffic in fleets of several sizes. */
public final class FleetGrowth {
    private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int REQUESTS_PER_SECOND = 60;
    private static final long CHANGE_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Each change starts to drain, or returns to service, one worker in this many. */
    private static final int WORKERS_PER_CHANGED_WORKER = 50;

    private static final int MEMORY_MB = 152;
    private static final long SETTLE_MILLIS = 1200;

    private final Path root;
    private final Path folder;
    private final int seconds;
    private final IntToDoubleFunction decisionMicros;

    /**
     * Prepares a measurement.
     *
     * @param root the repository, built
     * @param folder receives configurations and logs
     * @param seconds duration of the traffic for each fleet size
     * @param decisionMicros time of a routing decision in microseconds, by number of workers
     */
    public FleetGrowth(Path root, Path folder, int seconds, IntToDoubleFunction decisionMicros) {
        this.root = root;
        this.folder = folder;
        this.seconds = seconds;
        this.decisionMicros = decisionMicros;
    }

    /**
     * Measures one fleet size.
     *
     * @throws IOException if the router does not become ready; the message contains its log
     */
    public GrowthRow measure(int size) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        try (StandInWorkers workers = new StandInWorkers(size);
                StandInDiscovery discovery = new StandInDiscovery(members(workers, size, "in_service"))) {
            // chosen after the workers have bound their ports, so that they can't take it
            int port = freePort();
            Path configuration = writeConfiguration(size, port, discovery);
            long startedAt = System.nanoTime();
            try (DeployedProcess router =
                    new DeployedProcess(root, configuration, folder.resolve("router-" + size + ".log"))) {
                if (!StandInClients.awaitReady(port, router::isAlive, startedAt + READY_TIMEOUT_NANOS)) {
                    throw new IOException("the router with " + size + " workers is not ready:\n" + router.log());
                }
                long readyMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
                return measureUnderTraffic(size, readyMillis, port, router, workers, discovery);
            }
        }
    }

    private GrowthRow measureUnderTraffic(
            int size,
            long readyMillis,
            int port,
            DeployedProcess router,
            StandInWorkers workers,
            StandInDiscovery discovery)
            throws IOException, InterruptedException {
        int logLength = router.logLength();
        long listBytes = discovery.bytes();
        int descriptors = 0;
        try (StandInClients clients = new StandInClients(port)) {
            long begin = System.nanoTime();
            long nextChange = begin + CHANGE_PERIOD_NANOS;
            int changes = 0;
            for (int i = 0; i < seconds * REQUESTS_PER_SECOND; i++) {
                sleepUntil(begin + i * TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND);
                clients.send();
                if (System.nanoTime() > nextChange) {
                    nextChange += CHANGE_PERIOD_NANOS;
                    discovery.publishChanges(change(workers, size, changes++));
                    descriptors = Math.max(descriptors, router.descriptors());
                }
            }
            Thread.sleep(SETTLE_MILLIS);
            double cpuSeconds = router.cpuSeconds();
            long peakMemoryMb = router.peakMemoryMb();
            long listKilobytes = (discovery.bytes() - listBytes) / 1000;
            router.stop();
            return new GrowthRow(
                    size,
                    readyMillis,
                    cpuSeconds,
                    peakMemoryMb,
                    descriptors,
                    workers.connections(),
                    listKilobytes,
                    (double) clients.served() / clients.sent(),
                    router.longestStallMillis(logLength),
                    decisionMicros.applyAsDouble(size));
        }
    }

    /** Returns a change that alternately drains some of the workers and returns them to service. */
    private static List<String> change(StandInWorkers workers, int size, int number) {
        int count = Math.max(1, size / WORKERS_PER_CHANGED_WORKER);
        int first = number / 2 * count % size;
        String state = number % 2 == 0 ? "terminating" : "in_service";
        return IntStream.range(first, Math.min(size, first + count))
                .mapToObj(index -> workers.member(index, state))
                .toList();
    }

    private static List<String> members(StandInWorkers workers, int size, String state) {
        List<String> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(workers.member(i, state));
        }
        return members;
    }

    private Path writeConfiguration(int size, int port, StandInDiscovery discovery) throws IOException {
        String text = Files.readString(root.resolve("deploy/practice.json"))
                .replace("\"127.0.0.1:0\"", "\"127.0.0.1:" + port + "\"")
                .replace("\"127.0.0.1:1\",", "\"127.0.0.1:" + discovery.port() + "\",")
                .replaceFirst("\"memory_mb\": [0-9]+", "\"memory_mb\": " + MEMORY_MB)
                .replaceFirst("\"known\": .*", "\"known\": " + discovery.known() + ",");
        return Files.writeString(folder.resolve("config-" + size + ".json"), text);
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        long left = nanos - System.nanoTime();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }
}
