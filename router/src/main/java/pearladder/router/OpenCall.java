package pearladder.router;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.List;
import pearladder.api.Moment;

/** A call that this router has taken: what the client sent, where the answer goes, and the legs so far. */
final class OpenCall {
    final String id;
    /** The client's own name for the call, handed on to engines; the router's id where it named none. */
    final String named;
    final String function;
    final String path;
    final String contentType;
    final String mark;
    final Buffer body;
    final HttpServerResponse response;
    final Moment taken;
    /** When an answer is still within the expected time. */
    final Moment expectedBy;
    /** Whether a leg ended with an engine's error. */
    boolean erred;
    /** Whether a release chose its version, and so wants to know how it ended. */
    boolean chosen;
    final List<OpenLeg> legs = new ArrayList<>(2);
    int legsOut;
    boolean over;

    OpenCall(String id, String named, String function, String path, String contentType, String mark, Buffer body,
            HttpServerResponse response, Moment taken, Moment expectedBy) {
        this.id = id;
        this.named = named;
        this.function = function;
        this.path = path;
        this.contentType = contentType;
        this.mark = mark;
        this.body = body;
        this.response = response;
        this.taken = taken;
        this.expectedBy = expectedBy;
    }
}
