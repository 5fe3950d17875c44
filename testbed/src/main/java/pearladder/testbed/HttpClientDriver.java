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
import java.util.function.Consumer;
import pearladder.emulator.Observation;
import pearladder.kserve.Headers;
import pearladder.kserve.RequestOutcome;

/** Tries over HTTP/JSON, on one event loop. */
final class HttpClientDriver implements LoadGenerator.Wire {
    private static final long WATCH = 10_000_000L;
    private static final long PAUSE = 40_000_000L;
    private static final int WARM_UPS = 100;

    private final Vertx vertx;
    private final HttpClient client;

    HttpClientDriver(Vertx vertx) {
        this.vertx = vertx;
        this.client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout(1000)
                        .setTcpNoDelay(true)
                        .setKeepAliveTimeout(20),
                new PoolOptions().setHttp1MaxSize(20_000).setMaxWaitQueueSize(-1));
    }

    /** Notes every pause of this process: what came meanwhile was seen late, whoever was on time. */
    void watch(Consumer<Observation> seen) {
        watch(seen, System.nanoTime());
    }

    private void watch(Consumer<Observation> seen, long last) {
        vertx.setTimer(WATCH / 1_000_000, fired -> {
            long now = System.nanoTime();
            if (now - last > PAUSE) {
                seen.accept(new Observation(now, Observation.PAUSED, "", "", 0, "", "", "", now - last - WATCH));
            }
            watch(seen, now);
        });
    }

    /** Asks each router a few hundred things of no weight, so that the first calls don't measure class loading here. */
    Future<Void> warmUp(List<Integer> ports) {
        Future<Void> all = Future.succeededFuture();
        for (int i = 0; i < WARM_UPS; i++) {
            List<Future<Void>> round = ports.stream()
                    .map(port -> client.request(HttpMethod.GET, port, "127.0.0.1", "/v2/health/live")
                            .compose(HttpClientRequest::send)
                            .compose(HttpClientResponse::body)
                            .<Void>mapEmpty())
                    .toList();
            all = all.compose(done -> Future.join(round).mapEmpty());
        }
        return all;
    }

    @Override
    public Out send(LoadGenerator.Request request, LoadGenerator.Heard heard) {
        Sent sent = new Sent(request, heard);
        client.request(new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost("127.0.0.1")
                        .setPort(request.target().port())
                        .setURI("/v2/models/" + request.drawn().model() + "/infer"))
                .onComplete(sent::write, unreached -> heard.unanswered("unreachable"));
        return sent;
    }

    private static final class Sent implements Out {
        private final LoadGenerator.Request asked;
        private final LoadGenerator.Heard heard;
        private HttpClientRequest request;
        private boolean dropped;

        Sent(LoadGenerator.Request asked, LoadGenerator.Heard heard) {
            this.asked = asked;
            this.heard = heard;
        }

        void write(HttpClientRequest connected) {
            request = connected;
            if (dropped) {
                request.reset();
                return;
            }
            request.putHeader("content-type", "application/json")
                    .putHeader(Headers.CALL, asked.id())
                    .putHeader(Headers.CATEGORY, asked.terms().name())
                    .putHeader(Headers.PATIENCE, Long.toString(Math.max(1, asked.patience() / 1_000_000)));
            if (!asked.drawn().account().isEmpty()) {
                request.putHeader(Headers.ACCOUNT, asked.drawn().account());
            }
            if (!asked.mark().isEmpty()) {
                request.putHeader(Headers.MARK, asked.mark());
            }
            if (asked.repeat()) {
                request.putHeader(Headers.REPEAT, "1");
            }
            request.send(
                            Buffer.buffer(
                                    "{\"parameters\":{\"work_ms\":"
                                            + asked.drawn().work() / 1e6
                                            + "},\"inputs\":[{\"name\":\"in\",\"datatype\":\"BYTES\",\"shape\":[1],\"data\":[\"text\"]}]}"))
                    .onComplete(this::answered, cut -> heard.unanswered("cut"));
        }

        private void answered(HttpClientResponse response) {
            response.body()
                    .onComplete(
                            body -> {
                                String version = response.getHeader(Headers.VERSION);
                                String wait = response.getHeader(Headers.RETRY_AFTER_MS);
                                heard.answered(
                                        RequestOutcome.of(response.getHeader(Headers.STATE)),
                                        response.statusCode(),
                                        version == null ? "" : version,
                                        wait != null && wait.matches("[0-9]{1,9}")
                                                ? Long.parseLong(wait) * 1_000_000L
                                                : 0);
                            },
                            half -> heard.unanswered("cut"));
        }

        @Override
        public void drop() {
            dropped = true;
            if (request != null) {
                request.reset();
            }
        }
    }
}
