package pearladder.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import pearladder.eventlog.metering.Metering;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Compares a tenant's memory-seconds in the second half of a period with those in the first. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = {"Why a tenant's memory grew: the second half of the time against the first, by model and by day."
        })
final class MeteringExplainCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "ACCOUNT", description = "the tenant")
    private String account;

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "DIR", description = "event logs")
    private List<Path> folders;

    @Option(names = "--from", paramLabel = "TIME", converter = TimeConverter.class)
    private Instant from;

    @Option(names = "--to", paramLabel = "TIME", converter = TimeConverter.class)
    private Instant to;

    @Spec
    private CommandSpec spec;

    /** Sums of the first and the second half of the period. */
    private static final class Halves {
        private final UsageSums first = new UsageSums();
        private final UsageSums second = new UsageSums();

        /** Megabyte-milliseconds. */
        long growth() {
            return second.megabyteMillis() - first.megabyteMillis();
        }
    }

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        MeteringInput input = new MeteringInput();
        input.folders = folders;
        input.from = from == null ? input.from : from;
        input.to = to == null ? input.to : to;
        long[] used = usedTime(input, out);
        if (used == null) {
            out.println(account + ": nothing in that time; pearladder usage --by ACCOUNT names all accounts");
            out.flush();
            return 1;
        }
        long start = from == null ? used[0] : from.toEpochMilli();
        long end = to == null ? used[1] : to.toEpochMilli();
        printComparison(input, out, start, end);
        out.flush();
        return 0;
    }

    /** Returns the start and end of the tenant's usage, in milliseconds since 1970; null for none. */
    private long[] usedTime(MeteringInput input, PrintWriter out) throws IOException {
        long[] used = {Long.MAX_VALUE, Long.MIN_VALUE};
        input.shares(out, share -> {
            if (share.tenant().equals(account)) {
                used[0] = Math.min(used[0], share.intervalStartMillis());
                used[1] = Math.max(used[1], share.intervalStartMillis() + Metering.INTERVAL_MILLIS);
            }
        });
        return used[1] == Long.MIN_VALUE ? null : used;
    }

    private void printComparison(MeteringInput input, PrintWriter out, long start, long end) throws IOException {
        long half = start + (end - start) / 2;
        TreeMap<String, Halves> models = new TreeMap<>();
        TreeMap<String, UsageSums> days = new TreeMap<>();
        Halves all = new Halves();
        input.shares(out, share -> {
            if (share.tenant().equals(account)) {
                Halves model = models.computeIfAbsent(share.model(), name -> new Halves());
                boolean early = share.intervalStartMillis() < half;
                (early ? model.first : model.second).add(share);
                (early ? all.first : all.second).add(share);
                days.computeIfAbsent(MeteringCommand.day(share), day -> new UsageSums())
                        .add(share);
            }
        });
        out.println(account + ": " + Instant.ofEpochMilli(start) + " to " + Instant.ofEpochMilli(half) + ", then to "
                + Instant.ofEpochMilli(end));
        printModels(out, models, all);
        days.forEach((day, sums) -> out.println(String.format(
                Locale.ROOT,
                "%-32s %12.3f  %d loads, %.3f s of work",
                day,
                sums.gigabyteSeconds(),
                sums.loads(),
                sums.workSeconds())));
    }

    private static void printModels(PrintWriter out, TreeMap<String, Halves> models, Halves all) {
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
        List<Map.Entry<String, Halves>> sorted = new ArrayList<>(models.entrySet());
        sorted.sort((a, b) -> Long.compare(b.getValue().growth(), a.getValue().growth()));
        sorted.forEach(row -> out.println(format(row.getKey(), row.getValue())));
        out.println(format("all", all));
    }

    private static String format(String name, Halves halves) {
        return String.format(
                Locale.ROOT,
                "%-32s %12.3f %12.3f %+12.3f %8d %8d %10.3f %10.3f",
                name,
                halves.first.gigabyteSeconds(),
                halves.second.gigabyteSeconds(),
                halves.growth() / UsageSums.MEGABYTE_MILLIS_PER_GIGABYTE_SECOND,
                halves.first.loads(),
                halves.second.loads(),
                halves.first.workSeconds(),
                halves.second.workSeconds());
    }
}
