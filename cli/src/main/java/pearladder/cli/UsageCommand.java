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
import java.util.function.Consumer;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import pearladder.eventlog.metering.Metering;
import pearladder.metering.UsageShare;
import pearladder.testbed.Report;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "usage",
        mixinStandardHelpOptions = true,
        description = {
            "Memory-seconds by account, from the records of all routers: gigabytes times seconds that models held, loading counted.",
            "Shares sum exactly to the whole; records of several routers are merged without counting twice."
        })
final class UsageCommand implements Callable<Integer> {
    /** What shares are summed by. */
    enum By {
        ACCOUNT,
        MODEL,
        ENGINE,
        DAY
    }

    /** Sums of a row. */
    private static final class Sums {
        private long amount;
        private long loads;
        private long work;

        void add(UsageShare share) {
            amount += share.amount();
            loads += share.loads();
            work += share.work();
        }

        double gigabyteSeconds() {
            return amount / 1e6;
        }
    }

    /** A span of time and the records that are read. */
    static final class Span {
        @Parameters(arity = "0..*", paramLabel = "DIR", description = "folders of records, one for each router")
        List<Path> folders = List.of();

        @Option(
                names = "--from",
                paramLabel = "TIME",
                converter = RecordsCommand.Times.class,
                description = "such as 2026-12-01 or 2026-12-01T15:00:00Z")
        Instant from = Instant.EPOCH;

        @Option(
                names = "--to",
                paramLabel = "TIME",
                converter = RecordsCommand.Times.class,
                description = "up to, without it")
        Instant to = Instant.ofEpochMilli(Long.MAX_VALUE);

        /** Gives every share of the time, one by one: a month has many millions. Whole minutes count by their beginning. */
        void shares(PrintWriter out, Consumer<UsageShare> taker) throws IOException {
            Metering.Read read = Metering.read(folders, share -> {
                if (share.from() >= from.toEpochMilli() && share.from() < to.toEpochMilli()) {
                    taker.accept(share);
                }
            });
            if (read.tooLate() > 0) {
                out.println(read.tooLate() + " entries came too late for their minute and count in a later one"
                        + " (a clock that stepped back, or routers whose clocks are minutes apart)");
            }
        }
    }

    @Spec
    private CommandSpec spec;

    @CommandLine.Mixin
    private Span span;

    @Option(
            names = "--by",
            split = ",",
            defaultValue = "ACCOUNT",
            description = "${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE})")
    private List<By> by;

    @Option(names = "--csv", paramLabel = "FILE", description = "the same as CSV")
    private Path csv;

    @Option(names = "--chart", paramLabel = "FILE", description = "a page with a chart by day and account")
    private Path chart;

