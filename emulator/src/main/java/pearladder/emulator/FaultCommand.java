package pearladder.emulator;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A command that brings a fault, or ends it. Scenarios name faults by the words of {@link #what}.
 *
 * @param workers ids of the workers concerned
 * @param model a model's name or pattern, or several separated by commas; for a split view, the routers misled
 * @param figure a factor, a share or a span in milliseconds; for what is only on or off, on where it is above 0
 */
public record FaultCommand(String what, List<String> workers, String model, double figure) {
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
                switch (what) {
                    case "slow" -> worker -> worker.setSlowdown(figure);
                    case "failing" -> worker -> worker.setFailureShare(figure);
                    case "late-reports" -> worker -> worker.setReportDelay(nanos());
                    case "losing" -> worker -> worker.setLostLoadReplyShare(figure);
                    case "leak" -> worker -> worker.setMemoryLeak(figure);
                    case "release" -> worker -> List.of(model.split(",")).forEach(worker::invalidateModels);
                    default -> null;
                });
    }

    /** The effect on the model store; empty where the command is not for it. */
    public Optional<Consumer<ModelStore>> modelStoreFault() {
        return Optional.ofNullable(
                switch (what) {
                    case "shelf-slow" -> store -> store.setSlowdown(figure);
                    case "shelf-refuse" -> store -> store.setRejectingAll(isOn());
                    case "shelf-damage" -> store -> store.setServingDamagedImages(isOn());
                    default -> null;
                });
    }

    /** The effect on the endpoint registry; empty where the command is not for it. */
    public Optional<Consumer<EndpointRegistry>> registryFault() {
        return Optional.ofNullable(
                switch (what) {
                    case "list-silent" -> registry -> registry.silent(isOn());
                    case "list-lag" -> registry -> registry.setLag(nanos());
                    case "list-split" -> this::splitView;
                    default -> null;
                });
    }

    private void splitView(EndpointRegistry registry) {
        registry.setSplitView(isOn() ? Set.of(model.split(",")) : Set.of(), isOn() ? Set.copyOf(workers) : Set.of());
    }
}
