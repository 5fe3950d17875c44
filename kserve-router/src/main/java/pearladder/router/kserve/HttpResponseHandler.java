package pearladder.router.kserve;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import pearladder.kserve.Headers;
import pearladder.kserve.JsonBodies;
import pearladder.kserve.RequestOutcome;
import pearladder.router.core.ResponseHandler;
import pearladder.router.core.WorkerResponse;
import pearladder.routing.api.TimeSpan;

/** A call as it came over HTTP/JSON, and where its answer goes; a client that is gone gets nothing more. */
final class HttpResponseHandler implements ResponseHandler {
    private static final List<String> HANDED_ON = List.of("content-type", Headers.COPY, Headers.CROWD, Headers.REPORT);

    final String contentType;
    final Buffer body;
    final HttpServerResponse response;
    private final String model;
    private String path;

    HttpResponseHandler(String model, String contentType, Buffer body, HttpServerResponse response) {
        this.model = model;
        this.contentType = contentType;
        this.body = body;
        this.response = response;
    }

    /** The path of the call at an engine. */
    String path() {
        return path;
    }

    /** Whether an answer is this call's: a settled one that names another model is not. */
    boolean isOf(HttpWorkerResponse answer) {
        if (answer.status() / 100 != 2) {
            return true;
        }
        String named = JsonBodies.answeredBy(answer.body().getBytes());
        return named == null || named.equals(model);
    }

    /** The call was taken: the name that engines see, and the version chosen for it (empty for none). */
    void taken(String named, String version) {
        path = "/v2/models/" + model + (version.isEmpty() ? "" : "/versions/" + version) + "/infer";
        response.putHeader(Headers.CALL, named);
        if (!version.isEmpty()) {
            response.putHeader(Headers.VERSION, version);
        }
    }

    private boolean open() {
        return !response.ended() && !response.closed();
    }

    @Override
    public void succeeded(WorkerResponse said) {
        HttpWorkerResponse answer = (HttpWorkerResponse) said;
        if (open()) {
            for (String name : HANDED_ON) {
                String value = answer.headers().get(name);
                if (value != null) {
                    response.putHeader(name, value);
                }
            }
            response.setStatusCode(answer.status())
                    .putHeader(Headers.STATE, RequestOutcome.SETTLED.code())
                    .end(answer.body());
        }
    }

    @Override
    public void rejected(TimeSpan retryAfter) {
        dismiss(response, "not done; trying again is harmless", retryAfter);
    }

    /** Writes the final answer of a dismissal. */
    static void dismiss(HttpServerResponse response, String why, TimeSpan retryAfter) {
        if (response.ended() || response.closed()) {
            return;
        }
        if (retryAfter.nanos() > 0) {
            long millis = Math.max(1, retryAfter.toMillis());
            response.putHeader(Headers.RETRY_AFTER_MS, Long.toString(millis))
                    .putHeader("retry-after", Long.toString((millis + 999) / 1000));
        }
        response.setStatusCode(RequestOutcome.DISMISSED.status)
                .putHeader(Headers.STATE, RequestOutcome.DISMISSED.code())
                .putHeader("content-type", "application/json")
                .end(JsonBodies.error(why));
    }

    @Override
    public void failed() {
        if (open()) {
            response.setStatusCode(RequestOutcome.TERMINATED.status)
                    .putHeader(Headers.STATE, RequestOutcome.TERMINATED.code())
                    .putHeader("content-type", "application/json")
                    .end(JsonBodies.error("no answer; it may or may not have taken effect"));
        }
    }
}
