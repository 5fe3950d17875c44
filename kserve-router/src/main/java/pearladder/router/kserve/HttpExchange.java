package pearladder.router.kserve;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import pearladder.router.core.Timers;
import pearladder.router.core.WorkerClient;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/**
 * One HTTP request to a worker and its response. The exchange ends once: by its response, a failure, its timeout or a
 * cancellation. Before a connection is available nothing was sent, and the outcome says so; after that, a request that
 * fails may have been executed.
 */
final class HttpExchange implements WorkerClient.PendingSend {
    private final Vertx vertx;
    private final WorkerConnectionPool pool;
    private final long maxResponseBytes;
    private final WorkerClient.AttemptListener listener;
    private final long timeoutTimer;
    /** Null until a connection is available. */
    private HttpClientRequest request;

    private boolean ended;

    /** Creates an exchange and starts its timeout; {@link #send} sends the request. */
    HttpExchange(
            Vertx vertx,
            WorkerConnectionPool pool,
            long maxResponseBytes,
            TimeSpan timeout,
            WorkerClient.AttemptListener listener) {
        this.vertx = vertx;
        this.pool = pool;
        this.maxResponseBytes = maxResponseBytes;
        this.listener = listener;
        this.timeoutTimer = vertx.setTimer(
                Timers.millis(timeout), timerId -> end(isSent() ? Outcome.TIMED_OUT : Outcome.UNREACHABLE, null));
    }

    /**
     * Sends the request once a connection is available.
     *
     * @param headers sets the headers of the request
     * @param permission evaluated just before the request is written; if it is false, the exchange ends unsent
     */
    void send(
            HttpMethod method,
            String uri,
            Consumer<HttpClientRequest> headers,
            Buffer body,
            BooleanSupplier permission) {
        pool.request(method, uri)
                .onComplete(
                        connected -> onConnected(connected, headers, body, permission),
                        failure -> end(Outcome.UNREACHABLE, null));
    }

    private void onConnected(
            HttpClientRequest connected, Consumer<HttpClientRequest> headers, Buffer body, BooleanSupplier permission) {
        if (!ended && !permission.getAsBoolean()) {
            end(Outcome.VOID, null);
        }
        if (ended) {
            connected.reset();
            return;
        }
        request = connected;
        headers.accept(connected);
        connected.send(body).onComplete(this::readResponse, failure -> end(Outcome.BROKEN, null));
    }

    private void readResponse(HttpClientResponse response) {
        BodyReader.Listener bodyListener = new BodyReader.Listener() {
            @Override
            public void onComplete(Buffer body) {
                HttpWorkerResponse workerResponse =
                        HttpWorkerResponse.of(response.statusCode(), response.headers(), body);
                end(workerResponse.outcome(), workerResponse);
            }

            @Override
            public void onTooLong() {
                response.request().reset();
                end(Outcome.BROKEN, null);
            }

            @Override
            public void onFailure(Throwable cause) {
                end(Outcome.BROKEN, null);
            }
        };
        new BodyReader(response, maxResponseBytes, bodyListener).start();
    }

    private boolean isSent() {
        return request != null;
    }

    /** Ends the exchange; further calls are ignored. */
    private void end(Outcome outcome, HttpWorkerResponse response) {
        if (ended) {
            return;
        }
        ended = true;
        vertx.cancelTimer(timeoutTimer);
        if (response == null && request != null) {
            request.reset();
        }
        pool.onRequestEnded();
        listener.onEnded(outcome, response);
    }

    @Override
    public void cancel() {
        end(isSent() ? Outcome.WITHDRAWN : Outcome.VOID, null);
    }

    @Override
    public void cancelUnsent() {
        if (!isSent()) {
            end(Outcome.VOID, null);
        }
    }
}
