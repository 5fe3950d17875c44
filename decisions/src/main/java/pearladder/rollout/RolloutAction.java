package pearladder.rollout;

import pearladder.routing.api.TimeSpan;

/** What is to be done for a release, in the order given. */
public sealed interface RolloutAction {
    /** The call goes to that version; empty for the model without one. */
    record Use(String call, String version) implements RolloutAction {}

    /** Copies of the version are to stand for that share of what the like version's copies bear; low in priority. */
    record Prepare(String model, String version, String like, double share) implements RolloutAction {}

    /** Copies of the version are no longer wanted: loads that are not begun, and those that stand idle. */
    record Withdraw(String model, String version) implements RolloutAction {}

    /** The order can be followed: it goes into the journal, then back as kept, and only then is the operator told so. */
    record Keep(RolloutTarget target) implements RolloutAction {}

    /** This router has come so far: it goes into the journal as well, and nobody waits for that. */
    record Note(RolloutProgress reached) implements RolloutAction {}

    /** The order is refused: another one came first, or its plan can't be followed. */
    record Refuse(RolloutTarget target, String why) implements RolloutAction {}

    /** Call again after so long. */
    record Wake(TimeSpan after) implements RolloutAction {}

    /** A change of mode, with its figures. */
    record Log(String text) implements RolloutAction {}
}
