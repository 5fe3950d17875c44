package pearladder.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against attempts and load requests to draining workers during an outage of discovery of ten seconds or more.
 * Two workers started to drain just after the outage began and rejected new work as full. As the age of an endpoint
 * list was not bounded, routers kept sending to them except during short ejections, and clients had requests rejected
 * while other workers were idle. The failing router had last confirmed its endpoint list 9012 ms before, had received
 * no event since, and made 311 retries after rejections as full; no delivery rule had rejected an event.
 *
 * <p>The platform treats an event that an outage holds back as delivered seven seconds after the outage began. No new
 * work may be sent after that time plus the drain time of the settings.
 */
class PlatformDiscoveryOutageTest extends PlatformProcessFixture {
    private static final long MAX_DELIVERY_DELAY_MILLIS = 7000;
    /** {@code StopSendingWithinNs} of the configuration, plus the tolerance of all time limits, 50 ms. */
    private static final long DRAIN_MILLIS = 1000 + 50;
    /** Observation time after sends to draining workers are forbidden; longer than two ejections. */
    private static final long OBSERVATION_MILLIS = 8000;

    private static final long REQUEST_PAUSE_MILLIS = 25;
    private static final int FUNCTIONS = 6;
    private static final int MIN_SUCCESS_PERCENT = 90;

    enum Outage {
        /** The service accepts connections but sends no responses. */
        SILENT,
        /** The service's address refuses connections. */
        REFUSED,
        /** The service answers each poll with an error. */
        FAILING,
        /** The outage begins before the router starts, whose configuration lists the worker as in service. */
        BEFORE_THE_START
    }

    private final List<DrainableWorker> workers = new ArrayList<>();
    private OutageDiscovery discovery;

    @AfterEach
    void endFleet() throws IOException {
        for (DrainableWorker worker : workers) {
            worker.close();
        }
        if (discovery != null) {
            discovery.close();
        }
    }

    private void startFleet(Outage outage) throws Exception {
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < 4; i++) {
            DrainableWorker worker = new DrainableWorker("worker-" + i);
            workers.add(worker);
            members.append(i == 0 ? "" : ",").append(worker.member());
        }
        discovery = new OutageDiscovery();
        if (outage == Outage.BEFORE_THE_START) {
            discovery.startOutage(Outage.SILENT);
        }
        int port = freePort();
        process = start(writeConfiguration(port, discovery.port(), members.toString()), Map.of());
        awaitReady(port);
    }

    private byte[] draft(int index) throws IOException {
        return message(
                "draft",
                Map.of(
                        "rid",
                        String.format("%016x", index),
                        "budget",
                        "1000",
                        "acct",
                        "tender",
                        "obj",
                        String.format("00000000000000%02x", index % FUNCTIONS),
                        "extras",
                        "memory_mb:100;lanes:2;load_ms:50"),
                new byte[] {'!'});
    }

    /** Sends requests one after the other; returns the percentage that succeeded. */
    private int sendUntil(long untilNanos, int firstIndex) throws Exception {
        int sent = 0;
        int succeeded = 0;
        while (System.nanoTime() < untilNanos) {
            client.getOutputStream().write(draft(firstIndex + sent++));
            succeeded += receive().get(2).isNilValue() ? 1 : 0;
            Thread.sleep(REQUEST_PAUSE_MILLIS);
        }
        return succeeded * 100 / sent;
    }

    private static long after(long nanos, long millis) {
        return nanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @ParameterizedTest
    @EnumSource(Outage.class)
    void drainingWorkersGetNothingNewWhileDiscoveryIsAway(Outage outage) throws Exception {
        startFleet(outage);
        sendUntil(after(System.nanoTime(), 1500), 1000);
        long outageAt = System.nanoTime();
        if (outage != Outage.BEFORE_THE_START) {
            discovery.startOutage(outage);
        }
        workers.get(0).drain();
        workers.get(1).drain();
        long forbiddenAt = after(outageAt, MAX_DELIVERY_DELAY_MILLIS + DRAIN_MILLIS);
        sendUntil(forbiddenAt, 2000);
        // a third worker starts to drain in the middle of the outage: this event counts as delivered at once
        long lateDrainAt = System.nanoTime();
        workers.get(2).drain();
        int successPercent = sendUntil(after(forbiddenAt, OBSERVATION_MILLIS), 10_000);
        assertEquals(List.of(), workers.get(0).newWorkSince(forbiddenAt), this::log);
        assertEquals(List.of(), workers.get(1).newWorkSince(forbiddenAt), this::log);
        assertEquals(List.of(), workers.get(2).newWorkSince(after(lateDrainAt, DRAIN_MILLIS)), this::log);
        assertTrue(
                successPercent >= MIN_SUCCESS_PERCENT,
                () -> successPercent + " percent of the requests succeeded\n" + log());
    }
}
