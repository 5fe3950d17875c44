package pearladder.router.kserve;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pearladder.kserve.Headers;
import pearladder.kserve.JsonBodies;
import pearladder.kserve.Route;
import pearladder.router.core.VertxTimers;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * The KServe v2 server: parses inference requests and passes them on, refuses invalid requests, and answers requests
 * about the router itself.
 */
final class InferenceServer {
    /** Handles inference requests, and reports whether it can. */
    interface RequestHandler {
        /** Returns the reason why no request is admitted now, or null where requests are admitted. */
        String rejectionReason();

        void admit(InferenceRequest request, HttpResponseHandler responseHandler);

        boolean isReady();

        /** Returns the event-loop lag. */
        TimeSpan eventLoopLag();
    }

    private static final String SERVER_NAME = "pearladder";
    private static final String VERSION = "0.2.0";
    private static final String METRICS_PATH = "/metrics";
    private static final String METRICS_TYPE = "text/plain; version=0.0.4";
    private static final String JSON_TYPE = "application/json";
    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final int MAX_REQUEST_LINE_BYTES = 8 << 10;
    /** Lets a refusal reach a client that is still sending its body, before the connection is closed. */
    private static final long CLOSE_DELAY_MILLIS = 50;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final RouterConfig config;
    private final RequestHandler requestHandler;
    private final PrometheusMetrics metrics;
    private final Vertx vertx;
    private final HttpServer server;

