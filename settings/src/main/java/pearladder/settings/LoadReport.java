package pearladder.settings;

import java.util.function.ToDoubleFunction;
import pearladder.routing.api.Event.WorkerLoadReport;

/** A worker's load report read by the names that the platform gives its values. */
public final class LoadReport {
    private LoadReport() {}

    /** @param value returns a value by its name, NaN where it is not reported */
    public static WorkerLoadReport of(ToDoubleFunction<String> value) {
        return new WorkerLoadReport(
                value.applyAsDouble("outstanding"),
                value.applyAsDouble("backlog"),
                value.applyAsDouble("utilization"),
                value.applyAsDouble("x1"),
                value.applyAsDouble("x0"));
    }
}
