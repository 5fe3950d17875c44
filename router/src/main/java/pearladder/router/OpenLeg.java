package pearladder.router;

import io.vertx.core.http.HttpClientRequest;
import pearladder.api.Moment;

/** One sending of a call to an engine. */
final class OpenLeg {
    final OpenCall call;
    final int number;
    final String engine;
    final Moment sent;
    EngineLink link;
    HttpClientRequest request;
    /** Whether a byte of the call may have left this router. */
    boolean written;
    boolean ended;
    long timer = -1;

    OpenLeg(OpenCall call, int number, String engine, Moment sent) {
        this.call = call;
        this.number = number;
        this.engine = engine;
        this.sent = sent;
    }
}
