package pearladder.testbed;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * HTTP requests to the processes of a scenario, all of which listen on this machine's loopback address. Thread-safe.
 */
public final class LoopbackHttpClient {
    static final int OK = 200;

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();

    LoopbackHttpClient() {}

    /** Sends a GET request for a path with its query; fails if there is no response within the timeout. */
    HttpResponse<String> get(int port, String path, Duration timeout) throws IOException, InterruptedException {
        HttpRequest request = request(port, path, timeout).build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a POST request with a text body; the future fails if there is no response within the timeout. */
    CompletableFuture<HttpResponse<String>> post(int port, String path, String body, Duration timeout) {
        HttpRequest request = request(port, path, timeout)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private static HttpRequest.Builder request(int port, String path, Duration timeout) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(timeout);
    }
}
