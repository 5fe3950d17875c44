package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import pearladder.config.YamlParser;
import pearladder.emulator.Observation;
import pearladder.kserve.DiscoveryMessage.WorkerState;
import pearladder.routing.StickyFirstFitPolicy;

/** A router's start and stop, and the endpoint list through lost discovery connections and restarts. */
class RouterLifecycleTest {
    private static final RawWorker.Script SUCCESS =
            (number, head, out, socket) -> RawWorker.respond(out, 200, "", "{}");

    @Test
    void aStoppingRouterCompletesRequestsInFlightAndRejectsNewOnes() {
        try (RouterHarness harness = new RouterHarness(1)) {
            CompletableFuture<HttpResponse<String>> inFlight = harness.send("pair-slow", 5);
            RouterHarness.awaitUntil(
                    "the request arrives",
                    () -> harness.observations(Observation.ARRIVED).size() == 1);
            CompletableFuture<Void> stopped =
                    harness.router.stop().toCompletionStage().toCompletableFuture();
            RouterHarness.awaitUntil(
                    "the stopping router is not ready",
                    () -> harness.get("/v2/health/ready").statusCode() == 503);
            HttpResponse<String> rejected = RouterHarness.await(harness.send("pair-a", 1));
            assertEquals("dismissed", RouterHarness.outcome(rejected));
            assertTrue(rejected.headers().firstValue("retry-after").isPresent());
            assertEquals("settled", RouterHarness.outcome(RouterHarness.await(inFlight)));
            RouterHarness.await(stopped);
        }
    }

    @Test
    void aStoppingRouterFailsRequestsInFlightAtTheDrainTimeout() {
        try (RawWorker hung = new RawWorker((number, head, out, socket) -> {});
                RouterHarness harness = RouterHarness.withWorkers(hung)) {
            CompletableFuture<HttpResponse<String>> inFlight = harness.send("pair-a", 1, "pearladder-category", "post");
            RouterHarness.awaitUntil("the request arrives", () -> hung.requestHeads.size() == 1);
            harness.router.stop();
            assertEquals("terminated", RouterHarness.outcome(RouterHarness.await(inFlight)));
        }
    }

    @Test
    void aRouterStartsFromTheCachedEndpointListWhereDiscoveryIsUnavailable() {
        try (RawWorker worker = new RawWorker(SUCCESS);
                RouterHarness harness = RouterHarness.withWorkers(worker)) {
            RouterHarness.awaitUntil("the endpoint list is cached", () -> {
                try {
                    return Files.readString(harness.directory.resolve("r1/last-list.json"))
                            .contains("raw-0");
                } catch (IOException notWrittenYet) {
                    return false;
                }
            });
            RouterHarness.stop(harness.router);
            // nobody listens on port 1 of the loopback
            harness.router = harness.startRouter("r1", "127.0.0.1:1", RouterHarness.CONFIG);
            harness.awaitReady();
            assertEquals("settled", RouterHarness.outcome(RouterHarness.await(harness.send("pair-a", 1))));
        }
    }

    @Test
    void aTruncatedEndpointListCacheIsIgnored() throws IOException {
        try (RawWorker worker = new RawWorker(SUCCESS);
                RouterHarness harness = RouterHarness.withWorkers(worker)) {
            Files.createDirectories(harness.directory.resolve("r2"));
            Files.writeString(harness.directory.resolve("r2/last-list.json"), "{\"kind\":\"whole\",\"vers");
            Router other = harness.startRouter("r2", harness.discoveryAddress(), RouterHarness.CONFIG);
            Router first = harness.router;
            harness.router = other;
            RouterHarness.awaitUntil(
                    "the router receives the list from discovery",
                    () -> harness.metric("pearladder_engines_listed") == 1);
            RouterHarness.stop(other);
            harness.router = first;
        }
    }

    @Test
    void aBrokenOrSilentWatchIsReopenedAndKnownEndpointsStay() {
        try (RawWorker worker = new RawWorker(SUCCESS);
                RawWorker later = new RawWorker(SUCCESS);
                RouterHarness harness = RouterHarness.withWorkers(worker)) {
            harness.fleet.run(() -> harness.fleet.discoveryServer().resetWatches());
            assertEquals("settled", RouterHarness.outcome(RouterHarness.await(harness.send("pair-a", 1))));
            harness.announce("later", later.serverSocket.getLocalPort(), "east", WorkerState.IN_SERVICE);
            RouterHarness.awaitUntil("the watch is reopened", () -> harness.metric("pearladder_engines_listed") == 2);
            harness.fleet.run(() -> harness.fleet.registry().setSilent(true));
            harness.announce("later", later.serverSocket.getLocalPort(), "east", WorkerState.GONE);
            // the silence timeout closes the connection; the router reconnects repeatedly and receives nothing
            assertEquals(2, harness.metric("pearladder_engines_listed"));
            harness.fleet.run(() -> harness.fleet.registry().setSilent(false));
            RouterHarness.awaitUntil(
                    "the router receives the change", () -> harness.metric("pearladder_engines_listed") == 1);
        }
    }

    @Test
    void aPortInUseFailsTheStartWithAReason() {
        try (RouterHarness harness = new RouterHarness(1)) {
            RouterConfig second = RouterConfigParser.read(YamlParser.parse(
                    "second",
                    "router: {name: r9, listen: \"127.0.0.1:"
                            + harness.router.port() + "\", data: \"" + harness.directory.resolve("r9")
                            + "\"}\nlist: {address: \"" + harness.discoveryAddress() + "\"}\n"
                            + RouterHarness.CONFIG));
            CompletionException failed =
                    assertThrows(CompletionException.class, () -> Router.start(second, StickyFirstFitPolicy::new, 1)
                            .toCompletionStage()
                            .toCompletableFuture()
                            .join());
            assertTrue(failed.getCause().getMessage().contains("can't be listened on"), failed.toString());
        }
    }
}
