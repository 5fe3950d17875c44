package pearladder.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A request to hold so many instances of a model. It ends once the instances are ready, or when it is clear that they
 * will not be.
 */
final class LoadRequest {
    private final InstancePool instances;
    private final String model;
    private final ModelKind modelKind;
    private final int wanted;
    private final Consumer<WorkerOutcome> onEnded;
    private int awaitedLoads;
    private boolean anyLoadFailed;

    /** @param onEnded called once: OK, ERROR where a load failed, or FULL where there is not enough memory */
    LoadRequest(
            InstancePool instances, String model, ModelKind modelKind, int wanted, Consumer<WorkerOutcome> onEnded) {
        this.instances = instances;
        this.model = model;
        this.modelKind = modelKind;
        this.wanted = wanted;
        this.onEnded = onEnded;
    }

    /** Starts the loads that are missing. Idle instances are kept for their full time again. */
    void start() {
        List<ModelInstance> current = instances.current(model);
        current.stream().filter(ModelInstance::isIdle).forEach(instances::startIdleTimer);
        List<ModelInstance> loading = new ArrayList<>(
                current.stream().filter(instance -> !instance.ready).toList());
        for (int i = current.size(); i < wanted; i++) {
            ModelInstance started = instances.load(model, modelKind);
            if (started == null) {
                onEnded.accept(WorkerOutcome.FULL);
                return;
            }
            loading.add(started);
        }
        if (instances.readyCount(model) >= wanted || loading.isEmpty()) {
            onEnded.accept(WorkerOutcome.OK);
            return;
        }
        awaitedLoads = loading.size();
        loading.forEach(instance -> instance.loadListeners.add(this::onLoadEnded));
    }

    private void onLoadEnded(boolean succeeded) {
        anyLoadFailed |= !succeeded;
        awaitedLoads--;
        if (awaitedLoads == 0) {
            onEnded.accept(anyLoadFailed ? WorkerOutcome.ERROR : WorkerOutcome.OK);
        }
    }
}
