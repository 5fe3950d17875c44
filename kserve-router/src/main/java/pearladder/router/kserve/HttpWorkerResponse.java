package pearladder.router.kserve;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import pearladder.kserve.Headers;
import pearladder.kserve.LoadReport;
import pearladder.router.core.WorkerResponse;
import pearladder.routing.api.Event;
import pearladder.routing.api.Outcome;

/** What an engine's whole answer says: its outcome for the module, and what goes on to the client. */
record HttpWorkerResponse(Outcome outcome, int status, MultiMap headers, Buffer body) implements WorkerResponse {
    /**
     * An answer with a status of 2xx, or one that finds fault with the call itself, is the call's answer. Only a refusal
     * that carries its own proof ("never ran") says that the call never ran; any other failure may have run.
     */
    static HttpWorkerResponse of(int status, MultiMap headers, Buffer body) {
        String proof = headers.get(Headers.NEVER_RAN);
        Outcome outcome;
        if (status >= 200 && status < 300 || status == 400 || status == 413 || status == 415 || status == 422) {
            outcome = Outcome.SUCCESS;
        } else if ("full".equals(proof)) {
            outcome = Outcome.FULL;
        } else if ("absent".equals(proof)) {
            outcome = Outcome.ABSENT;
        } else {
            outcome = Outcome.ERROR;
        }
        return new HttpWorkerResponse(outcome, status, headers, body);
    }

    @Override
    public Event.InstanceStatus instanceStatus() {
        String word = headers.get(Headers.COPY);
        return word == null
                ? Event.InstanceStatus.UNTOLD
                : switch (word) {
                    case "stood" -> Event.InstanceStatus.STOOD;
                    case "load-begun" -> Event.InstanceStatus.LOAD_BEGUN;
                    case "load-joined" -> Event.InstanceStatus.LOAD_JOINED;
                    case "load-failed" -> Event.InstanceStatus.LOAD_FAILED;
                    default -> Event.InstanceStatus.UNTOLD;
                };
    }

    @Override
    public int concurrentRequests() {
        String text = headers.get(Headers.CROWD);
        return text != null && text.matches("[0-9]{1,6}") ? Integer.parseInt(text) : -1;
    }

    @Override
    public Event.WorkerLoadReport loadReport() {
        return report(headers);
    }

    static Event.WorkerLoadReport report(MultiMap headers) {
        LoadReport report = LoadReport.parse(headers.get(Headers.REPORT));
        return report == null
                ? null
                : new Event.WorkerLoadReport(
                        report.held(), report.waiting(), report.busy(), report.loads(), report.pinned());
    }
}
