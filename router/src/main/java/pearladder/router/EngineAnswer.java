package pearladder.router;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import pearladder.api.Event;
import pearladder.api.Outcome;
import pearladder.kserve.Headers;
import pearladder.kserve.LoadReport;
import pearladder.router.core.EngineSaid;

/** What an engine's whole answer says: its outcome for the module, and what goes on to the client. */
record EngineAnswer(Outcome outcome, int status, MultiMap headers, Buffer body) implements EngineSaid {
    /**
     * An answer with a status of 2xx, or one that finds fault with the call itself, is the call's answer. Only a refusal
     * that carries its own proof ("never ran") says that the call never ran; any other failure may have run.
     */
    static EngineAnswer of(int status, MultiMap headers, Buffer body) {
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
        return new EngineAnswer(outcome, status, headers, body);
    }

    @Override
    public Event.Copy copy() {
        String word = headers.get(Headers.COPY);
        return word == null
                ? Event.Copy.UNTOLD
                : switch (word) {
                    case "stood" -> Event.Copy.STOOD;
                    case "load-begun" -> Event.Copy.LOAD_BEGUN;
                    case "load-joined" -> Event.Copy.LOAD_JOINED;
                    case "load-failed" -> Event.Copy.LOAD_FAILED;
                    default -> Event.Copy.UNTOLD;
                };
    }

    @Override
    public int crowd() {
        String text = headers.get(Headers.CROWD);
        return text != null && text.matches("[0-9]{1,6}") ? Integer.parseInt(text) : -1;
    }

    @Override
    public Event.Report report() {
        return report(headers);
    }

    static Event.Report report(MultiMap headers) {
        LoadReport report = LoadReport.parse(headers.get(Headers.REPORT));
        return report == null
                ? null
                : new Event.Report(report.held(), report.waiting(), report.busy(), report.loads(), report.pinned());
    }
}
