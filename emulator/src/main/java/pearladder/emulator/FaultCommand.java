package pearladder.emulator;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A command that starts or ends a fault.
 *
 * @param workers ids of the affected workers
 * @param model model names or patterns separated by commas; for {@link FaultType#DISCOVERY_SPLIT}, the routers that
 *     the workers are hidden from
 * @param magnitude a factor, a share, a rate or a duration in milliseconds; an on/off fault is on if it is above 0
 */
public record FaultCommand(FaultType type, List<String> workers, String model, double magnitude) {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Returns whether an on/off fault starts. */
    public boolean isOn() {
        return magnitude > 0;
    }

    /** Returns the magnitude in nanoseconds, for faults whose magnitude is a duration. */
    public long durationNanos() {
        return Math.round(magnitude * NANOS_PER_MILLI);
    }

    /** Returns the effect on each worker model; empty if the fault does not affect worker models. */
    public Optional<Consumer<WorkerModel>> workerFault() {
        return Optional.ofNullable(
                switch (type) {
                    case SLOWDOWN -> worker -> worker.setSlowdown(magnitude);
                    case REQUEST_FAILURES -> worker -> worker.setFailureShare(magnitude);
                    case LATE_REPORTS -> worker -> worker.setReportDelay(durationNanos());
                    case LOST_LOAD_REPLIES -> worker -> worker.setLostLoadReplyShare(magnitude);
                    case MEMORY_LEAK -> worker -> worker.setMemoryLeak(magnitude);
                    case MODEL_RELEASE -> worker -> List.of(model.split(",")).forEach(worker::invalidateModels);
                    default -> null;
                });
    }

    /** Returns the effect on the model store; empty if the fault does not affect it. */
    public Optional<Consumer<ModelStore>> modelStoreFault() {
        return Optional.ofNullable(
                switch (type) {
                    case MODEL_STORE_SLOWDOWN -> store -> store.setSlowdown(magnitude);
                    case MODEL_STORE_REJECTING -> store -> store.setRejectingAll(isOn());
                    case MODEL_STORE_DAMAGED -> store -> store.setServingDamagedImages(isOn());
                    default -> null;
                });
    }

    /** Returns the effect on the endpoint registry; empty if the fault does not affect it. */
    public Optional<Consumer<EndpointRegistry>> registryFault() {
        return Optional.ofNullable(
                switch (type) {
                    case DISCOVERY_SILENT -> registry -> registry.setSilent(isOn());
                    case DISCOVERY_LAG -> registry -> registry.setLag(durationNanos());
                    case DISCOVERY_SPLIT -> this::splitView;
                    default -> null;
                });
    }

    private void splitView(EndpointRegistry registry) {
        registry.setSplitView(isOn() ? Set.of(model.split(",")) : Set.of(), isOn() ? Set.copyOf(workers) : Set.of());
    }
}
