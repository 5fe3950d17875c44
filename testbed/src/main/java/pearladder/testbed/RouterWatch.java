package pearladder.testbed;

import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

/**
 * What the routers use over a day: of the heap the least of each minute's samples, near what is live right after a
 * collection; of the processor the mean and the most, in cores.
 */
final class RouterWatch {
    private final Supplier<Map<String, String>> metrics;
    private final long begun = System.nanoTime();
    private final Map<String, Map<Long, Double>> least = new LinkedHashMap<>();
    private final Map<String, DoubleSummaryStatistics> processor = new LinkedHashMap<>();

    /** @param metrics the text of each router's metrics, by its name */
    RouterWatch(Supplier<Map<String, String>> metrics) {
        this.metrics = metrics;
    }

    void sample() {
        long minute = (System.nanoTime() - begun) / 60_000_000_000L;
        metrics.get().forEach((router, text) -> {
            double used = text.lines()
                    .filter(line -> line.startsWith("jvm_memory_used_bytes{area=\"heap\""))
                    .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                    .sum();
            least.computeIfAbsent(router, r -> new LinkedHashMap<>()).merge(minute, used, Math::min);
            double cores = figure(text, "process_cpu_usage") * figure(text, "system_cpu_count");
            if (cores >= 0) {
                processor
                        .computeIfAbsent(router, r -> new DoubleSummaryStatistics())
                        .accept(cores);
            }
        });
    }

    private static double figure(String text, String name) {
        return text.lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                .findFirst()
                .orElse(-1);
    }

    List<String> lines() {
        List<String> lines = new ArrayList<>();
        least.forEach((router, minutes) -> lines.add("least heap of " + router + " in each minute, MB: "
                + String.join(
                        " ",
                        minutes.values().stream()
                                .map(b -> String.format(Locale.ROOT, "%.0f", b / 1e6))
                                .toList())));
        if (!processor.isEmpty()) {
            lines.add(String.format(
                    Locale.ROOT,
                    "cores used by a router: %.2f on the mean, %.2f at most",
                    processor.values().stream()
                            .mapToDouble(DoubleSummaryStatistics::getAverage)
                            .average()
                            .orElse(0),
                    processor.values().stream()
                            .mapToDouble(DoubleSummaryStatistics::getMax)
                            .max()
                            .orElse(0)));
        }
        return lines;
    }
}
