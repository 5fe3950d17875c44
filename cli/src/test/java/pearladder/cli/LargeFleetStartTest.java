package pearladder.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class LargeFleetStartTest extends PlatformProcessFixture {
    /** The largest fleet that the platform documents. */
    private static final int WORKERS = 3200;
    /** Time within which the platform expects a restarted router to be ready. */
    private static final Duration READY_LIMIT = Duration.ofSeconds(10);

    @ParameterizedTest
    @EnumSource(LargeFleetConfiguration.Form.class)
    void routerWithThousandsOfWorkersIsReadyInTime(LargeFleetConfiguration.Form form) throws Exception {
        try (FakeWorker worker = new FakeWorker("one")) {
            int port = freePort();
            Path file = writeConfiguration(port, startDiscovery(null, new LinkedBlockingQueue<>()), worker.member());
            LargeFleetConfiguration.write(file, form, WORKERS, worker.server.getLocalPort());
            process = start(file, Map.of());
            Assertions.assertTimeoutPreemptively(READY_LIMIT, () -> awaitReady(port), this::log);
            sendRequest("00000000000000a1");
            assertEquals("one!", successBody(receive()));
            sendSignal("TERM");
            assertTrue(process.waitFor(10, TimeUnit.SECONDS), this::log);
            assertEquals(0, process.exitValue(), this::log);
        }
    }
}
