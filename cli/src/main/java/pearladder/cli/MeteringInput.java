package pearladder.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import pearladder.eventlog.metering.Metering;
import pearladder.metering.UsageShare;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Options that name the event logs to read, and the period to be read. */
final class MeteringInput {
    @Parameters(
            arity = "0..*",
            paramLabel = "DIR",
            description = "event logs (\"records\"), one folder for each router")
    List<Path> folders = List.of();

    @Option(
            names = "--from",
            paramLabel = "TIME",
            converter = TimeConverter.class,
            description = "such as 2026-12-01 or 2026-12-01T15:00:00Z")
    Instant from = Instant.EPOCH;

    @Option(names = "--to", paramLabel = "TIME", converter = TimeConverter.class, description = "exclusive")
    Instant to = Instant.ofEpochMilli(Long.MAX_VALUE);

    /**
     * Passes on every share of the period one by one, as a month has many millions. A minute belongs to the period
     * that holds its start.
     */
    void shares(PrintWriter out, Consumer<UsageShare> consumer) throws IOException {
        Metering.MeteringResult read = Metering.computeShares(folders, share -> {
            if (share.intervalStartMillis() >= from.toEpochMilli() && share.intervalStartMillis() < to.toEpochMilli()) {
                consumer.accept(share);
            }
        });
        if (read.lateEntries() > 0) {
            out.println(read.lateEntries() + " entries came too late for their minute and count in a later one"
                    + " (a clock that stepped back, or routers whose clocks are minutes apart)");
        }
    }
}
