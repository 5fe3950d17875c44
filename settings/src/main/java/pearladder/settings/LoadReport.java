package pearladder.settings;

import java.util.function.ToDoubleFunction;
import pearladder.routing.api.Event.WorkerLoadReport;

/** Converts a worker's load report from the names that the platform uses for its values. */
public final class LoadReport {
    private LoadReport() {}

    /** @param valueByName returns a value by its name, NaN if it is not reported */
    public static WorkerLoadReport of(ToDoubleFunction<String> valueByName) {
        return new WorkerLoadReport(
                valueByName.applyAsDouble("outstanding"),
                valueByName.applyAsDouble("backlog"),
                valueByName.applyAsDouble("utilization"),
                valueByName.applyAsDouble("x1"),
                valueByName.applyAsDouble("x0"));
    }
}