    @Override
    public Integer call() throws IOException {
        if (span.folders.isEmpty()) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "name the folders of records, one for each router");
        }
        PrintWriter out = spec.commandLine().getOut();
        TreeMap<String, Sums> rows = new TreeMap<>();
        Map<String, Map<String, Double>> byDay = new TreeMap<>();
        Sums all = new Sums();
        span.shares(out, share -> {
            rows.computeIfAbsent(key(share), key -> new Sums()).add(share);
            byDay.computeIfAbsent(share.account().isEmpty() ? "(nobody)" : share.account(), account -> new TreeMap<>())
                    .merge(day(share), share.amount() / 1e6, Double::sum);
            all.add(share);
        });
        out.println(String.format(
                Locale.ROOT,
                "%-48s %14s %8s %12s %7s",
                by.stream()
                        .map(one -> one.name().toLowerCase(Locale.ROOT))
                        .reduce((a, b) -> a + ", " + b)
                        .orElse(""),
                "GB seconds",
                "loads",
                "work, s",
                "share"));
        rows.forEach((key, sums) -> out.println(String.format(
                Locale.ROOT,
                "%-48s %14.3f %8d %12.3f %6.1f%%",
                key.replace("\t", ", "),
                sums.gigabyteSeconds(),
                sums.loads,
                sums.work / 1e6,
                100.0 * sums.amount / Math.max(1, all.amount))));
        out.println(String.format(
                Locale.ROOT, "%-48s %14.3f %8d %12.3f", "all", all.gigabyteSeconds(), all.loads, all.work / 1e6));
        if (csv != null) {
            write(rows);
        }
        if (chart != null) {
            System.setProperty("java.awt.headless", "true");
            Report.bars(chart, "Memory by day and account", "GB seconds", byDay);
        }
        out.flush();
        return 0;
    }

    private String key(UsageShare share) {
        return String.join(
                "\t",
                by.stream()
                        .map(one -> switch (one) {
                            case ACCOUNT -> share.account().isEmpty() ? "(nobody)" : share.account();
                            case MODEL -> share.model();
                            case ENGINE -> share.engine();
                            case DAY -> day(share);
                        })
                        .toList());
    }

    private static String day(UsageShare share) {
        return Instant.ofEpochMilli(share.from())
                .atZone(ZoneOffset.UTC)
                .toLocalDate()
                .toString();
    }

    /** Whole megabyte-milliseconds, so that sums stay exact. */
    private void write(TreeMap<String, Sums> rows) throws IOException {
        List<String> head = new ArrayList<>(
                by.stream().map(one -> one.name().toLowerCase(Locale.ROOT)).toList());
        head.addAll(List.of("megabyte_milliseconds", "gigabyte_seconds", "loads", "work_microseconds"));
        try (CSVPrinter lines = new CSVPrinter(Files.newBufferedWriter(csv), CSVFormat.DEFAULT)) {
            lines.printRecord(head);
            for (Map.Entry<String, Sums> row : rows.entrySet()) {
                List<Object> cells = new ArrayList<>(List.of(row.getKey().split("\t", -1)));
                cells.addAll(List.of(
                        row.getValue().amount,
                        row.getValue().gigabyteSeconds(),
                        row.getValue().loads,
                        row.getValue().work));
                lines.printRecord(cells);
            }
        }
    }

    @Command(
            name = "explain",
            mixinStandardHelpOptions = true,
            description = {
                "Why an account's memory grew: the second half of the time against the first, by model and by day."
            })
    int explain(
            @Parameters(index = "0", paramLabel = "ACCOUNT") String account,
            @Parameters(index = "1..*", arity = "1..*", paramLabel = "DIR") List<Path> folders,
            @Option(names = "--from", paramLabel = "TIME", converter = RecordsCommand.Times.class) Instant from,
            @Option(names = "--to", paramLabel = "TIME", converter = RecordsCommand.Times.class) Instant to)
            throws IOException {
        Span asked = new Span();
        asked.folders = folders;
        asked.from = from == null ? asked.from : from;
        asked.to = to == null ? asked.to : to;
        PrintWriter out = spec.commandLine().getOut();
        long[] span = {Long.MAX_VALUE, Long.MIN_VALUE};
        asked.shares(out, share -> {
            if (share.account().equals(account)) {
                span[0] = Math.min(span[0], share.from());
                span[1] = Math.max(span[1], share.from() + Metering.INTERVAL);
            }
        });
        if (span[1] == Long.MIN_VALUE) {
            out.println(account + ": nothing in that time; pearladder usage --by ACCOUNT names all accounts");
            out.flush();
            return 1;
        }
        long begins = from == null ? span[0] : from.toEpochMilli();
        long ends = to == null ? span[1] : to.toEpochMilli();
        long half = begins + (ends - begins) / 2;
        TreeMap<String, Sums[]> models = new TreeMap<>();
        TreeMap<String, Sums> days = new TreeMap<>();
        Sums[] all = {new Sums(), new Sums()};
        asked.shares(out, share -> {
            if (share.account().equals(account)) {
                int which = share.from() < half ? 0 : 1;
                models.computeIfAbsent(share.model(), model -> new Sums[] {new Sums(), new Sums()})[which].add(share);
                days.computeIfAbsent(day(share), day -> new Sums()).add(share);
                all[which].add(share);
            }
        });
        out.println(account + ": " + Instant.ofEpochMilli(begins) + " to " + Instant.ofEpochMilli(half) + ", then to "
                + Instant.ofEpochMilli(ends));
        out.println(String.format(
                Locale.ROOT,
                "%-32s %12s %12s %12s %8s %8s %10s %10s",
                "model",
                "GB s, first",
                "GB s, then",
                "more",
                "loads",
                "then",
                "work, s",
                "then"));
        List<Map.Entry<String, Sums[]>> sorted = new ArrayList<>(models.entrySet());
        sorted.sort((a, b) -> Long.compare(grown(b.getValue()), grown(a.getValue())));
        sorted.forEach(row -> out.println(line(row.getKey(), row.getValue())));
        out.println(line("all", all));
        days.forEach((day, sums) -> out.println(String.format(
                Locale.ROOT,
                "%-32s %12.3f  %d loads, %.3f s of work",
                day,
                sums.gigabyteSeconds(),
                sums.loads,
                sums.work / 1e6)));
        out.flush();
        return 0;
    }

    private static long grown(Sums[] halves) {
        return halves[1].amount - halves[0].amount;
    }

    private static String line(String name, Sums[] halves) {
        return String.format(
                Locale.ROOT,
                "%-32s %12.3f %12.3f %+12.3f %8d %8d %10.3f %10.3f",
                name,
                halves[0].gigabyteSeconds(),
                halves[1].gigabyteSeconds(),
                grown(halves) / 1e6,
                halves[0].loads,
                halves[1].loads,
                halves[0].work / 1e6,
                halves[1].work / 1e6);
    }
}
