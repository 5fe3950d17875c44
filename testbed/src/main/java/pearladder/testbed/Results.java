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

/** The results of a scenario, stored as results.json in its folder; the input of reports and comparisons. */
public final class Results {
    static final String FILE = "results.json";

    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final double[] PERCENTILES = {10, 25, 50, 75, 90, 95, 99, 99.9, 100};
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MB_PER_GB = 1e3;
    /** Note of a load that fetched nothing, because the image is not in the model store. */
    private static final String NO_IMAGE = "no image";

    private Results() {}

    /**
     * Creates the results of a scenario.
     *
     * @param startedAt start of the scenario on the observations' clock, in nanoseconds
     * @param table human-readable lines
     */
    public static ObjectNode of(
            ScenarioPlan plan,
            LoadStatistics statistics,
            InvariantChecker.Verdict verdict,
            List<String> faults,
            List<Observation> observations,
            long startedAt,
            List<String> table) {
        ObjectNode results = JSON.createObjectNode();
        putTotals(results, plan, statistics);
        results.put("breaches", verdict.violations().size()).put("faults", faults.size());
        statistics.countsByEnd().forEach((name, count) -> results.put(name, count));
        ObjectNode latency = results.putObject("latency_ms");
        for (double percentile : PERCENTILES) {
            latency.put(Double.toString(percentile), statistics.latencyMillis(percentile));
        }
        putWindows(results.putArray("windows"), statistics, WindowCounts.of(observations, startedAt));
        ObjectNode causes = results.putObject("dismissed_because");
        rejectionCauses(observations).forEach(causes::put);
        putFaults(results.putArray("troubles"), observations, startedAt);
        ArrayNode rules = results.putArray("rules");
        verdict.checkedCounts().forEach((rule, count) -> rules.addObject()
                .put("rule", rule.description())
                .put("looked", count)
                .put("broken", verdict.violationCount(rule)));
        ArrayNode lines = results.putArray("table");
        table.forEach(lines::add);
        return results;
    }

    private static void putTotals(ObjectNode results, ScenarioPlan plan, LoadStatistics statistics) {
        results.put("name", plan.name())
                .put("seed", plan.seed())
                .put("engines", plan.fleet().workers().size())
                .put("routers", plan.routers())
                .put("calls", statistics.requests())
                .put("tries", statistics.attempts())
                .put("credit", statistics.credit())
                .put("worst10s", statistics.leastWindowCredit())
                .put("lag_p99_ms", statistics.generatorLagMillis(99));
    }

    private static void putWindows(ArrayNode array, LoadStatistics statistics, Map<Long, WindowCounts> windows) {
        statistics.creditByWindow().forEach((fromSeconds, credit) -> {
            WindowCounts counts = windows.getOrDefault(fromSeconds / LoadStatistics.WINDOW_SECONDS, new WindowCounts());
            ObjectNode window = array.addObject().put("from_s", fromSeconds).put("credit", credit);
            counts.putInto(window);
        });
    }

    private static void putFaults(ArrayNode array, List<Observation> observations, long startedAt) {
        for (Observation seen : observations) {
            if (seen.event().equals(Observation.FAULT_INJECTED)) {
                array.addObject()
                        .put("at_s", (seen.at() - startedAt) / NANOS_PER_SECOND)
                        .put("what", seen.note());
            }
        }
    }

    /**
     * Returns a line about the loads that ended, the amount fetched from the model store, and the share of load time
     * spent on the fetch.
     */
    static String loadsLine(ScenarioPlan plan, List<Observation> observations, long startedAt) {
        long loads = 0;
        long failed = 0;
        double gigabytes = 0;
        double fetchShares = 0;
        for (Observation seen : observations) {
            if (!seen.event().equals(Observation.LOAD_ENDED) || seen.at() < startedAt) {
                continue;
            }
            loads++;
            if (seen.note().isEmpty()) {
                fetchShares += seen.value();
            } else {
                failed++;
            }
            ModelKind kind = plan.fleet().modelOf(seen.model());
            if (kind != null && !seen.note().equals(NO_IMAGE)) {
                gigabytes += kind.memoryMb() / MB_PER_GB;
            }
        }
        return String.format(
                Locale.ROOT,
                "%d loads, %d of them failed; %.1f GB fetched from the shelf; a load was %.0f%% fetch on the mean",
                loads,
                failed,
                gigabytes,
                100 * fetchShares / Math.max(1, loads - failed));
    }

    /** Counts rejected attempts by the workers' last response to the request. */
    private static Map<String, Long> rejectionCauses(List<Observation> observations) {
        Map<String, String> lastAtWorker = new HashMap<>();
        Map<String, Long> causes = new TreeMap<>();
        for (Observation seen : observations) {
            switch (seen.event()) {
                case Observation.ARRIVED -> lastAtWorker.put(seen.requestId(), "a leg without an answer");
                case Observation.REJECTED -> lastAtWorker.put(
                        seen.requestId(), "engines refused: " + seen.note().toLowerCase(Locale.ROOT));
                case Observation.ANSWERED -> {
                    if (seen.note().equals(RequestOutcome.DISMISSED.code())) {
                        causes.merge(lastAtWorker.getOrDefault(seen.requestId(), "no leg was sent"), 1L, Long::sum);
                    }
                }
                default -> {}
            }
        }
        return causes;
    }

    /** Writes results into a folder atomically: to a temporary file, which then replaces the results file. */
    public static void write(Path folder, JsonNode results) throws IOException {
        Path temporaryFile = folder.resolve("results.new");
        JSON.writeValue(temporaryFile.toFile(), results);
        Files.move(
                temporaryFile,
                folder.resolve(FILE),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    /** Returns the results in a folder, or null if there are none or they are unreadable. */
    public static JsonNode read(Path folder) {
        try {
            return JSON.readTree(folder.resolve(FILE).toFile());
        } catch (IOException unreadable) {
            return null;
        }
    }

    /** Returns the results in a folder and in its direct subfolders, by folder name. */
    static Map<String, JsonNode> below(Path folder) throws IOException {
        List<Path> folders = new ArrayList<>();
        folders.add(folder);
        try (var children = Files.list(folder)) {
            children.filter(Files::isDirectory).forEach(folders::add);
        }
        Map<String, JsonNode> resultsByFolder = new TreeMap<>();
        for (Path candidate : folders) {
            JsonNode results = read(candidate);
            if (results != null) {
                resultsByFolder.put(candidate.getFileName().toString(), results);
            }
        }
        return resultsByFolder;
    }
}
