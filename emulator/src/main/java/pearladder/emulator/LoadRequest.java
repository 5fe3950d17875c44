package pearladder.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A request to hold a number of instances of a model. It ends once the instances are ready or cannot become ready.
 */
final class LoadRequest {
    private final InstancePool instances;
    private final String model;
    private final ModelKind modelKind;
    private final int wantedInstances;
    private final Consumer<WorkerOutcome> onEnded;
    private int awaitedLoads;
    private boolean anyLoadFailed;

    /** @param onEnded called once: OK, ERROR if a load failed, or FULL if there is not enough memory */
    LoadRequest(
            InstancePool instances,
            String model,
            ModelKind modelKind,
            int wantedInstances,
            Consumer<WorkerOutcome> onEnded) {
        this.instances = instances;
        this.model = model;
        this.modelKind = modelKind;
        this.wantedInstances = wantedInstances;
        this.onEnded = onEnded;
    }

    /** Starts the missing loads and restarts the idle timeout of the model's idle instances. */
    void start() {
        List<ModelInstance> current = instances.current(model);
        current.stream().filter(ModelInstance::isIdle).forEach(instances::startIdleTimer);
        List<ModelInstance> loading = new ArrayList<>(
                current.stream().filter(instance -> !instance.ready).toList());
        for (int i = current.size(); i < wantedInstances; i++) {
            ModelInstance started = instances.load(model, modelKind);
            if (started == null) {
                onEnded.accept(WorkerOutcome.FULL);
                return;
            }
            loading.add(started);
        }
        if (instances.readyCount(model) >= wantedInstances || loading.isEmpty()) {
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
