package pearladder.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LargeFleetReloadTest extends PlatformProcessFixture {
    private static final int WORKERS = 3200;
    /** Number of full lists of workers in the new configuration. */
    private static final int FULL_LISTS = 8;

    private static final int RELOADS = 3;
    /** Memory that the platform gives a router. */
    private static final int MEMORY_MB = 152;

    private static final long RELOAD_PAUSE_MILLIS = 100;
    private static final long OBSERVATION_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long BUDGET_MILLIS = 200;
    /** The platform counts a request without an answer this long after its budget as lost. */
    private static final long LOST_AFTER_MILLIS = 500;

    /** Uses the router's core too, as the platform gives a router half a core. */
    private Process competingProcess;

    @AfterEach
    void endCompetingProcess() {
        if (competingProcess != null) {
            competingProcess.destroyForcibly();
        }
    }

    private static String knownWithFullLists(int workerPort) {
        List<String> members = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            members.add(LargeFleetConfiguration.member(i, "in_service", workerPort));
        }
        String list = String.join(",", members);
        List<String> events = new ArrayList<>();
        for (int number = 1; number <= FULL_LISTS; number++) {
            events.add("{\"n\":" + number + ",\"members\":{\"full\":true,\"servers\":[" + list + "]}}");
        }
        return "\"known\": {\"n\":" + FULL_LISTS + ",\"events\":[" + String.join(",", events) + "]},";
    }

    /** Sends a request and returns the milliseconds until its answer. */
    private long answerMillis(int index) throws Exception {
        long sentAt = System.nanoTime();
        client.getOutputStream().write(request(String.format("%016x", index), new byte[] {'!'}, BUDGET_MILLIS));
        receive();
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
    }

    private void reloadInQuickSuccession() throws Exception {
        for (int reload = 0; reload < RELOADS; reload++) {
            sendSignal("HUP");
            Thread.sleep(RELOAD_PAUSE_MILLIS);
        }
    }

    @Test
    void noRequestIsLostWhileAConfigurationWithThousandsOfWorkersIsRead() throws Exception {
        try (FakeWorker worker = new FakeWorker("one")) {
            int port = freePort();
            Path file = writeConfiguration(port, startDiscovery(null, new LinkedBlockingQueue<>()), worker.member());
            Files.writeString(
                    file, Files.readString(file).replaceFirst("\"memory_mb\": [0-9]+", "\"memory_mb\": " + MEMORY_MB));
            process = start(file, Map.of(), "taskset -cp 0 $$ >/dev/null; ");
            awaitReady(port);
            competingProcess = new ProcessBuilder("taskset", "-c", "0", "sh", "-c", "while :; do :; done").start();
            String text = Files.readString(file)
                    .replaceFirst("\"known\": .*", knownWithFullLists(worker.server.getLocalPort()));
            Files.writeString(file, text);
            List<Long> answerTimesMillis = new ArrayList<>();
            startDaemon(this::reloadInQuickSuccession);
            long endNanos = System.nanoTime() + OBSERVATION_NANOS;
            while (System.nanoTime() < endNanos) {
                answerTimesMillis.add(answerMillis(answerTimesMillis.size()));
            }
            List<Long> lateAnswersMillis = answerTimesMillis.stream()
                    .filter(millis -> millis > BUDGET_MILLIS + LOST_AFTER_MILLIS)
                    .toList();
            assertEquals(List.of(), lateAnswersMillis, this::log);
            while (!log().contains("event " + FULL_LISTS + ": the whole list of " + WORKERS)) {
                assertTrue(process.isAlive(), this::log);
                answerMillis(answerTimesMillis.size());
                Thread.sleep(10);
            }
        }
    }
}
