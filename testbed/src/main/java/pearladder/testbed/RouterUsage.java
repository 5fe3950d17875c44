package pearladder.testbed;

import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Resource use of the routers during a scenario: the minimum heap sample of each minute, which approximates the live
 * data after a garbage collection, and the mean and maximum processor use in cores.
 */
final class RouterUsage {
    private static final String HEAP_METRIC = "jvm_memory_used_bytes{area=\"heap\"";
    private static final String CPU_USAGE_METRIC = "process_cpu_usage";
    private static final String CPU_COUNT_METRIC = "system_cpu_count";
    private static final double BYTES_PER_MB = 1e6;
    private static final double MISSING = -1;

    private final Supplier<Map<String, String>> metrics;
    private final long startedAt = System.nanoTime();
    /** Minimum heap in bytes, by router and minute. */
    private final Map<String, Map<Long, Double>> minHeapBytes = new LinkedHashMap<>();

    private final Map<String, DoubleSummaryStatistics> cores = new LinkedHashMap<>();

    /**
     * Creates a recorder without samples.
     *
     * @param metrics supplies the metrics text of each router, by router name
     */
    RouterUsage(Supplier<Map<String, String>> metrics) {
        this.metrics = metrics;
    }

    /** Takes one sample of each router that responds. */
    void sample() {
        long minute = TimeUnit.NANOSECONDS.toMinutes(System.nanoTime() - startedAt);
        metrics.get().forEach((router, text) -> {
            minHeapBytes
                    .computeIfAbsent(router, name -> new LinkedHashMap<>())
                    .merge(minute, heapBytes(text), Math::min);
            double used = value(text, CPU_USAGE_METRIC) * value(text, CPU_COUNT_METRIC);
            if (used >= 0) {
                cores.computeIfAbsent(router, name -> new DoubleSummaryStatistics())
                        .accept(used);
            }
        });
    }

    private static double heapBytes(String metrics) {
        return metrics.lines()
                .filter(line -> line.startsWith(HEAP_METRIC))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    private static double value(String metrics, String name) {
        return metrics.lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                .findFirst()
                .orElse(MISSING);
    }

    /** Returns lines for the table of a scenario. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        minHeapBytes.forEach((router, minutes) -> lines.add("least heap of " + router + " in each minute, MB: "
                + String.join(
                        " ",
                        minutes.values().stream().map(RouterUsage::megabytes).toList())));
        if (!cores.isEmpty()) {
            lines.add(String.format(
                    Locale.ROOT,
                    "cores used by a router: %.2f on the mean, %.2f at most",
                    cores.values().stream()
                            .mapToDouble(DoubleSummaryStatistics::getAverage)
                            .average()
                            .orElse(0),
                    cores.values().stream()
                            .mapToDouble(DoubleSummaryStatistics::getMax)
                            .max()
                            .orElse(0)));
        }
        return lines;
    }

    private static String megabytes(double bytes) {
        return String.format(Locale.ROOT, "%.0f", bytes / BYTES_PER_MB);
    }
}
