package pearladder.router.core;

import pearladder.api.Outcome;
import pearladder.kserve.FinalState;

/** Counts of what a router does. */
public interface Tally {
    /** A final answer, so long after the call was taken. */
    void answered(FinalState state, long nanos);

    void legEnded(Outcome outcome);

    /** One decision of the module took so long. */
    void decided(long nanos);

    /** A module told of a change of mode, with its figures. */
    void modeChanged(String text);

    void clientLeft();

    void ordered();
}
