package pearladder.router.kserve;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** HTTP requests to the rollout resources of routers' admin servers. Addresses are written host:port. */
final class AdminClient {
    private static final String ROLLOUTS_PATH = "/releases";
    private static final String HISTORY_PATH = "/releases/history";
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);
    /** Longer than {@link #READ_TIMEOUT}, since a router responds only once the targets are in its journal. */
    private static final Duration UPDATE_TIMEOUT = Duration.ofSeconds(10);

    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();

    /**
     * A router's response to new targets.
     *
     * @param received whether there was a response
     * @param refusals for each target, in their order, the reason why it was refused, or empty where it was accepted;
     *     a single one where the router refused the request as a whole
     */
    record UpdateResponse(boolean received, List<String> refusals) {
        private static final UpdateResponse NONE = new UpdateResponse(false, List.of());

        boolean isAccepted(int index) {
            return received && refusal(index).isEmpty();
        }

        String refusal(int index) {
            return refusals.get(index < refusals.size() ? index : 0);
        }
    }

    /** Returns a router's current rollouts. */
    JsonNode rollouts(String address) throws IOException {
        return get(address, ROLLOUTS_PATH);
    }

    /** Returns the targets in a router's journal, oldest first. */
    JsonNode history(String address) throws IOException {
        return get(address, HISTORY_PATH);
    }

    /** Sends new targets, as a JSON array, without waiting for the response. */
    CompletableFuture<HttpResponse<String>> sendTargets(String address, String targets) {
        HttpRequest request = HttpRequest.newBuilder(uri(address, ROLLOUTS_PATH))
                .timeout(UPDATE_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(targets))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Waits for the response to {@link #sendTargets}. */
    static UpdateResponse awaitUpdate(CompletableFuture<HttpResponse<String>> pending) {
        try {
            return parseUpdate(JSON.readTree(pending.get().body()));
        } catch (IOException | ExecutionException unavailable) {
            return UpdateResponse.NONE;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return UpdateResponse.NONE;
        }
    }

    private static UpdateResponse parseUpdate(JsonNode body) {
        List<String> refusals = new ArrayList<>();
        body.path("refused").forEach(refusal -> refusals.add(refusal.asText()));
        if (refusals.isEmpty()) {
            refusals.add(body.path("error").asText("not a response of a router"));
        }
        return new UpdateResponse(true, refusals);
    }

    private JsonNode get(String address, String path) throws IOException {
        HttpRequest request =
                HttpRequest.newBuilder(uri(address, path)).timeout(READ_TIMEOUT).build();
        try {
            return JSON.readTree(
                    client.send(request, HttpResponse.BodyHandlers.ofString()).body());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }

    private static URI uri(String address, String path) {
        return URI.create("http://" + address + path);
    }
}
