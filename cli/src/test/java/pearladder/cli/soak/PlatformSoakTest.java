package pearladder.cli.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Real router processes under random, overlapping faults: pauses, kills, planned restarts, reloads to another discovery
 * address, silent discovery, draining workers, workers that fail in all ways, and clients that flood. Judged by
 * {@link SoakInvariants}. {@code -Dsoak.seed}, {@code -Dsoak.seeds}, {@code -Dsoak.routers} and
 * {@code -Dsoak.seconds} make it longer; what the faults are follows from the seed, the timing from the machine.
 */
@Timeout(1800)
class PlatformSoakTest {
    private static final int ROUTERS = Integer.getInteger("soak.routers", 5);
    private static final int SECONDS = Integer.getInteger("soak.seconds", 10);
    private static final int WORKERS = 8;
    private static final int CLIENTS_OF_EACH_ROUTER = 2;
    private static final int MIN_FAULT_PAUSE_MILLIS = 20;
    private static final int FAULT_PAUSE_RANGE_MILLIS = 250;
    /** Shorter than the grace of an answer: whoever is stopped for longer can't answer in time. */
    private static final int MAX_STOP_MILLIS = 300;
    /** The longest deadline, and 0.7 s. */
    private static final long TERMINATION_MILLIS = 4700;

    private static final int EXIT_BY_SIGTERM = 143;
    private static final int MIN_SUCCESSES_PERCENT = 30;

    @TempDir
    Path folder;

    private final Map<String, SoakRequest> requests = new ConcurrentHashMap<>();
    private final List<String> unknownIds = Collections.synchronizedList(new ArrayList<>());
    private final List<String> failures = Collections.synchronizedList(new ArrayList<>());
    private final List<SoakWorker> workers = new ArrayList<>();
    private final List<SoakRouter> routers = new ArrayList<>();
    private final List<Thread> restarts = new ArrayList<>();
    private final SoakInvariants.RouterEnds ends = new SoakInvariants.RouterEnds();
    private final MachineLateness lateness = new MachineLateness();
    private SoakDiscovery discovery;

    static LongStream seeds() {
        long first = Long.getLong("soak.seed", 1);
        return LongStream.range(first, first + Integer.getInteger("soak.seeds", 1));
    }

