package pearladder.testbed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pearladder.emulator.Observation;

/**
 * What the clients saw of releases: the share of the new version's answers in each ten seconds, and how long after the order
 * of a rollback a router still sent new calls there.
 */
public final class VersionShares {
    private static final long WINDOW = 10_000_000_000L;

    private VersionShares() {}

    /** The lines of a day's table. */
    public static List<String> lines(List<Observation> tape, long begun, List<ReleaseScript.Order> orders) {
        List<String> lines = new ArrayList<>();
        Map<String, Set<String>> byVersion = new TreeMap<>();
        for (ReleaseScript.Order order : orders) {
            if (order.plan() != null) {
                byVersion
                        .computeIfAbsent(
                                order.prefix() + "@" + order.plan().path("to").asText(), to -> new HashSet<>())
                        .addAll(order.models());
            }
        }
        byVersion.forEach((name, models) -> {
            String version = name.substring(name.lastIndexOf('@') + 1);
            TreeMap<Long, long[]> windows = new TreeMap<>();
            for (Observation seen : tape) {
                int at = seen.model().lastIndexOf('@');
                String model = at < 0 ? seen.model() : seen.model().substring(0, at);
                if (seen.what().equals(Observation.ANSWERED)
                        && seen.note().equals("settled")
                        && models.contains(model)
                        && seen.at() >= begun) {
                    long[] counts = windows.computeIfAbsent((seen.at() - begun) / WINDOW, w -> new long[2]);
                    counts[0]++;
                    counts[1] += at >= 0 && seen.model().substring(at + 1).equals(version) ? 1 : 0;
                }
            }
            lines.add("share of " + name + " in each 10 s, of " + models.size() + " models: "
                    + String.join(
                            " ",
                            windows.values().stream()
                                    .map(c -> String.format(Locale.ROOT, "%.2f", (double) c[1] / c[0]))
                                    .toList()));
        });
        lines.addAll(restored(tape, orders));
        return lines;
    }

    private record Sent(long at, String router) {}

    /** For each rollback and router, the span from the order to the last new call that went to the version taken back. */
    private static List<String> restored(List<Observation> tape, List<ReleaseScript.Order> orders) {
        Map<String, Sent> sent = new HashMap<>();
        Map<String, String> to = new HashMap<>();
        orders.stream().filter(order -> order.plan() != null).forEach(order -> order.models()
                .forEach(model -> to.put(model, order.plan().path("to").asText())));
        // for each model, moments of its orders: true for a rollback
        Map<String, TreeMap<Long, Boolean>> ordered = new HashMap<>();
        Set<String> routers = new HashSet<>();
        for (Observation seen : tape) {
            if (seen.what().equals(Observation.SENT)) {
                sent.put(seen.call(), new Sent(seen.at(), seen.router()));
                routers.add(seen.router());
            } else if (seen.what().equals(Observation.TROUBLE) && seen.note().startsWith("order ")) {
                String[] words = seen.note().split(" ");
                for (int i = 0; i < Integer.parseInt(words[4]); i++) {
                    ordered.computeIfAbsent(words[2] + i, model -> new TreeMap<>())
                            .put(seen.at(), words[1].equals("rollback"));
                }
            }
        }
        Map<String, Long> last = new HashMap<>();
        ordered.forEach((model, moments) -> moments.forEach((at, back) -> {
            if (back) {
                routers.forEach(router -> last.put(model + "\n" + at + "\n" + router, at));
            }
        }));
        for (Observation seen : tape) {
            int mark = seen.model().lastIndexOf('@');
            Sent from = sent.get(seen.call());
            if (!seen.what().equals(Observation.ANSWERED) || mark < 0 || from == null) {
                continue;
            }
            String model = seen.model().substring(0, mark);
            Map.Entry<Long, Boolean> before =
                    ordered.getOrDefault(model, new TreeMap<>()).floorEntry(from.at());
            if (before != null
                    && before.getValue()
                    && seen.model().substring(mark + 1).equals(to.get(model))) {
                last.merge(model + "\n" + before.getKey() + "\n" + from.router(), from.at(), Math::max);
            }
        }
        if (last.isEmpty()) {
            return List.of();
        }
        List<Double> millis = last.entrySet().stream()
                .map(one -> (one.getValue() - Long.parseLong(one.getKey().split("\n")[1])) / 1e6)
                .sorted()
                .toList();
        return List.of(String.format(
                Locale.ROOT,
                "old traffic restored after a rollback, %d of models at routers: p50 %.0f ms, "
                        + "p99 %.0f ms, longest %.0f ms",
                millis.size(),
                millis.get(millis.size() / 2),
                millis.get((int) Math.ceil(millis.size() * 0.99) - 1),
                millis.get(millis.size() - 1)));
    }
}
