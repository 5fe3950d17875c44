package pearladder.testbed;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import pearladder.kserve.Headers;
import pearladder.kserve.RequestOutcome;

/** Closed-loop clients of a benchmark, on one event loop: each sends a request when its previous one has ended. */
final class ClosedLoopClients {
    /** The measurements of one round. */
    static final class Round {
        private final Histogram latencies = new Histogram(TimeUnit.SECONDS.toNanos(10), 3);
        private long successes;
        private long failures;
        private double seconds;

        /** Returns a percentile (0 to 100) of the latencies of successful requests. */
        double latencyMicros(double percentile) {
            return latencies.getValueAtPercentile(percentile) / 1e3;
        }

        double successesPerSecond() {
            return successes / seconds;
        }

        long successes() {
            return successes;
        }

        long failures() {
            return failures;
        }
    }

    private static final String HOST = "127.0.0.1";
    private static final int MODELS = 20;
    private static final int SPARE_CONNECTIONS = 8;
    private static final int HTTP_OK = 200;
    /** Upper bound of the recorded latencies; longer ones are recorded as this value. */
    private static final long MAX_RECORDED_NANOS = TimeUnit.SECONDS.toNanos(9);

    private static final String BODY = "{\"inputs\":[{\"name\":\"in\",\"datatype\":\"BYTES\","
            + "\"shape\":[1],\"data\":[\"some text of a usual length to be translated\"]}]}";

    private final HttpClient client;
    private final List<Integer> ports;
    private final long endAt;
    private final Round round = new Round();
    private final Promise<Round> done = Promise.promise();
    private int running;

    private ClosedLoopClients(HttpClient client, List<Integer> ports, int clients, long endAt) {
        this.client = client;
        this.ports = ports;
        this.running = clients;
        this.endAt = endAt;
    }

    /** Runs one round and waits for its end; the clients use the ports in turn. */
    static Round run(Vertx vertx, List<Integer> ports, int clients, int seconds) {
        HttpClient client = vertx.createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true),
                new PoolOptions().setHttp1MaxSize(clients + SPARE_CONNECTIONS));
        long startedAt = System.nanoTime();
        ClosedLoopClients loop =
                new ClosedLoopClients(client, ports, clients, startedAt + TimeUnit.SECONDS.toNanos(seconds));
        vertx.getOrCreateContext().runOnContext(run -> {
            for (int i = 0; i < clients; i++) {
                loop.send(i, 0, startedAt);
            }
        });
        Round result =
                loop.done.future().toCompletionStage().toCompletableFuture().join();
        client.close();
        return result;
    }

    private void send(int clientNumber, int requestNumber, long startedAt) {
        long sentAt = System.nanoTime();
        if (sentAt >= endAt) {
            endClient(startedAt);
            return;
        }
        int turn = clientNumber + requestNumber;
        client.request(new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(HOST)
                        .setPort(ports.get(turn % ports.size()))
                        .setURI("/v2/models/m-" + turn % MODELS + "/infer"))
                .compose(request -> request.send(Buffer.buffer(BODY)))
                .compose(response -> response.body().map(body -> response))
                .onComplete(
                        response -> {
                            count(response, sentAt);
                            send(clientNumber, requestNumber + 1, startedAt);
                        },
                        failed -> {
                            round.failures++;
                            send(clientNumber, requestNumber + 1, startedAt);
                        });
    }

    private void count(HttpClientResponse response, long sentAt) {
        String state = response.getHeader(Headers.OUTCOME);
        boolean succeeded = state == null || state.equals(RequestOutcome.SETTLED.code());
        if (response.statusCode() == HTTP_OK && succeeded) {
            round.successes++;
            round.latencies.recordValue(Math.min(MAX_RECORDED_NANOS, System.nanoTime() - sentAt));
        } else {
            round.failures++;
        }
    }

    private void endClient(long startedAt) {
        running--;
        if (running == 0) {
            round.seconds = (System.nanoTime() - startedAt) / 1e9;
            done.complete(round);
        }
    }
}