    @AfterEach
    void end() throws Exception {
        for (SoakRouter router : routers) {
            router.kill();
        }
        for (SoakWorker worker : workers) {
            worker.close();
        }
        discovery.close();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void rulesHoldUnderRandomOverlappingFaults(long seed) throws Exception {
        Random random = new Random(seed);
        lateness.start();
        startFleet(seed);
        long until = System.nanoTime() + SECONDS * 1_000_000_000L;
        List<Thread> clients = startClients(seed, until);
        while (System.nanoTime() < until) {
            injectFault(random);
            Thread.sleep(MIN_FAULT_PAUSE_MILLIS + random.nextInt(FAULT_PAUSE_RANGE_MILLIS));
        }
        for (Thread thread : clients) {
            thread.join();
        }
        for (Thread thread : restarts) {
            thread.join();
        }
        List<String> breaks = SoakInvariants.check(requests.values(), ends, lateness);
        breaks.addAll(failures);
        unknownIds.forEach(id -> breaks.add("no client sent " + id));
        long successes =
                requests.values().stream().filter(SoakRequest::isSuccessful).count();
        System.out.printf(
                "soak seed %d: %d requests, %d successful, %d breaks; this process up to %d ms late%n",
                seed, requests.size(), successes, breaks.size(), lateness.longestMillis());
        assertEquals(List.of(), breaks, () -> evidence(breaks));
        assertTrue(successes * 100 > requests.size() * MIN_SUCCESSES_PERCENT, successes + " of " + requests.size());
    }

    private void startFleet(long seed) throws IOException, InterruptedException {
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new SoakWorker("worker-" + i, requests, unknownIds, seed * 100 + i));
        }
        discovery = new SoakDiscovery(
                workers.stream().map(worker -> worker.member("in_service")).toList());
        for (int i = 0; i < ROUTERS; i++) {
            SoakRouter router = new SoakRouter("router-" + i, folder.resolve("router-" + i));
            routers.add(router);
            router.start(configuration(router));
        }
        for (SoakRouter router : routers) {
            router.awaitReady();
        }
    }

    private List<Thread> startClients(long seed, long until) {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < ROUTERS * CLIENTS_OF_EACH_ROUTER; i++) {
            clients.add(new SoakClient(routers.get(i % ROUTERS), requests, i, seed * 1000 + i).start(until));
        }
        return clients;
    }

    private String configuration(SoakRouter router) throws IOException {
        return Files.readString(Path.of("..", "deploy", "practice.json"))
                .replace("\"127.0.0.1:0\"", "\"127.0.0.1:" + router.port + "\"")
                .replace("\"127.0.0.1:1\",", "\"127.0.0.1:" + discovery.port() + "\",")
                .replaceAll("\"known\": .*", "\"known\": " + discovery.known() + ",")
                .replaceFirst(
                        "\"Services\": \\[",
                        "\"Services\": [{\"AimNs\": 1000000000, \"DedupScope\": \"all\", \"Effect\": \"single_shot\","
                                + " \"GiveUpNs\": 3000000000, \"KeyTtlNs\": 0, \"LateWorth\": 0.2,"
                                + " \"Name\": \"payment\","
                                + " \"Streamed\": false, \"Worth\": 5.0}, ");
    }

    private void injectFault(Random random) throws IOException, InterruptedException {
        SoakRouter router = routers.get(random.nextInt(ROUTERS));
        int fault = random.nextInt(100);
        if (fault < 45) {
            FloodClient.start(router, random);
        } else if (fault < 65) {
            stopForAMoment(router, 20 + random.nextInt(MAX_STOP_MILLIS - 20));
        } else if (fault < 75) {
            drain(workers.get(random.nextInt(WORKERS)));
        } else if (fault < 83) {
            discovery.fallSilent(random.nextInt(2000));
        } else if (fault < 90 && router.isOpenForRequests()) {
            router.reload(configuration(router));
        } else if (fault < 96 && router.isOpenForRequests()) {
            restart(router);
        } else if (router.isOpenForRequests()) {
            ends.onKilled(router);
            router.kill();
            startAgain(router);
        }
    }

    private void stopForAMoment(SoakRouter router, int millis) {
        if (router.isOpenForRequests()) {
            restarts.add(Background.run(() -> {
                router.signal("STOP");
                Thread.sleep(millis);
                router.signal("CONT");
            }));
        }
    }

    /** Half of the workers at the most drain, and each of them comes back into service. */
    private void drain(SoakWorker worker) {
        boolean drains = worker.drainingSince != 0;
        if (drains) {
            worker.drainingSince = 0;
            discovery.tell(worker.member("in_service"));
        } else if (workers.stream().filter(other -> other.drainingSince != 0).count() < WORKERS / 2) {
            worker.drainingSince = System.nanoTime();
            discovery.tell(worker.member("terminating"));
        }
    }

    private void restart(SoakRouter router) {
        ends.onTerminated(router);
        restarts.add(Background.run(() -> {
            Integer status = router.terminate(TERMINATION_MILLIS);
            if (status == null || status != 0 && !isEndedBeforeItsFirstRequest(router, status)) {
                failures.add(router.name + " ended with " + status + " after SIGTERM");
                router.kill();
            }
            router.start(configuration(router));
        }));
    }

    /** A process that is told to stop before it handles signals ends by the signal, and owes nobody anything. */
    private boolean isEndedBeforeItsFirstRequest(SoakRouter router, int status) {
        return status == EXIT_BY_SIGTERM
                && requests.values().stream()
                        .noneMatch(request ->
                                request.router == router && request.routerIncarnation == router.incarnation());
    }

    private void startAgain(SoakRouter router) throws IOException {
        router.start(configuration(router));
    }

    private String evidence(List<String> breaks) {
        StringBuilder text = new StringBuilder();
        breaks.forEach(line -> text.append(line).append('\n'));
        routers.stream()
                .filter(router -> breaks.stream().anyMatch(line -> line.startsWith(router.name + " ")))
                .limit(2)
                .forEach(router ->
                        text.append("== ").append(router.name).append('\n').append(router.log()));
        return text.toString();
    }
}
