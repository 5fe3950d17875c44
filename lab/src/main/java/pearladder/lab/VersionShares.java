package pearladder.lab;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pearladder.emulator.Seen;

/** What share of the released models' answers came from their new version, in each ten seconds, as the clients saw it. */
final class VersionShares {
    private static final long WINDOW = 10_000_000_000L;

    private VersionShares() { }

    static List<String> lines(List<Seen> tape, long begun, List<ReleaseScript.Order> orders) {
        List<String> lines = new ArrayList<>();
        Map<String, Set<String>> byVersion = new TreeMap<>();
        for (ReleaseScript.Order order : orders) {
            if (order.plan() != null) {
                byVersion.computeIfAbsent(order.prefix() + "@" + order.plan().path("to").asText(), to -> new HashSet<>())
                        .addAll(order.models());
            }
        }
        byVersion.forEach((name, models) -> {
            String version = name.substring(name.lastIndexOf('@') + 1);
            TreeMap<Long, long[]> windows = new TreeMap<>();
            for (Seen seen : tape) {
                int at = seen.model().lastIndexOf('@');
                String model = at < 0 ? seen.model() : seen.model().substring(0, at);
                if (seen.what().equals(Seen.ANSWERED) && seen.note().equals("settled") && models.contains(model)
                        && seen.at() >= begun) {
                    long[] counts = windows.computeIfAbsent((seen.at() - begun) / WINDOW, w -> new long[2]);
                    counts[0]++;
                    counts[1] += at >= 0 && seen.model().substring(at + 1).equals(version) ? 1 : 0;
                }
            }
            lines.add("share of " + name + " in each 10 s, of " + models.size() + " models: " + String.join(" ",
                    windows.values().stream().map(c -> String.format(Locale.ROOT, "%.2f", (double) c[1] / c[0])).toList()));
        });
        return lines;
    }
}
