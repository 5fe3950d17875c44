package pearladder.release;

import pearladder.api.Span;

/** What is to be done for a release, in the order given. */
public sealed interface ReleaseAction {
    /** The call goes to that version; empty for the model without one. */
    record Use(String call, String version) implements ReleaseAction {}

    /** Copies of the version are to stand for that share of what the like version's copies bear; low in priority. */
    record Prepare(String model, String version, String like, double share) implements ReleaseAction {}

    /** Copies of the version are no longer wanted: loads that are not begun, and those that stand idle. */
    record Withdraw(String model, String version) implements ReleaseAction {}

    /** The order can be followed: it goes into the journal, then back as kept, and only then is the operator told so. */
    record Keep(Target target) implements ReleaseAction {}

    /** This router has come so far: it goes into the journal as well, and nobody waits for that. */
    record Note(Reached reached) implements ReleaseAction {}

    /** The order is refused: another one came first, or its plan can't be followed. */
    record Refuse(Target target, String why) implements ReleaseAction {}

    /** Call again after so long. */
    record Wake(Span after) implements ReleaseAction {}

    /** A change of mode, with its figures. */
    record Log(String text) implements ReleaseAction {}
}
