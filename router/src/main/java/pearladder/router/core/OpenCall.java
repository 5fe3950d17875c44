package pearladder.router.core;

import java.util.ArrayList;
import java.util.List;
import pearladder.api.Moment;

/** A call that this router has taken: whose it is, where the answer goes, and the legs so far. */
public final class OpenCall {
    public final String id;
    /** The client's own name for the call, handed on to engines; the router's id where it named none. */
    public final String named;

    public final String function;
    public final String mark;
    /** Empty where there are none. */
    public final String account;

    public final Reply reply;
    final Moment taken;
    /** When an answer is still within the expected time. */
    final Moment expectedBy;

    final Calls.Ending ending;
    /** Whether a leg ended with an engine's error. */
    boolean erred;

    final List<OpenLeg> legs = new ArrayList<>(2);
    int legsOut;
    boolean over;

    OpenCall(
            String id,
            String named,
            String function,
            Calls.Ending ending,
            String mark,
            String account,
            Reply reply,
            Moment taken,
            Moment expectedBy) {
        this.id = id;
        this.named = named;
        this.function = function;
        this.ending = ending;
        this.mark = mark;
        this.account = account;
        this.reply = reply;
        this.taken = taken;
        this.expectedBy = expectedBy;
    }
}
