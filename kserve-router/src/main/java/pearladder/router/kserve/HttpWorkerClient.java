package pearladder.router.kserve;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import pearladder.kserve.Headers;
import pearladder.kserve.JsonBodies;
import pearladder.router.core.ActiveAttempt;
import pearladder.router.core.WorkerClient;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/** Sends attempts, load requests and health checks to workers over KServe v2. Each is one {@link HttpExchange}. */
final class HttpWorkerClient implements WorkerClient {
    private static final String JSON_TYPE = "application/json";
    private static final String EMPTY_JSON = "{}";
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String READY_STATE = "READY";

    private final Vertx vertx;
    private final String routerName;
    private final long maxResponseBytes;
    private final WorkerRegistry registry;
    private final Runnable watchEndpoints;

    /** @param watchEndpoints opens the endpoint watch */
    HttpWorkerClient(
            Vertx vertx, String routerName, long maxResponseBytes, WorkerRegistry registry, Runnable watchEndpoints) {
        this.vertx = vertx;
        this.routerName = routerName;
        this.maxResponseBytes = maxResponseBytes;
        this.registry = registry;
        this.watchEndpoints = watchEndpoints;
    }

    @Override
    public PendingSend send(ActiveAttempt attempt, TimeSpan timeout, AttemptListener listener) {
        WorkerConnectionPool pool = registry.pool(attempt.worker);
        if (pool == null) {
            listener.onEnded(Outcome.VOID, null);
            return PendingSend.NONE;
        }
        HttpResponseHandler handler = (HttpResponseHandler) attempt.request.responseHandler;
        HttpExchange exchange =
                new HttpExchange(vertx, pool, maxResponseBytes, timeout, checkingModel(handler, listener));
        exchange.send(
                HttpMethod.POST,
                handler.workerPath(),
                request -> setAttemptHeaders(request, attempt, handler.contentType),
                handler.body,
                attempt::mayBeWritten);
        return exchange;
    }

    private void setAttemptHeaders(HttpClientRequest request, ActiveAttempt attempt, String contentType) {
        request.putHeader(Headers.ROUTER, routerName)
                .putHeader("content-type", contentType)
                .putHeader(Headers.REQUEST_ID, attempt.request.clientRequestId)
                .putHeader(Headers.ATTEMPT, Integer.toString(attempt.number));
        if (attempt.request.idempotencyKey != null) {
            request.putHeader(Headers.IDEMPOTENCY_KEY, attempt.request.idempotencyKey);
        }
    }

    /** Wraps a listener so that a response for another model counts as an error and reaches no client. */
    private static AttemptListener checkingModel(HttpResponseHandler handler, AttemptListener listener) {
        return (outcome, workerResponse) -> {
            HttpWorkerResponse response = (HttpWorkerResponse) workerResponse;
            if (response == null || handler.matches(response)) {
                listener.onEnded(outcome, response);
            } else {
                listener.onEnded(Outcome.ERROR, response.withOutcome(Outcome.ERROR));
            }
        };
    }

    @Override
    public void loadInstances(
            String worker,
            String function,
            int instances,
            TimeSpan timeout,
            BooleanSupplier permission,
            LoadListener listener) {
        if (instances == 0) {
            countInstances(worker, function, timeout, listener);
            return;
        }
        String uri = "/v2/repository/models/" + function + "/load";
        String body = JsonBodies.load(instances);
        request(worker, HttpMethod.POST, uri, body, timeout, permission, (outcome, workerResponse) -> {
            if (workerResponse == null) {
                listener.onEnded(outcome, 0);
                return;
            }
            HttpWorkerResponse response = (HttpWorkerResponse) workerResponse;
            boolean serviceUnavailable = response.status() == SERVICE_UNAVAILABLE;
            int defaultInstances = outcome == Outcome.SUCCESS ? instances : 0;
            listener.onEnded(serviceUnavailable ? Outcome.FULL : outcome, response.loadedInstances(defaultInstances));
        });
    }

    private void countInstances(String worker, String function, TimeSpan timeout, LoadListener listener) {
        String uri = "/v2/repository/index";
        request(worker, HttpMethod.POST, uri, EMPTY_JSON, timeout, () -> true, (outcome, workerResponse) -> {
            HttpWorkerResponse response = (HttpWorkerResponse) workerResponse;
            listener.onEnded(outcome, response == null ? 0 : readyInstances(response.body(), function));
        });
    }

    private static int readyInstances(Buffer index, String function) {
        try {
            return (int) JsonBodies.parseIndex(index.toString()).stream()
                    .filter(model -> model.name().equals(function))
                    .filter(model -> model.state().equals(READY_STATE))
                    .count();
        } catch (IOException unreadable) {
            return 0;
        }
    }

    @Override
    public void unloadInstances(String worker, String function, TimeSpan timeout) {
        String uri = "/v2/repository/models/" + function + "/unload";
        request(worker, HttpMethod.POST, uri, EMPTY_JSON, timeout, () -> true, (outcome, response) -> {});
    }

    @Override
    public void checkHealth(String worker, TimeSpan timeout, AttemptListener listener) {
        request(worker, HttpMethod.GET, "/v2/health/ready", "", timeout, () -> true, listener);
    }

    /** Sends a request of the router itself; a request to a worker that is not listed fails at once. */
    private void request(
            String worker,
            HttpMethod method,
            String uri,
            String body,
            TimeSpan timeout,
            BooleanSupplier permission,
            AttemptListener listener) {
        WorkerConnectionPool pool = registry.pool(worker);
        if (pool == null) {
            listener.onEnded(Outcome.UNREACHABLE, null);
            return;
        }
        HttpExchange exchange = new HttpExchange(vertx, pool, maxResponseBytes, timeout, listener);
        exchange.send(
                method,
                uri,
                request -> request.putHeader(Headers.ROUTER, routerName).putHeader("content-type", JSON_TYPE),
                Buffer.buffer(body),
                permission);
    }

    @Override
    public void closeIdleConnections(String worker) {
        WorkerConnectionPool pool = registry.pool(worker);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    @Override
    public void watchEndpoints() {
        watchEndpoints.run();
    }
}
