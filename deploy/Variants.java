import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes two variants of the operators' site files to deploy/sites, so that the benchmark shows whether the program is
 * tuned to a single customer. The variants have other request class names, shares, tenants, limits, deadlines, worth
 * and costs; one has another kind of effect and may not cancel attempts. The operators' files are only read; the
 * variants do not belong in the repository.
 *
 * <p>Usage: java deploy/Variants.java FIRST_SITE SECOND_SITE
 */
final class Variants {
    /**
     * Changes of a table.
     *
     * @param table its name in the file; empty for the keys before the first table
     * @param index its index among the tables of the same name
     * @param values the new value of each changed key; null removes the key
     */
    private record Change(String table, int index, Map<String, String> values) {}

    private Variants() {}

    public static void main(String[] arguments) throws IOException {
        if (arguments.length != 2) {
            System.err.println(
                    "usage: java deploy/Variants.java FIRST_SITE SECOND_SITE, two site files of the operators");
            System.exit(2);
        }
        writeVariant(
                Path.of(arguments[0]),
                "ferry-desk",
                List.of(
                        change("", 0, "name", "\"ferry-desk\""),
                        change("allow", 0, "cancel", "false", "max_attempts", "2"),
                        change("rules", 0, "drain_grace_ms", "700", "fall_multiple", "3"),
                        change(
                                "goal",
                                0,
                                "whole",
                                "0.5",
                                "worst_window",
                                "0.2",
                                "worst_class",
                                "0.2",
                                "worst_tenant",
                                "0.1"),
                        change(
                                "prices",
                                0,
                                "cross_zone",
                                "0.01",
                                "waste",
                                "0.08",
                                "probe",
                                "0.012",
                                "late_fail",
                                "0.06",
                                "origin",
                                "0.06"),
                        change(
                                "class",
                                0,
                                "name",
                                "\"berth-quote\"",
                                "share",
                                "[0.55, 0.7]",
                                "aim_ms",
                                "800",
                                "deadline_ms",
                                "2400",
                                "worth",
                                "2",
                                "late_worth",
                                "0.3"),
                        change(
                                "class",
                                1,
                                "name",
                                "\"manifest-seal\"",
                                "share",
                                "[0.3, 0.45]",
                                "aim_ms",
                                "1500",
                                "deadline_ms",
                                "4500",
                                "worth",
                                "5",
                                "late_worth",
                                "0.2",
                                "effect",
                                "\"unsafe\"",
                                "group",
                                null,
                                "window_ms",
                                null),
                        change("tenant", 0, "name", "\"north-pier\"", "share", "0.4"),
                        change("tenant", 1, "name", "\"car-deck\"", "share", "0.35"),
                        change("tenant", 2, "name", "\"night-mail\"", "share", "0.15")),
                List.of("", "[[tenant]]", "name = \"fish-quay\"", "share = 0.1", "usage = [0.5, 1.4]"));
        writeVariant(
                Path.of(arguments[1]),
                "grain-ledger",
                List.of(
                        change("", 0, "name", "\"grain-ledger\""),
                        change("allow", 0, "max_attempts", "4"),
                        change("rules", 0, "drain_grace_ms", "1500", "fall_multiple", "3", "fall_ms", "2000"),
                        change("prices", 0, "waste", "0.05", "probe", "0.005", "late_fail", "0.08", "origin", "0.06"),
                        change(
                                "class",
                                0,
                                "name",
                                "\"weigh-in\"",
                                "share",
                                "[0.45, 0.6]",
                                "aim_ms",
                                "700",
                                "deadline_ms",
                                "2600",
                                "worth",
                                "4",
                                "late_worth",
                                "0.25"),
                        change(
                                "class",
                                1,
                                "name",
                                "\"settle-lot\"",
                                "share",
                                "[0.4, 0.5]",
                                "aim_ms",
                                "1100",
                                "deadline_ms",
                                "3500",
                                "worth",
                                "3",
                                "window_ms",
                                "4000")),
                List.of());
    }

    private static Change change(String table, int index, String... keysAndValues) {
        Map<String, String> values = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            values.put(keysAndValues[i], keysAndValues[i + 1]);
        }
        return new Change(table, index, values);
    }

    private static void writeVariant(Path site, String name, List<Change> changes, List<String> addedLines)
            throws IOException {
        List<String> lines = new ArrayList<>();
        Map<String, Integer> tableCounts = new LinkedHashMap<>();
        String table = "";
        int changedKeys = 0;
        for (String line : Files.readAllLines(site)) {
            if (line.startsWith("[")) {
                table = line.replaceAll("[\\[\\] ]", "");
                tableCounts.merge(table, 1, Integer::sum);
            }
            int index = tableCounts.getOrDefault(table, 1) - 1;
            String key = line.replaceAll(" *=.*", "");
            String changedLine = line;
            for (Change change : changes) {
                if (line.contains("=")
                        && change.table().equals(table)
                        && change.index() == index
                        && change.values().containsKey(key)) {
                    changedLine = change.values().get(key) == null
                            ? null
                            : key + " = " + change.values().get(key);
                    changedKeys++;
                }
            }
            if (changedLine != null) {
                lines.add(changedLine);
            }
        }
        lines.addAll(addedLines);
        int expectedKeys =
                changes.stream().mapToInt(change -> change.values().size()).sum();
        if (changedKeys != expectedKeys) {
            throw new IOException(
                    site + " has " + changedKeys + " of the " + expectedKeys + " keys that " + name + " changes");
        }
        Path folder = Files.createDirectories(Path.of("deploy", "sites", name));
        Files.write(folder.resolve(name + ".toml"), lines);
        for (String sibling : List.of("real.json", "wire.json", "unlock.txt")) {
            Files.copy(site.resolveSibling(sibling), folder.resolve(sibling), StandardCopyOption.REPLACE_EXISTING);
        }
        System.out.println(folder.resolve(name + ".toml"));
    }
}
