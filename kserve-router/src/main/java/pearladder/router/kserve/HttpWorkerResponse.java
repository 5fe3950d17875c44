package pearladder.router.kserve;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import pearladder.kserve.Headers;
import pearladder.kserve.LoadReport;
import pearladder.router.core.WorkerResponse;
import pearladder.routing.api.Event;
import pearladder.routing.api.Outcome;

/** A worker's complete HTTP response, which is reported to the routing policy and forwarded to the client. */
record HttpWorkerResponse(Outcome outcome, int status, MultiMap headers, Buffer body) implements WorkerResponse {
    private static final String COUNT_PATTERN = "[0-9]{1,6}";

    /**
     * Derives the outcome from status and headers. A 2xx status is final, and so is one that reports an error in the
     * request itself. Only {@link Headers#NOT_EXECUTED} proves that a request was not executed; after any other
     * failure it may have been executed.
     */
    static HttpWorkerResponse of(int status, MultiMap headers, Buffer body) {
        return new HttpWorkerResponse(outcome(status, headers.get(Headers.NOT_EXECUTED)), status, headers, body);
    }

    private static Outcome outcome(int status, String notExecuted) {
        if (isFinal(status)) {
            return Outcome.SUCCESS;
        }
        if ("full".equals(notExecuted)) {
            return Outcome.FULL;
        }
        if ("absent".equals(notExecuted)) {
            return Outcome.ABSENT;
        }
        return Outcome.ERROR;
    }

    private static boolean isFinal(int status) {
        return switch (status) {
            case 400, 413, 415, 422 -> true;
            default -> isSuccessful(status);
        };
    }

    private static boolean isSuccessful(int status) {
        return status >= 200 && status < 300;
    }

    /** Returns whether the status is 2xx. */
    boolean isSuccessful() {
        return isSuccessful(status);
    }

    HttpWorkerResponse withOutcome(Outcome other) {
        return new HttpWorkerResponse(other, status, headers, body);
    }

    @Override
    public Event.InstanceStatus instanceStatus() {
        String code = headers.get(Headers.INSTANCE_STATUS);
        if (code == null) {
            return Event.InstanceStatus.UNTOLD;
        }
        return switch (code) {
            case "stood" -> Event.InstanceStatus.STOOD;
            case "load-begun" -> Event.InstanceStatus.LOAD_BEGUN;
            case "load-joined" -> Event.InstanceStatus.LOAD_JOINED;
            case "load-failed" -> Event.InstanceStatus.LOAD_FAILED;
            default -> Event.InstanceStatus.UNTOLD;
        };
    }

    @Override
    public int concurrentRequests() {
        return count(Headers.CONCURRENT_REQUESTS, -1);
    }

    /** Returns the loaded instances that the response to a load request reports, or a default where it has none. */
    int loadedInstances(int defaultCount) {
        return count(Headers.INSTANCES, defaultCount);
    }

    private int count(String header, int defaultCount) {
        String text = headers.get(header);
        return text != null && text.matches(COUNT_PATTERN) ? Integer.parseInt(text) : defaultCount;
    }

    @Override
    public Event.WorkerLoadReport loadReport() {
        LoadReport report = LoadReport.parse(headers.get(Headers.LOAD_REPORT));
        if (report == null) {
            return null;
        }
        return new Event.WorkerLoadReport(
                report.requestsInFlight(),
                report.queuedRequests(),
                report.coreUtilization(),
                report.pendingLoads(),
                report.pinnedMemoryShare());
    }
}
