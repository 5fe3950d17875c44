package pearladder.router.kserve;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.function.Consumer;
import pearladder.kserve.Headers;
import pearladder.kserve.JsonBodies;
import pearladder.kserve.RequestOutcome;
import pearladder.router.core.ResponseHandler;
import pearladder.router.core.WorkerResponse;
import pearladder.routing.api.TimeSpan;

/**
 * The body of an inference request, and the HTTP response to it. Nothing is sent to a client that has disconnected.
 */
final class HttpResponseHandler implements ResponseHandler {
    private static final List<String> FORWARDED_HEADERS =
            List.of("content-type", Headers.INSTANCE_STATUS, Headers.CONCURRENT_REQUESTS, Headers.LOAD_REPORT);
    private static final String JSON_TYPE = "application/json";

    final String contentType;
    final Buffer body;
    final HttpServerResponse response;
    private final String model;
    private String workerPath;
    private Consumer<Boolean> releaseListener = possiblyExecuted -> {};

    HttpResponseHandler(String model, String contentType, Buffer body, HttpServerResponse response) {
        this.model = model;
        this.contentType = contentType;
        this.body = body;
        this.response = response;
    }

    /** Returns the path of the request at a worker; null before {@link #onAdmitted}. */
    String workerPath() {
        return workerPath;
    }

    /** Returns whether a response belongs to this request; a successful one that names another model does not. */
    boolean matches(HttpWorkerResponse workerResponse) {
        if (!workerResponse.isSuccessful()) {
            return true;
        }
        String respondingModel =
                JsonBodies.respondingModel(workerResponse.body().getBytes());
        return respondingModel == null || respondingModel.equals(model);
    }

    /**
     * Sets the path at a worker and the response headers of an admitted request.
     *
     * @param requestId the request id that workers receive
     * @param version the chosen version; empty for the model without a version
     */
    void onAdmitted(String requestId, String version) {
        workerPath = "/v2/models/" + model + (version.isEmpty() ? "" : "/versions/" + version) + "/infer";
        response.putHeader(Headers.REQUEST_ID, requestId);
        if (!version.isEmpty()) {
            response.putHeader(Headers.VERSION, version);
        }
    }

    /** Sets what learns, once no attempt is in flight, whether a worker may have executed the request. */
    void onRelease(Consumer<Boolean> listener) {
        releaseListener = listener;
    }

    @Override
    public void onReleased(boolean possiblyExecuted) {
        releaseListener.accept(possiblyExecuted);
    }

    private static boolean isOpen(HttpServerResponse response) {
        return !response.ended() && !response.closed();
    }

    @Override
    public void onSuccess(WorkerResponse workerResponse) {
        if (!isOpen(response)) {
            return;
        }
        HttpWorkerResponse httpResponse = (HttpWorkerResponse) workerResponse;
        for (String name : FORWARDED_HEADERS) {
            String value = httpResponse.headers().get(name);
            if (value != null) {
                response.putHeader(name, value);
            }
        }
        response.setStatusCode(httpResponse.status())
                .putHeader(Headers.OUTCOME, RequestOutcome.SETTLED.code())
                .end(httpResponse.body());
    }

    @Override
    public void onRejected(TimeSpan retryAfter) {
        reject(response, "not done; trying again is harmless", retryAfter);
    }

    /** Ends a response as rejected. */
    static void reject(HttpServerResponse response, String reason, TimeSpan retryAfter) {
        if (!isOpen(response)) {
            return;
        }
        if (retryAfter.nanos() > 0) {
            long millis = Math.max(1, retryAfter.toMillis());
            long roundedUpSeconds = (millis + 999) / 1000;
            response.putHeader(Headers.RETRY_AFTER_MS, Long.toString(millis))
                    .putHeader("retry-after", Long.toString(roundedUpSeconds));
        }
        endWithError(response, RequestOutcome.DISMISSED, reason);
    }

    @Override
    public void onFailure() {
        if (isOpen(response)) {
            endWithError(response, RequestOutcome.TERMINATED, "no answer; it may or may not have taken effect");
        }
    }

    private static void endWithError(HttpServerResponse response, RequestOutcome outcome, String reason) {
        response.setStatusCode(outcome.status)
                .putHeader(Headers.OUTCOME, outcome.code())
                .putHeader("content-type", JSON_TYPE)
                .end(JsonBodies.error(reason));
    }
}
