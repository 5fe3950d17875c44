package pearladder.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import pearladder.routing.api.Action;

/** Writes the actions of routers as lines of the simulator's protocol, each of them a JSON array. */
final class ActionWriter {
    private final JsonGenerator reply;

    ActionWriter(JsonGenerator reply) {
        this.reply = reply;
    }

    /** Writes the end of the reply to a batch. */
    void writeFinished() throws IOException {
        reply.writeStartArray();
        reply.writeString("Finished");
        reply.writeEndArray();
        reply.writeRaw('\n');
        reply.flush();
    }

    /** Reports that a router's policy failed and is not called any more. */
    void writePolicyFailure(long router, String cause) throws IOException {
        writeMessage("GiveIn", router, cause);
    }

    /** Writes one action. */
    void write(long router, Action action) throws IOException {
        if (action instanceof Action.SendAttempt send) {
            writeMessage(
                    "Relay",
                    router,
                    send.requestId(),
                    send.worker(),
                    send.timeout().nanos());
        } else if (action instanceof Action.SetTimer timer) {
            writeMessage("NotifyMe", router, timer.dueAt().nanos(), timer.tag());
        } else if (action instanceof Action.CancelAttempt cancel) {
            writeMessage("AbortAttempt", router, cancel.requestId(), cancel.attempt());
        } else if (action instanceof Action.Reject reject) {
            writeMessage(
                    "Decline", router, reject.requestId(), reject.retryAfter().nanos());
        } else if (action instanceof Action.Fail fail) {
            writeMessage("ReportFailure", router, fail.requestId());
        } else if (action instanceof Action.LoadInstances load) {
            writeMessage("HoldThere", router, load.worker(), load.function(), load.instances());
        } else if (action instanceof Action.UnloadInstances unload) {
            writeMessage("Evict", router, unload.function(), unload.worker());
        } else {
            writeOther(router, action);
        }
    }

    private void writeOther(long router, Action action) throws IOException {
        if (action instanceof Action.CheckHealth check) {
            writeMessage("Ping", router, check.worker());
        } else if (action instanceof Action.CloseIdleConnections close) {
            writeMessage("HangUp", router, close.worker());
        } else if (action instanceof Action.WatchEndpoints watch) {
            writeMessage("Watch", router, watch.enabled());
        } else if (action instanceof Action.PollEndpoints) {
            writeMessage("Fetch", router);
        } else if (action instanceof Action.Log log) {
            writeMessage("SayLog", router, log.text());
        } else if (action instanceof Action.SendGossip gossip) {
            writeMessage("Post", router, gossip.peer(), gossip.text());
        } else {
            throw new IOException("the simulator's protocol has no message for action " + action);
        }
    }

    /** @param values strings, numbers, booleans or null */
    private void writeMessage(String name, long router, Object... values) throws IOException {
        reply.writeStartArray();
        reply.writeString(name);
        reply.writeNumber(router);
        for (Object value : values) {
            writeValue(value);
        }
        reply.writeEndArray();
    }

    private void writeValue(Object value) throws IOException {
        if (value == null) {
            reply.writeNull();
        } else if (value instanceof String text) {
            reply.writeString(text);
        } else if (value instanceof Boolean flag) {
            reply.writeBoolean(flag);
        } else {
            reply.writeNumber(((Number) value).longValue());
        }
    }
}
