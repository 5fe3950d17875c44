package pearladder.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** One instance of a model in a worker's memory, loading or ready. */
final class ModelInstance {
    final String model;
    final ModelKind kind;
    /** Called once with whether the load succeeded. */
    final List<Consumer<Boolean>> loadListeners = new ArrayList<>();

    boolean ready;
    /** Set when a newer release of the model exists; the instance then takes no new requests. */
    boolean stale;

    long loadStartedAt;
    long fetchedAt;
    int runningRequests;
    long idleSince;

    ModelInstance(String model, ModelKind kind) {
        this.model = model;
        this.kind = kind;
    }

    boolean isIdle() {
        return ready && runningRequests == 0;
    }

    /** Returns whether this is an instance of the model's current release, ready or loading. */
    boolean isCurrent(String wantedModel) {
        return model.equals(wantedModel) && !stale;
    }

    boolean isLoading(String wantedModel) {
        return isCurrent(wantedModel) && !ready;
    }

    boolean hasFreeSlot(String wantedModel) {
        return ready && isCurrent(wantedModel) && runningRequests < kind.concurrency();
    }

    /** Returns the share of the load's duration that the fetch took, 0 to 1. */
    double fetchShare(long now) {
        return (double) (fetchedAt - loadStartedAt) / Math.max(1, now - loadStartedAt);
    }
}
