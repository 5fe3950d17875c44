package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import pearladder.config.YamlParser;
import pearladder.emulator.Observation;
import pearladder.kserve.DiscoveryMessage.WorkerState;
import pearladder.routing.StickyFirstFitPolicy;

/** Start, stop, the list and the last list. */
class LifeTest {
    private static final RawEngine.Script OK = (number, head, out, socket) -> RawEngine.plain(out, 200, "", "{}");

    @Test
    void aStoppingRouterFinishesWhatItHoldsAndTakesNothingNew() {
        try (Stand stand = new Stand(1)) {
            CompletableFuture<HttpResponse<String>> held = stand.send("pair-slow", 5);
            Stand.until(
                    "the call arrives", () -> stand.seen(Observation.ARRIVED).size() == 1);
            CompletableFuture<Void> stopped =
                    stand.router.stop().toCompletionStage().toCompletableFuture();
            Stand.until("it is not ready", () -> stand.get("/v2/health/ready").statusCode() == 503);
            HttpResponse<String> turnedAway = Stand.await(stand.send("pair-a", 1));
            assertEquals("dismissed", Stand.state(turnedAway));
            assertTrue(turnedAway.headers().firstValue("retry-after").isPresent());
            assertEquals("settled", Stand.state(Stand.await(held)));
            Stand.await(stopped);
        }
    }

    @Test
    void aStoppingRouterTerminatesWhatIsStillOutAtItsBound() {
        try (RawEngine hung = new RawEngine((number, head, out, socket) -> {});
                Stand stand = Stand.of(hung)) {
            CompletableFuture<HttpResponse<String>> held = stand.send("pair-a", 1, "pearladder-category", "post");
            Stand.until("the call arrives", () -> hung.heads.size() == 1);
            stand.router.stop();
            assertEquals("terminated", Stand.state(Stand.await(held)));
        }
    }

    @Test
    void aRouterStartsFromItsLastListWhereTheListServiceIsAway() {
        try (RawEngine engine = new RawEngine(OK);
                Stand stand = Stand.of(engine)) {
            Stand.until("the list is on disk", () -> {
                try {
                    return Files.readString(stand.folder.resolve("r1/last-list.json"))
                            .contains("raw-0");
                } catch (java.io.IOException notYet) {
                    return false;
                }
            });
            Stand.await(stand.router.stop().toCompletionStage().toCompletableFuture());
            // port 1 on loopback: nobody listens there
            stand.router = stand.startRouter("r1", "127.0.0.1:1", Stand.RULES);
            Stand.until("it is ready", () -> stand.get("/v2/health/ready").statusCode() == 200);
            assertEquals("settled", Stand.state(Stand.await(stand.send("pair-a", 1))));
        }
    }

    @Test
    void aLastListThatIsTornIsPassedOver() throws java.io.IOException {
        try (RawEngine engine = new RawEngine(OK);
                Stand stand = Stand.of(engine)) {
            Files.createDirectories(stand.folder.resolve("r2"));
            Files.writeString(stand.folder.resolve("r2/last-list.json"), "{\"kind\":\"whole\",\"vers");
            Router other = stand.startRouter("r2", "127.0.0.1:" + stand.fleet.discoveryPort(), Stand.RULES);
            Router first = stand.router;
            stand.router = other;
            Stand.until("it learns the list anew", () -> stand.metric("pearladder_engines_listed") == 1);
            Stand.await(other.stop().toCompletionStage().toCompletableFuture());
            stand.router = first;
        }
    }

    @Test
    void aListThatBreaksOrFallsSilentIsWatchedAgainAndTheOldOneHolds() {
        try (RawEngine engine = new RawEngine(OK);
                RawEngine later = new RawEngine(OK);
                Stand stand = Stand.of(engine)) {
            stand.fleet.run(() -> stand.fleet.discoveryServer().resetWatches());
            assertEquals("settled", Stand.state(Stand.await(stand.send("pair-a", 1))));
            stand.list("later", later.door.getLocalPort(), "east", WorkerState.IN_SERVICE);
            Stand.until("it is back", () -> stand.metric("pearladder_engines_listed") == 2);
            stand.fleet.run(() -> stand.fleet.registry().setSilent(true));
            stand.list("later", later.door.getLocalPort(), "east", WorkerState.GONE);
            // silence breaks the connection; the router comes again and again and hears nothing
            assertEquals(2, stand.metric("pearladder_engines_listed"));
            stand.fleet.run(() -> stand.fleet.registry().setSilent(false));
            Stand.until("it heard what changed", () -> stand.metric("pearladder_engines_listed") == 1);
        }
    }

    @Test
    void aSecondRouterOnAPortSaysSo() {
        try (Stand stand = new Stand(1)) {
            RouterConfig second = RouterConfigParser.read(YamlParser.read(
                    "second",
                    "router: {name: r9, listen: \"127.0.0.1:"
                            + stand.router.port() + "\", data: \"" + stand.folder.resolve("r9")
                            + "\"}\nlist: {address: \"127.0.0.1:" + stand.fleet.discoveryPort() + "\"}\n"
                            + Stand.RULES));
            CompletionException failed = Assertions.assertThrows(
                    CompletionException.class, () -> Router.start(second, StickyFirstFitPolicy::new, 1)
                            .toCompletionStage()
                            .toCompletableFuture()
                            .join());
            assertTrue(failed.getCause().getMessage().contains("can't be listened on"), failed.toString());
        }
    }

    @Test
    void theServersOwnAnswersFollowTheProtocol() {
        try (Stand stand = new Stand(1)) {
            assertTrue(stand.get("/v2").body().startsWith("{\"name\":\"pearladder\""));
            assertEquals("{\"live\":true}", stand.get("/v2/health/live").body());
            assertEquals(200, stand.get("/v2/models/pair-a/ready").statusCode());
            assertEquals(404, stand.get("/v2/models/other").statusCode());
            assertTrue(stand.get("/v2/models/pair-a/versions/2").body().contains("\"versions\":[\"2\"]"));
            assertFalse(stand.get("/metrics").body().isEmpty());
        }
    }
}
