package pearladder.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import pearladder.emulator.ModelKind;
import pearladder.emulator.Observation;
import pearladder.kserve.RequestOutcome;

/** A day's results as a file that reports and comparisons are made from: results.json in the day's folder. */
public final class Results {
    static final String FILE = "results.json";
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final long WINDOW = 10_000_000_000L;

    private Results() {}

    /** The results of a day. */
    public static ObjectNode of(
            ScenarioPlan plan,
            LoadStatistics books,
            InvariantChecker.Verdict verdict,
            List<String> faults,
            List<Observation> tape,
            long begun,
            List<String> table) {
        ObjectNode all = JSON.createObjectNode();
        all.put("name", plan.name())
                .put("seed", plan.seed())
                .put("engines", plan.fleet().engines().size())
                .put("routers", plan.routers())
                .put("calls", books.calls())
                .put("tries", books.tries())
                .put("credit", books.credit())
                .put("worst10s", books.worstWindow())
                .put("lag_p99_ms", books.lagMillis(99))
                .put("breaches", verdict.breaches().size())
                .put("faults", faults.size());
        books.ends().forEach((name, count) -> all.put(name, count));
        ObjectNode latency = all.putObject("latency_ms");
        for (double percentile : new double[] {10, 25, 50, 75, 90, 95, 99, 99.9, 100}) {
            latency.put(Double.toString(percentile), books.latencyMillis(percentile));
        }
        ArrayNode windows = all.putArray("windows");
        TreeMap<Long, long[]> seen = byWindow(tape, begun);
        books.byWindow().forEach((from, credit) -> {
            long[] counts = seen.getOrDefault(from / 10, new long[8]);
            windows.addObject()
                    .put("from_s", from)
                    .put("credit", credit)
                    .put("legs", counts[0])
                    .put("orders", counts[1])
                    .put("refused", counts[2])
                    .put("loads", counts[3])
                    .put("loads_failed", counts[4])
                    .put("copies", counts[5])
                    .put("settled", counts[6])
                    .put("settled_by_version", counts[7]);
        });
        ObjectNode causes = all.putObject("dismissed_because");
        dismissals(tape).forEach(causes::put);
        ArrayNode troubles = all.putArray("troubles");
        for (Observation one : tape) {
            if (one.what().equals(Observation.TROUBLE)) {
                troubles.addObject().put("at_s", (one.at() - begun) / 1e9).put("what", one.note());
            }
        }
        ArrayNode rules = all.putArray("rules");
        verdict.looked().forEach((rule, looked) -> rules.addObject()
                .put("rule", rule.words())
                .put("looked", looked)
                .put("broken", verdict.broken(rule)));
        ArrayNode lines = all.putArray("table");
        table.forEach(lines::add);
        return all;
    }

    /**
     * By ten seconds of the day: legs, orders, refusals, loads and failed loads at the engines, the copies that stood
     * at its end, settled answers, and those of them that came from a version.
     */
    private static TreeMap<Long, long[]> byWindow(List<Observation> tape, long begun) {
        TreeMap<Long, long[]> windows = new TreeMap<>();
        long copies = 0;
        for (Observation seen : tape) {
            int at =
                    switch (seen.what()) {
                        case Observation.ARRIVED -> 0;
                        case Observation.ORDERED -> 1;
                        case Observation.REFUSED -> 2;
                        case Observation.LOADED -> seen.note().isEmpty() ? 3 : 4;
                        case Observation.UNLOADED -> 5;
                        case Observation.ANSWERED -> seen.note().equals(RequestOutcome.SETTLED.code()) ? 6 : -1;
                        default -> -1;
                    };
            copies += at == 3 ? 1 : at == 5 ? -Math.round(seen.figure()) : 0;
            if (at >= 0 && seen.at() >= begun) {
                long[] counts = windows.computeIfAbsent((seen.at() - begun) / WINDOW, w -> new long[8]);
                counts[at]++;
                counts[7] += at == 6 && seen.model().contains("@") ? 1 : 0;
                counts[5] = copies;
            }
        }
        return windows;
    }

    /** Loads that ended, what they fetched from the shelf, and the share of their time that the fetch was. */
    public static String fetched(ScenarioPlan plan, List<Observation> all, long begun) {
        long loads = 0;
        long failed = 0;
        double gigabytes = 0;
        double share = 0;
        for (Observation seen : all) {
            if (seen.what().equals(Observation.LOADED) && seen.at() >= begun) {
                ModelKind kind = plan.fleet().modelOf(seen.model());
                loads++;
                failed += seen.note().isEmpty() ? 0 : 1;
                share += seen.note().isEmpty() ? seen.figure() : 0;
                gigabytes += kind == null || seen.note().equals("no image") ? 0 : kind.memoryMb() / 1e3;
            }
        }
        return String.format(
                Locale.ROOT,
                "%d loads, %d of them failed; %.1f GB fetched from the shelf; a load was %.0f%% fetch on " + "the mean",
                loads,
                failed,
                gigabytes,
                100 * share / Math.max(1, loads - failed));
    }

    /** Dismissed tries by what the engines had said to them; a try of which no leg left was refused by its router. */
    private static Map<String, Long> dismissals(List<Observation> tape) {
        Map<String, String> last = new HashMap<>();
        Map<String, Long> causes = new TreeMap<>();
        for (Observation seen : tape) {
            if (seen.what().equals(Observation.REFUSED) || seen.what().equals(Observation.ARRIVED)) {
                last.put(
                        seen.call(),
                        seen.what().equals(Observation.REFUSED)
                                ? "engines refused: " + seen.note().toLowerCase(Locale.ROOT)
                                : "a leg without an answer");
            } else if (seen.what().equals(Observation.ANSWERED)
                    && seen.note().equals(RequestOutcome.DISMISSED.code())) {
                causes.merge(last.getOrDefault(seen.call(), "no leg was sent"), 1L, Long::sum);
            }
        }
        return causes;
    }

    /** Writes beside and moves over, so that a results file is whole or not there. */
    public static void write(Path folder, JsonNode results) throws IOException {
        Path beside = folder.resolve("results.new");
        JSON.writeValue(beside.toFile(), results);
        Files.move(beside, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** The results in a folder, or null where there are none that can be read. */
    public static JsonNode read(Path folder) {
        try {
            return JSON.readTree(folder.resolve(FILE).toFile());
        } catch (IOException none) {
            return null;
        }
    }

    /** Every results file in a folder and in the folders right below it, by the folder's name. */
    static Map<String, JsonNode> below(Path folder) throws IOException {
        Map<String, JsonNode> all = new TreeMap<>();
        List<Path> folders = new ArrayList<>(List.of(folder));
        try (var inside = Files.list(folder)) {
            inside.filter(Files::isDirectory).forEach(folders::add);
        }
        for (Path one : folders) {
            JsonNode results = read(one);
            if (results != null) {
                all.put(one.getFileName().toString(), results);
            }
        }
        return all;
    }
}
