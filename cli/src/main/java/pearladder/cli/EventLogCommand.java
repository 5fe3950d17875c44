package pearladder.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import pearladder.eventlog.EventLog;
import pearladder.eventlog.EventLogReader;
import pearladder.eventlog.LogEntry;
import pearladder.eventlog.LogEntryType;
import pearladder.eventlog.RetentionSettings;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Commands on the event log of a router. */
@Command(
        name = "records",
        mixinStandardHelpOptions = true,
        description = {
            "The event log of a router: \"records\" in its data folder.",
            "All but compact may be used while the router runs."
        },
        subcommands = {EventLogCrashCommand.class, EventLogWriterCommand.class})
final class EventLogCommand implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "verify, dump, query or compact is missing");
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = "Check every file, checksum and number; ends with 1 if something is lost.")
    int verify(@Parameters(index = "0", paramLabel = "DIR") Path folder) throws IOException {
        EventLogReader.VerificationResult verified = new EventLogReader(folder).verify();
        verified.damage().forEach(out()::println);
        out().println(String.format(
                Locale.ROOT,
                "%d files, %d batches, %d entries, %.1f MB; %s",
                verified.files(),
                verified.batches(),
                verified.entries(),
                verified.bytes() / 1e6,
                verified.damage().isEmpty() ? "all whole" : verified.damage().size() + " damaged places"));
        return verified.damage().isEmpty() ? 0 : 1;
    }

    @Command(name = "dump", mixinStandardHelpOptions = true, description = "Print every entry as a line of JSON.")
    int dump(
            @Parameters(index = "0", paramLabel = "DIR") Path folder,
            @Option(names = "--from", defaultValue = "1", paramLabel = "NUMBER", description = "first entry") long from)
            throws IOException {
        new EventLogReader(folder).read(from, (number, entry) -> {
            if (number >= from) {
                out().println(JSON.createObjectNode()
                        .put("number", number)
                        .put("at", Instant.ofEpochMilli(entry.at()).toString())
                        .put("kind", code(entry.type()))
                        .put("call", entry.requestId())
                        .put("model", entry.function())
                        .put("account", entry.tenant())
                        .put("engine", entry.worker())
                        .put("note", entry.note())
                        .put("amount", entry.amount())
                        .put("took_us", entry.micros()));
            }
        });
        out().flush();
        return 0;
    }

    /** Options that select the entries of a query. */
    static final class Filter {
        @Option(
                names = "--from",
                paramLabel = "TIME",
                converter = TimeConverter.class,
                description = "such as 2026-12-01T15:00:00Z")
        Instant from = Instant.EPOCH;

        @Option(names = "--to", paramLabel = "TIME", converter = TimeConverter.class, description = "exclusive")
        Instant to = Instant.ofEpochMilli(Long.MAX_VALUE);

        @Option(names = "--kind", description = "one of ${COMPLETION-CANDIDATES}")
        LogEntryType kind;

        @Option(names = "--call", description = "identifier of a request")
        String call;

        @Option(names = "--model", description = "model, with its version, if any")
        String model;

        @Option(names = "--account", description = "tenant")
        String account;

        @Option(names = "--engine", description = "worker")
        String engine;

        boolean matches(LogEntry entry) {
            return (kind == null || entry.type() == kind)
                    && accepts(call, entry.requestId())
                    && accepts(model, entry.function())
                    && accepts(account, entry.tenant())
                    && accepts(engine, entry.worker());
        }

        private static boolean accepts(String wanted, String value) {
            return wanted == null || wanted.equals(value);
        }
    }

    @Command(
            name = "query",
            mixinStandardHelpOptions = true,
            description = "Print the entries of a period, kind, request, model, tenant or worker.")
    int query(@Parameters(index = "0", paramLabel = "DIR") Path folder, @CommandLine.Mixin Filter filter)
            throws IOException {
        long[] count = {0};
        new EventLogReader(folder)
                .find(filter.from.toEpochMilli(), filter.to.toEpochMilli(), filter::matches, (number, entry) -> {
                    count[0]++;
                    out().println(String.format(
                            Locale.ROOT,
                            "%8d  %s  %-9s %s",
                            number,
                            Instant.ofEpochMilli(entry.at()),
                            code(entry.type()),
                            describe(entry)));
                });
        out().println(count[0] + " entries");
        out().flush();
        return 0;
    }

    private static String describe(LogEntry entry) {
        StringBuilder text = new StringBuilder();
        for (String field :
                new String[] {entry.requestId(), entry.function(), entry.tenant(), entry.worker(), entry.note()}) {
            text.append(field.isEmpty() ? "" : field + "  ");
        }
        return text
                + (entry.amount() == 0 ? "" : entry.amount() + "  ")
                + (entry.micros() == 0 ? "" : String.format(Locale.ROOT, "%.1f ms", entry.micros() / 1e3));
    }

    /** Returns the old name of an entry type, which scripts read. */
    private static String code(LogEntryType type) {
        return type.name().toLowerCase(Locale.ROOT);
    }

    @Command(
            name = "compact",
            mixinStandardHelpOptions = true,
            description = {"Remove old details from all files that are full; a running router does it by itself."})
    int compact(
            @Parameters(index = "0", paramLabel = "DIR") Path folder,
            @Option(
                            names = "--days",
                            defaultValue = "7",
                            description = "remove details older than this (default: ${DEFAULT-VALUE})")
                    int days)
            throws IOException {
        RetentionSettings defaults = RetentionSettings.DEFAULTS;
        new EventLogReader(folder);
        try (EventLog eventLog = EventLog.open(
                folder,
                new RetentionSettings(
                        defaults.segmentBytes(),
                        defaults.segmentMillis(),
                        defaults.maxBytes(),
                        defaults.maxAgeMillis(),
                        TimeUnit.DAYS.toMillis(days)),
                out()::println)) {
            EventLog.CompactionResult compacted = eventLog.compact(Integer.MAX_VALUE);
            out().println(String.format(
                    Locale.ROOT,
                    "%d files written anew: %d details gone, %.1f MB to %.1f MB",
                    compacted.files(),
                    compacted.deletedDetails(),
                    compacted.bytesBefore() / 1e6,
                    compacted.bytesAfter() / 1e6));
        }
        return 0;
    }
}
