package pearladder.kserve;

import java.util.Locale;

/** How a call ended; a client can tell the three apart for sure by {@link Headers#STATE}. */
public enum RequestOutcome {
    /** The engine's answer is in the body. */
    SETTLED(200),
    /** Not done; trying again is harmless. */
    DISMISSED(503),
    /** Not answered; nothing is promised about whether it took effect. */
    TERMINATED(502);

    /** The HTTP status that goes with it; a settled call may carry the engine's own 4xx instead. */
    public final int status;

    RequestOutcome(int status) {
        this.status = status;
    }

    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The state of that word, or null where there is none. */
    public static RequestOutcome of(String word) {
        for (RequestOutcome state : values()) {
            if (state.code().equals(word)) {
                return state;
            }
        }
        return null;
    }
}
