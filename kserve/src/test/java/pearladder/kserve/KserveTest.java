package pearladder.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pearladder.kserve.DiscoveryMessage.Entry;
import pearladder.kserve.DiscoveryMessage.WorkerState;
import pearladder.kserve.Route.Kind;

/** Tests the wire formats of paths, bodies, load reports and discovery messages. */
class KserveTest {
    @Test
    void theRespondingModelIsReadOnlyFromTheFieldsBeforeTheOutputs() {
        assertEquals(
                "a",
                JsonBodies.respondingModel(
                        "{\"id\":\"1\",\"parameters\":{\"model_name\":\"x\"},\"model_name\":\"a\"}".getBytes()));
        for (String body : List.of(
                "",
                "[]",
                "{}",
                "{\"outputs\":[],\"model_name\":\"a\"}",
                "{\"model_name\":3}",
                "{\"model_name\":",
                "no JSON")) {
            assertEquals(null, JsonBodies.respondingModel(body.getBytes()), body);
        }
    }

    @Test
    void onlyPathsOfTheProtocolAreRouted() {
        assertEquals(new Route(Kind.SERVER, null, null), Route.of("/v2"));
        assertEquals(new Route(Kind.LIVE, null, null), Route.of("/v2/health/live"));
        assertEquals(new Route(Kind.READY, null, null), Route.of("/v2/health/ready"));
        assertEquals(new Route(Kind.MODEL, "m", null), Route.of("/v2/models/m"));
        assertEquals(new Route(Kind.MODEL, "m", "3"), Route.of("/v2/models/m/versions/3"));
        assertEquals(new Route(Kind.MODEL_READY, "m", "3"), Route.of("/v2/models/m/versions/3/ready"));
        assertEquals(new Route(Kind.INFER, "a b", null), Route.of("/v2/models/a%20b/infer"));
        assertEquals(new Route(Kind.INFER, "a+b", "1"), Route.of("/v2/models/a+b/versions/1/infer"));
        assertEquals(new Route(Kind.INDEX, null, null), Route.of("/v2/repository/index"));
        assertEquals(new Route(Kind.LOAD, "m", null), Route.of("/v2/repository/models/m/load"));
        assertEquals(new Route(Kind.UNLOAD, "m", null), Route.of("/v2/repository/models/m/unload"));
        for (String path : List.of(
                "/",
                "",
                "/v1",
                "/v22",
                "/v2//health",
                "/v2/models",
                "/v2/models/m/infer/x",
                "/v2/models/m/versions",
                "/v2/models/%zz/infer",
                "/v2/health",
                "/v2/repository/models/m/drop")) {
            assertEquals(Kind.UNKNOWN, Route.of(path).kind(), path);
        }
    }

    @Test
    void aLoadReportSurvivesARoundTripAndInvalidFieldsAreNaN() {
        LoadReport complete = new LoadReport(3, 1, 0.5, 2, 0.25);
        assertEquals(complete, LoadReport.parse(complete.text()));
        assertNull(LoadReport.parse(" "));
        LoadReport partial = LoadReport.parse("waiting=1; loads=many;busy=-1;other=7;held");
        assertEquals(1, partial.queuedRequests());
        assertTrue(Double.isNaN(partial.pendingLoads())
                && Double.isNaN(partial.coreUtilization())
                && Double.isNaN(partial.requestsInFlight()));
    }

    @Test
    void discoveryMessagesSurviveARoundTrip() throws IOException {
        SplittableRandom random = new SplittableRandom(4);
        for (int round = 0; round < 300; round++) {
            List<Entry> entries = new ArrayList<>();
            for (int i = random.nextInt(5); i > 0; i--) {
                entries.add(new Entry(
                        "e\"\\\n" + random.nextInt(),
                        "127.0.0.1",
                        1 + random.nextInt(65535),
                        "h" + random.nextInt(3),
                        "é",
                        random.nextLong(1000),
                        WorkerState.values()[random.nextInt(3)],
                        random.nextLong(1L << 42)));
            }
            DiscoveryMessage message = new DiscoveryMessage(
                    DiscoveryMessage.Kind.values()[random.nextInt(3)], random.nextLong(1L << 60), entries);
            assertEquals(message, DiscoveryMessage.parse(message.toJson()));
            String text = message.toJson();
            String truncated = text.substring(0, random.nextInt(text.length()));
            assertThrows(IOException.class, () -> DiscoveryMessage.parse(truncated), truncated);
        }
    }

    @Test
    void anInvalidDiscoveryMessageIsRejectedWithAReason() {
        for (String[] textAndError : new String[][] {
            {"[]", "a discovery message must be a JSON object"},
            {"{\"kind\":\"half\"}", "unknown word half"},
            {"{\"kind\":\"whole\"}", "a discovery message must have a kind and a version"},
            {
                "{\"kind\":\"whole\",\"version\":1,\"engines\":[{\"engine\":\"a\"}]}",
                "an entry must have an engine and a standing"
            },
            {
                "{\"kind\":\"whole\",\"version\":1,\"engines\":[{\"engine\":\"a\",\"standing\":\"gone\"}]}",
                "an entry must have a port from 1 to 65535"
            }
        }) {
            assertEquals(
                    textAndError[1],
                    assertThrows(IOException.class, () -> DiscoveryMessage.parse(textAndError[0]))
                            .getMessage());
        }
    }

    @Test
    void bodiesWithoutTensorsSurviveARoundTrip() throws IOException {
        assertEquals(3, JsonBodies.requestedInstances(JsonBodies.load(3)));
        assertEquals(1, JsonBodies.requestedInstances("{}"));
        assertEquals(1, JsonBodies.requestedInstances(""));
        assertThrows(IOException.class, () -> JsonBodies.requestedInstances("{\"parameters\":"));
        List<JsonBodies.IndexedModel> index =
                List.of(new JsonBodies.IndexedModel("a", "READY"), new JsonBodies.IndexedModel("b\"", "LOADING"));
        assertEquals(index, JsonBodies.parseIndex(JsonBodies.index(index)));
        assertEquals("{\"error\":\"a \\\"b\\\"\"}", JsonBodies.error("a \"b\""));
        assertEquals(RequestOutcome.DISMISSED, RequestOutcome.of("dismissed"));
        assertNull(RequestOutcome.of("done"));
    }
}
