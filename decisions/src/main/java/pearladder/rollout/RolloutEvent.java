package pearladder.rollout;

import java.util.List;

/** What happened that a release must know of. */
public sealed interface RolloutEvent {
    /** An operator's order came in; it is only judged, and followed once it is kept. */
    record Ordered(RolloutTarget target) implements RolloutEvent {}

    /** An order that was to be kept stands in the journal, safe from a crash. */
    record Kept(RolloutTarget target) implements RolloutEvent {}

    /** Another router told of a target. It is followed where it is newer, and passed over where it is not. */
    record Heard(RolloutTarget target) implements RolloutEvent {}

    /** What the journal held, at the start and before the first call. */
    record Restored(List<RolloutTarget> targets, List<RolloutProgress> reached) implements RolloutEvent {}

    /**
     * A call came that names no version.
     *
     * @param key what keeps together: account and document, or the call itself where it has none
     * @param mark of a fingerprinted call; empty where there is none
     */
    record CallCame(String call, String model, String key, String mark) implements RolloutEvent {}

    /**
     * A call ended: well, that is settled within its expected time without an engine's error, or badly.
     *
     * @param engines to which its legs went, each once
     */
    record CallEnded(String call, boolean well, List<String> engines) implements RolloutEvent {}

    /** A call's client left before it ended: it says nothing of its version. */
    record CallLeft(String call) implements RolloutEvent {}

    /**
     * Where copies stand, as the router believes.
     *
     * @param share of the model's load that the standing copies of the version can bear, 0 to 1
     */
    record Standing(String model, String version, double share) implements RolloutEvent {}

    /** Some time has gone by. */
    record Due() implements RolloutEvent {}
}