    InferenceServer(Vertx vertx, RouterConfig config, RequestHandler requestHandler, PrometheusMetrics metrics) {
        this.config = config;
        this.requestHandler = requestHandler;
        this.metrics = metrics;
        this.vertx = vertx;
        this.server = vertx.createHttpServer(new HttpServerOptions()
                        .setHost(config.host())
                        .setPort(config.port())
                        .setTcpNoDelay(true)
                        .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
                        .setIdleTimeout((int) config.limits().idleTimeout().toMillis())
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES))
                .requestHandler(this::handle);
    }

    /** Starts listening; the future completes with the port. */
    Future<Integer> listen() {
        return server.listen().map(HttpServer::actualPort);
    }

    Future<Void> close() {
        return server.close();
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals(METRICS_PATH)) {
            respond(request, OK, METRICS_TYPE, metrics.scrape());
            return;
        }
        Route route = Route.of(request.path());
        HttpMethod method = method(route.kind());
        if (route.kind() != Route.Kind.UNKNOWN && !request.method().equals(method)) {
            request.response().putHeader("allow", method.name());
            refuse(request, METHOD_NOT_ALLOWED, "this path takes " + method);
            return;
        }
        try {
            handle(request, route);
        } catch (RequestRefusedException refusal) {
            refuse(request, refusal.status, refusal.getMessage());
        }
    }

    private static HttpMethod method(Route.Kind kind) {
        return kind == Route.Kind.INFER || kind == Route.Kind.INDEX ? HttpMethod.POST : HttpMethod.GET;
    }

    private void handle(HttpServerRequest request, Route route) throws RequestRefusedException {
        switch (route.kind()) {
            case INFER -> infer(request, route);
            case SERVER -> respondJson(request, JsonBodies.server(SERVER_NAME, VERSION, List.of()));
            case LIVE -> respondJson(request, "{\"live\":true}");
            case READY -> {
                checkReady("not ready: no list of engines, or stopping");
                respondJson(request, "{\"ready\":true}");
            }
            case MODEL -> {
                RequestHead.modelSettings(route.model(), config);
                List<String> versions = route.version() == null ? List.of() : List.of(route.version());
                respondJson(request, JsonBodies.model(route.model(), versions));
            }
            case MODEL_READY -> {
                RequestHead.modelSettings(route.model(), config);
                checkReady("not ready");
                respondJson(request, "{\"name\":\"" + route.model() + "\",\"ready\":true}");
            }
            default -> throw new RequestRefusedException(NOT_FOUND, "no such path; calls go to /v2/models/MODEL/infer");
        }
    }

    private void checkReady(String reasonIfNotReady) throws RequestRefusedException {
        if (!requestHandler.isReady()) {
            throw new RequestRefusedException(SERVICE_UNAVAILABLE, reasonIfNotReady);
        }
    }

    /** Parses the head, then reads the body within its limits of size and time. */
    private void infer(HttpServerRequest request, Route route) throws RequestRefusedException {
        MonotonicTime receivedAt = VertxTimers.currentTime();
        RequestHead head = RequestHead.parse(route, request.headers(), config);
        readBody(request, body -> admit(request, head, receivedAt, body));
    }

    private void admit(HttpServerRequest request, RequestHead head, MonotonicTime receivedAt, Buffer body) {
        TimeSpan timeLeft = timeLeft(head, receivedAt);
        String rejectionReason = timeLeft.nanos() <= 0
                ? "the client's time is up before the call could be taken"
                : requestHandler.rejectionReason();
        if (rejectionReason != null) {
            metrics.onNotAdmitted();
            TimeSpan retryAfter = config.routingSettings().attemptLimits().maxRetryAfter();
            HttpResponseHandler.reject(request.response(), rejectionReason, retryAfter);
            return;
        }
        String contentType = request.getHeader("content-type");
        HttpResponseHandler responseHandler = new HttpResponseHandler(
                head.route().model(), contentType == null ? JSON_TYPE : contentType, body, request.response());
        requestHandler.admit(inferenceRequest(request, head, receivedAt, timeLeft), responseHandler);
    }

    /**
     * Returns the time left to complete a request. The event-loop lag is subtracted twice: the request waited that
     * long before it was read, and its response will wait that long before it is written.
     */
    private TimeSpan timeLeft(RequestHead head, MonotonicTime receivedAt) {
        return head.timeout()
                .atMost(head.requestClass().deadline())
                .minus(VertxTimers.currentTime().since(receivedAt))
                .minus(requestHandler.eventLoopLag().times(2));
    }

    private static InferenceRequest inferenceRequest(
            HttpServerRequest request, RequestHead head, MonotonicTime receivedAt, TimeSpan timeLeft) {
        String clientRequestId = request.getHeader(Headers.REQUEST_ID);
        RolloutManager.VersionRequest versionRequest = new RolloutManager.VersionRequest(
                clientRequestId != null && RequestHead.isName(clientRequestId) ? clientRequestId : null,
                head.route().model(),
                head.route().version(),
                request.getHeader(Headers.ROLLOUT_KEY),
                head.tenant(),
                head.idempotencyKey());
        return new InferenceRequest(
                versionRequest,
                receivedAt,
                timeLeft,
                head.requestClass(),
                head.modelSettings(),
                head.workEstimate(),
                "1".equals(request.getHeader(Headers.CLIENT_RETRY)));
    }

    private void readBody(HttpServerRequest request, Consumer<Buffer> onComplete) {
        long maxBytes = config.limits().maxRequestBytes();
        long timeoutMillis = Math.max(1, config.limits().bodyTimeout().toMillis());
        BodyReader[] reader = {null};
        long timeoutTimer = vertx.setTimer(timeoutMillis, timerId -> {
            reader[0].cancel();
            refuse(
                    request,
                    REQUEST_TIMEOUT,
                    "the body was not in after " + config.limits().bodyTimeout().toMillis() + " ms");
        });
        reader[0] = new BodyReader(request, maxBytes, new BodyReader.Listener() {
            @Override
            public void onComplete(Buffer body) {
                vertx.cancelTimer(timeoutTimer);
                if (!request.response().closed()) {
                    onComplete.accept(body);
                }
            }

            @Override
            public void onTooLong() {
                vertx.cancelTimer(timeoutTimer);
                RequestRefusedException refusal = RequestHead.bodyTooLong(maxBytes);
                refuse(request, refusal.status, refusal.getMessage());
            }

            @Override
            public void onFailure(Throwable cause) {
                vertx.cancelTimer(timeoutTimer);
            }
        });
        reader[0].start();
    }

    private static void respondJson(HttpServerRequest request, String body) {
        respond(request, OK, JSON_TYPE, body);
    }

    private static void respond(HttpServerRequest request, int status, String contentType, String body) {
        if (!request.response().ended() && !request.response().closed()) {
            request.response()
                    .setStatusCode(status)
                    .putHeader("content-type", contentType)
                    .end(body);
        }
    }

    /** Refuses a request; if its body is still being received, the connection is closed after the response. */
    private void refuse(HttpServerRequest request, int status, String reason) {
        if (!request.isEnded()) {
            request.response().putHeader("connection", "close");
            request.resume();
        }
        respond(request, status, JSON_TYPE, JsonBodies.error(reason));
        if (status == REQUEST_TIMEOUT || status == CONTENT_TOO_LARGE) {
            vertx.setTimer(CLOSE_DELAY_MILLIS, timerId -> request.connection().close());
        }
    }
}
