package pearladder.emulator;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A command that brings a fault, or ends it.
 *
 * @param workers ids of the workers concerned
 * @param model a model's name or pattern, or several separated by commas; for a split view, the routers misled
 * @param figure a factor, a share or a span in milliseconds; for what is only on or off, on where it is above 0
 */
public record FaultCommand(FaultType type, List<String> workers, String model, double figure) {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Whether a fault that is only on or off begins. */
    public boolean isOn() {
        return figure > 0;
    }

    /** The figure of a fault that is a span. */
    public long nanos() {
        return Math.round(figure * NANOS_PER_MILLI);
    }

    /** The effect on each worker; empty where the command is not for a worker's model. */
    public Optional<Consumer<WorkerModel>> workerFault() {
        return Optional.ofNullable(
                switch (type) {
                    case SLOWDOWN -> worker -> worker.setSlowdown(figure);
                    case REQUEST_FAILURES -> worker -> worker.setFailureShare(figure);
                    case LATE_REPORTS -> worker -> worker.setReportDelay(nanos());
                    case LOST_LOAD_REPLIES -> worker -> worker.setLostLoadReplyShare(figure);
                    case MEMORY_LEAK -> worker -> worker.setMemoryLeak(figure);
                    case MODEL_RELEASE -> worker -> List.of(model.split(",")).forEach(worker::invalidateModels);
                    default -> null;
                });
    }

    /** The effect on the model store; empty where the command is not for it. */
    public Optional<Consumer<ModelStore>> modelStoreFault() {
        return Optional.ofNullable(
                switch (type) {
                    case MODEL_STORE_SLOWDOWN -> store -> store.setSlowdown(figure);
                    case MODEL_STORE_REJECTING -> store -> store.setRejectingAll(isOn());
                    case MODEL_STORE_DAMAGED -> store -> store.setServingDamagedImages(isOn());
                    default -> null;
                });
    }

    /** The effect on the endpoint registry; empty where the command is not for it. */
    public Optional<Consumer<EndpointRegistry>> registryFault() {
        return Optional.ofNullable(
                switch (type) {
                    case DISCOVERY_SILENT -> registry -> registry.setSilent(isOn());
                    case DISCOVERY_LAG -> registry -> registry.setLag(nanos());
                    case DISCOVERY_SPLIT -> this::splitView;
                    default -> null;
                });
    }

    private void splitView(EndpointRegistry registry) {
        registry.setSplitView(isOn() ? Set.of(model.split(",")) : Set.of(), isOn() ? Set.copyOf(workers) : Set.of());
    }
}
