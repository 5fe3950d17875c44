package pearladder.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import pearladder.metering.UsageShare;
import pearladder.testbed.Report;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Memory-seconds by tenant, model, worker or day. */
@Command(
        name = "usage",
        mixinStandardHelpOptions = true,
        description = {
            "Memory-seconds by tenant, from the event logs of all routers.",
            "They are gigabytes times seconds that models held, loading counted.",
            "Shares sum exactly to the whole; event logs of several routers are merged without counting twice."
        },
        subcommands = MeteringExplainCommand.class)
final class MeteringCommand implements Callable<Integer> {
    /** Attribute by which shares are summed; the constants are values of {@code --by} and headings in the CSV. */
    enum Group {
        ACCOUNT,
        MODEL,
        ENGINE,
        DAY
    }

    @Spec
    private CommandSpec spec;

    @CommandLine.Mixin
    private MeteringInput input;

    @Option(
            names = "--by",
            split = ",",
            defaultValue = "ACCOUNT",
            description = "${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE})")
    private List<Group> by;

    @Option(names = "--csv", paramLabel = "FILE", description = "the same as CSV")
    private Path csv;

    @Option(names = "--chart", paramLabel = "FILE", description = "a page with a chart by day and tenant")
    private Path chart;

    @Override
    public Integer call() throws IOException {
        if (input.folders.isEmpty()) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "name the folders of records, one for each router");
        }
        PrintWriter out = spec.commandLine().getOut();
        TreeMap<String, UsageSums> rows = new TreeMap<>();
        Map<String, Map<String, Double>> byDay = new TreeMap<>();
        UsageSums all = new UsageSums();
        input.shares(out, share -> {
            rows.computeIfAbsent(key(share), key -> new UsageSums()).add(share);
            byDay.computeIfAbsent(tenant(share), tenant -> new TreeMap<>())
                    .merge(
                            day(share),
                            share.megabyteMillis() / UsageSums.MEGABYTE_MILLIS_PER_GIGABYTE_SECOND,
                            Double::sum);
            all.add(share);
        });
        printTable(out, rows, all);
        if (csv != null) {
            writeCsv(rows);
        }
        if (chart != null) {
            System.setProperty("java.awt.headless", "true");
            Report.bars(chart, "Memory by day and account", "GB seconds", byDay);
        }
        out.flush();
        return 0;
    }

    private void printTable(PrintWriter out, TreeMap<String, UsageSums> rows, UsageSums all) {
        out.println(String.format(
                Locale.ROOT,
                "%-48s %14s %8s %12s %7s",
                String.join(", ", groupNames()),
                "GB seconds",
                "loads",
                "work, s",
                "share"));
        rows.forEach((key, sums) -> out.println(String.format(
                Locale.ROOT,
                "%-48s %14.3f %8d %12.3f %6.1f%%",
                key.replace("\t", ", "),
                sums.gigabyteSeconds(),
                sums.loads(),
                sums.workSeconds(),
                100.0 * sums.megabyteMillis() / Math.max(1, all.megabyteMillis()))));
        out.println(String.format(
                Locale.ROOT, "%-48s %14.3f %8d %12.3f", "all", all.gigabyteSeconds(), all.loads(), all.workSeconds()));
    }

    private List<String> groupNames() {
        return by.stream().map(group -> group.name().toLowerCase(Locale.ROOT)).toList();
    }

    private static String tenant(UsageShare share) {
        return share.tenant().isEmpty() ? "(nobody)" : share.tenant();
    }

    private String key(UsageShare share) {
        return String.join(
                "\t",
                by.stream()
                        .map(group -> switch (group) {
                            case ACCOUNT -> tenant(share);
                            case MODEL -> share.model();
                            case ENGINE -> share.worker();
                            case DAY -> day(share);
                        })
                        .toList());
    }

    static String day(UsageShare share) {
        return Instant.ofEpochMilli(share.intervalStartMillis())
                .atZone(ZoneOffset.UTC)
                .toLocalDate()
                .toString();
    }

    private void writeCsv(TreeMap<String, UsageSums> rows) throws IOException {
        List<String> head = new ArrayList<>(groupNames());
        head.addAll(List.of("megabyte_milliseconds", "gigabyte_seconds", "loads", "work_microseconds"));
        try (CSVPrinter printer = new CSVPrinter(Files.newBufferedWriter(csv), CSVFormat.DEFAULT)) {
            printer.printRecord(head);
            for (Map.Entry<String, UsageSums> row : rows.entrySet()) {
                UsageSums sums = row.getValue();
                List<Object> cells = new ArrayList<>(List.of(row.getKey().split("\t", -1)));
                cells.addAll(List.of(sums.megabyteMillis(), sums.gigabyteSeconds(), sums.loads(), sums.workMicros()));
                printer.printRecord(cells);
            }
        }
    }
}
