package pearladder.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

/** The heap of each router over a day: the least of each minute's samples, near what is live right after a collection. */
final class HeapWatch {
    private final Supplier<Map<String, String>> metrics;
    private final long begun = System.nanoTime();
    private final Map<String, Map<Long, Double>> least = new LinkedHashMap<>();

    /** @param metrics the text of each router's metrics, by its name */
    HeapWatch(Supplier<Map<String, String>> metrics) {
        this.metrics = metrics;
    }

    void sample() {
        long minute = (System.nanoTime() - begun) / 60_000_000_000L;
        metrics.get().forEach((router, text) -> {
            double used = text.lines().filter(line -> line.startsWith("jvm_memory_used_bytes{area=\"heap\""))
                    .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1))).sum();
            least.computeIfAbsent(router, r -> new LinkedHashMap<>()).merge(minute, used, Math::min);
        });
    }

    List<String> lines() {
        List<String> lines = new ArrayList<>();
        least.forEach((router, minutes) -> lines.add("least heap of " + router + " in each minute, MB: "
                + String.join(" ", minutes.values().stream().map(b -> String.format(Locale.ROOT, "%.0f", b / 1e6)).toList())));
        return lines;
    }
}
