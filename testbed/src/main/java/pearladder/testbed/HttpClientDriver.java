package pearladder.testbed;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pearladder.emulator.Observation;
import pearladder.kserve.Headers;
import pearladder.kserve.RequestOutcome;

/** Sends the requests of a load generator as KServe v2 over HTTP, on one event loop. */
final class HttpClientDriver implements LoadGenerator.RequestTransport {
    private static final String HOST = "127.0.0.1";
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int KEEP_ALIVE_SECONDS = 20;
    private static final int MAX_CONNECTIONS = 20_000;
    private static final int UNBOUNDED = -1;

    private static final long PAUSE_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    /** A pause check that runs this long after the previous one indicates a pause of the process. */
    private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private static final int WARM_UP_ROUNDS = 100;
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Retry-After in milliseconds; longer values are ignored. */
    private static final String MILLIS_PATTERN = "[0-9]{1,9}";

    private static final String CUT = "cut";

    private final Vertx vertx;
    private final HttpClient client;

    HttpClientDriver(Vertx vertx) {
        this.vertx = vertx;
        this.client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setTcpNoDelay(true)
                        .setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setMaxWaitQueueSize(UNBOUNDED));
    }

    /** Reports every pause of this process from now on; answers that arrive during a pause are observed late. */
    void reportPauses(Consumer<Observation> observations) {
        reportPauses(observations, System.nanoTime());
    }

    private void reportPauses(Consumer<Observation> observations, long lastCheckAt) {
        vertx.setTimer(TimeUnit.NANOSECONDS.toMillis(PAUSE_CHECK_NANOS), timer -> {
            long now = System.nanoTime();
            long sinceLast = now - lastCheckAt;
            if (sinceLast > MIN_PAUSE_NANOS) {
                long paused = sinceLast - PAUSE_CHECK_NANOS;
                observations.accept(new Observation(now, Observation.CLIENT_PAUSED, "", "", 0, "", "", "", paused));
            }
            reportPauses(observations, now);
        });
    }

    /**
     * Sends {@value #WARM_UP_ROUNDS} health checks to each router, so that the first requests do not measure class
     * loading in this process.
     */
    Future<Void> warmUp(List<Integer> ports) {
        Future<Void> rounds = Future.succeededFuture();
        for (int i = 0; i < WARM_UP_ROUNDS; i++) {
            List<Future<Void>> round = ports.stream().map(this::checkHealth).toList();
            rounds = rounds.compose(done -> Future.join(round).mapEmpty());
        }
        return rounds;
    }

    private Future<Void> checkHealth(int port) {
        return client.request(HttpMethod.GET, port, HOST, "/v2/health/live")
                .compose(HttpClientRequest::send)
                .compose(HttpClientResponse::body)
                .mapEmpty();
    }

    @Override
    public SentRequest send(LoadGenerator.Request request, LoadGenerator.ResponseListener listener) {
        Sent sent = new Sent(request, listener);
        client.request(new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(HOST)
                        .setPort(request.target().port())
                        .setURI("/v2/models/" + request.scheduled().model() + "/infer"))
                .onComplete(sent::write, unreachable -> listener.onNoAnswer(ObservedRequest.UNREACHABLE));
        return sent;
    }

    private static final class Sent implements SentRequest {
        private final LoadGenerator.Request request;
        private final LoadGenerator.ResponseListener listener;
        private HttpClientRequest httpRequest;
        private boolean cancelled;

        Sent(LoadGenerator.Request request, LoadGenerator.ResponseListener listener) {
            this.request = request;
            this.listener = listener;
        }

        /** Writes the request to its connection, unless it was cancelled in the meantime. */
        void write(HttpClientRequest connected) {
            httpRequest = connected;
            if (cancelled) {
                httpRequest.reset();
                return;
            }
            putHeaders();
            httpRequest.send(Buffer.buffer(body())).onComplete(this::answered, cut -> listener.onNoAnswer(CUT));
        }

        private void putHeaders() {
            long timeoutMillis = Math.max(1, request.timeToDeadline() / NANOS_PER_MILLI);
            httpRequest
                    .putHeader("content-type", "application/json")
                    .putHeader(Headers.REQUEST_ID, request.id())
                    .putHeader(Headers.REQUEST_CLASS, request.terms().name())
                    .putHeader(Headers.TIMEOUT_MS, Long.toString(timeoutMillis));
            if (!request.scheduled().tenant().isEmpty()) {
                httpRequest.putHeader(Headers.TENANT, request.scheduled().tenant());
            }
            if (!request.idempotencyKey().isEmpty()) {
                httpRequest.putHeader(Headers.IDEMPOTENCY_KEY, request.idempotencyKey());
            }
            if (request.isRetry()) {
                httpRequest.putHeader(Headers.CLIENT_RETRY, "1");
            }
        }

        private String body() {
            double workMillis = request.scheduled().work() / (double) NANOS_PER_MILLI;
            return "{\"parameters\":{\"work_ms\":" + workMillis
                    + "},\"inputs\":[{\"name\":\"in\",\"datatype\":\"BYTES\",\"shape\":[1],\"data\":[\"text\"]}]}";
        }

        private void answered(HttpClientResponse response) {
            response.body().onComplete(body -> complete(response), cut -> listener.onNoAnswer(CUT));
        }

        private void complete(HttpClientResponse response) {
            String version = response.getHeader(Headers.VERSION);
            listener.onAnswer(
                    RequestOutcome.of(response.getHeader(Headers.OUTCOME)),
                    response.statusCode(),
                    version == null ? "" : version,
                    retryAfterNanos(response.getHeader(Headers.RETRY_AFTER_MS)));
        }

        private static long retryAfterNanos(String millis) {
            return millis != null && millis.matches(MILLIS_PATTERN) ? Long.parseLong(millis) * NANOS_PER_MILLI : 0;
        }

        @Override
        public void cancel() {
            cancelled = true;
            if (httpRequest != null) {
                httpRequest.reset();
            }
        }
    }
}
