package pearladder.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
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

@Command(
        name = "records",
        mixinStandardHelpOptions = true,
        description = {
            "What a router kept of what it did: its data folder's \"records\".",
            "All but compact may be used while the router runs."
        })
final class RecordsCommand implements Runnable {
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
            description = "Look at every file, checksum and number; ends with 1 where something is lost.")
    int verify(@Parameters(index = "0", paramLabel = "DIR") Path folder) throws IOException {
        EventLogReader.Verified found = new EventLogReader(folder).verify();
        found.damage().forEach(out()::println);
        out().println(String.format(
                Locale.ROOT,
                "%d files, %d batches, %d entries, %.1f MB; %s",
                found.files(),
                found.batches(),
                found.entries(),
                found.bytes() / 1e6,
                found.damage().isEmpty() ? "all whole" : found.damage().size() + " damaged places"));
        return found.damage().isEmpty() ? 0 : 1;
    }

    @Command(name = "dump", mixinStandardHelpOptions = true, description = "Every entry as a line of JSON.")
    int dump(
            @Parameters(index = "0", paramLabel = "DIR") Path folder,
            @Option(names = "--from", defaultValue = "1", paramLabel = "NUMBER", description = "first entry") long from)
            throws IOException {
        new EventLogReader(folder).read(from, (number, entry) -> {
            if (number >= from) {
                out().println(JSON.createObjectNode()
                        .put("number", number)
                        .put("at", Instant.ofEpochMilli(entry.at()).toString())
                        .put("kind", word(entry.kind()))
                        .put("call", entry.call())
                        .put("model", entry.model())
                        .put("account", entry.account())
                        .put("engine", entry.engine())
                        .put("note", entry.note())
                        .put("amount", entry.amount())
                        .put("took_us", entry.took()));
            }
        });
        out().flush();
        return 0;
    }

    /** What is looked for. */
    static final class Wanted {
        @Option(
                names = "--from",
                paramLabel = "TIME",
                converter = Times.class,
                description = "such as 2026-12-01T15:00:00Z")
        Instant from = Instant.EPOCH;

        @Option(names = "--to", paramLabel = "TIME", converter = Times.class, description = "up to, without it")
        Instant to = Instant.ofEpochMilli(Long.MAX_VALUE);

        @Option(names = "--kind", description = "one of ${COMPLETION-CANDIDATES}")
        LogEntryType kind;

        @Option(names = "--call", description = "the call's name")
        String call;

        @Option(names = "--model", description = "with its version, if any")
        String model;

        @Option(names = "--account")
        String account;

        @Option(names = "--engine")
        String engine;

        boolean is(LogEntry entry) {
            return (kind == null || entry.kind() == kind)
                    && same(call, entry.call())
                    && same(model, entry.model())
                    && same(account, entry.account())
                    && same(engine, entry.engine());
        }

        private static boolean same(String wanted, String found) {
            return wanted == null || wanted.equals(found);
        }
    }

    @Command(
            name = "query",
            mixinStandardHelpOptions = true,
            description = "Entries of a time, a kind, a call, a model, an engine.")
    int query(@Parameters(index = "0", paramLabel = "DIR") Path folder, @CommandLine.Mixin Wanted wanted)
            throws IOException {
        long[] found = {0};
        new EventLogReader(folder)
                .find(wanted.from.toEpochMilli(), wanted.to.toEpochMilli(), wanted::is, (number, entry) -> {
                    found[0]++;
                    out().println(String.format(
                            Locale.ROOT,
                            "%8d  %s  %-9s %s",
                            number,
                            Instant.ofEpochMilli(entry.at()),
                            word(entry.kind()),
                            words(entry)));
                });
        out().println(found[0] + " entries");
        out().flush();
        return 0;
    }

    private static String words(LogEntry entry) {
        StringBuilder words = new StringBuilder();
        for (String word : new String[] {entry.call(), entry.model(), entry.account(), entry.engine(), entry.note()}) {
            words.append(word.isEmpty() ? "" : word + "  ");
        }
        return words
                + (entry.amount() == 0 ? "" : entry.amount() + "  ")
                + (entry.took() == 0 ? "" : String.format(Locale.ROOT, "%.1f ms", entry.took() / 1e3));
    }

    private static String word(LogEntryType kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    @Command(
            name = "compact",
            mixinStandardHelpOptions = true,
            description = {"Take old details out of all files that are full; a running router does it by itself."})
    int compact(
            @Parameters(index = "0", paramLabel = "DIR") Path folder,
            @Option(
                            names = "--days",
                            defaultValue = "7",
                            description = "details older than that go (default: ${DEFAULT-VALUE})")
                    int days)
            throws IOException {
        RetentionSettings usual = RetentionSettings.USUAL;
        new EventLogReader(folder);
        try (EventLog records = EventLog.open(
                folder,
                new RetentionSettings(
                        usual.segmentBytes(),
                        usual.segmentMillis(),
                        usual.allBytes(),
                        usual.allMillis(),
                        days * 86_400_000L),
                out()::println)) {
            EventLog.Compacted done = records.compact(Integer.MAX_VALUE);
            out().println(String.format(
                    Locale.ROOT,
                    "%d files written anew: %d details gone, %.1f MB to %.1f MB",
                    done.files(),
                    done.details(),
                    done.before() / 1e6,
                    done.after() / 1e6));
        }
        return 0;
    }

    @Command(
            name = "prove",
            mixinStandardHelpOptions = true,
            description = {
                "Kill a writer at random moments, and look whether all that it had acknowledged is there; in an empty folder,",
                "on the disk that is to be proved. Ends with 1 where something was lost."
            })
    int prove(
            @Parameters(index = "0", paramLabel = "DIR") Path folder,
            @Option(names = "--kills", defaultValue = "200", description = "default: ${DEFAULT-VALUE}") int kills,
            @Option(names = "--seed", defaultValue = "1", description = "of the moments") long seed)
            throws IOException {
        if (Files.exists(folder) && !EventLogReader.empty(folder)) {
            throw new IOException(folder + ": there are records; name an empty folder");
        }
        Files.createDirectories(folder);
        Random random = new Random(seed);
        long acknowledged = 0;
        long lost = 0;
        for (int i = 0; i < kills; i++) {
            acknowledged = Math.max(acknowledged, writeAndKill(folder, 20 + random.nextInt(400)));
            // a compaction takes old details out, never their numbers: verify finds a number that is missing
            EventLogReader.Verified found = new EventLogReader(folder).verify();
            long[] last = {0};
            new EventLogReader(folder).read(acknowledged, (number, entry) -> last[0] = Math.max(last[0], number));
            if (last[0] < acknowledged || !found.damage().isEmpty()) {
                lost++;
                out().println("kill " + (i + 1) + ": " + acknowledged + " entries were acknowledged, " + last[0]
                        + " are there; " + found.damage());
            }
        }
        out().println(kills + " kills, " + acknowledged + " entries acknowledged, " + lost
                + " times something was lost");
        return lost == 0 ? 0 : 1;
    }

    private static long writeAndKill(Path folder, int millis) throws IOException {
        List<String> command = new ArrayList<>(SelfCommand.command());
        command.addAll(List.of("records", "write", folder.toString()));
        Process writer = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        long[] last = {0};
        try (BufferedReader said = writer.inputReader()) {
            String line = said.readLine();
            Thread killer = new Thread(() -> {
                try {
                    Thread.sleep(millis);
                } catch (InterruptedException early) {
                    Thread.currentThread().interrupt();
                }
                writer.destroyForcibly();
            });
            killer.start();
            for (; line != null; line = said.readLine()) {
                last[0] = line.matches("[0-9]+;") ? Long.parseLong(line.substring(0, line.length() - 1)) : last[0];
            }
        }
        return last[0];
    }

    /** Writes batches and acknowledges each by its last number, until it is killed. */
    @Command(name = "write", hidden = true)
    int write(@Parameters(index = "0") Path folder) throws IOException {
        Random random = new Random();
        try (EventLog records = EventLog.open(
                folder, new RetentionSettings(1 << 20, 60_000, 1L << 40, 1L << 40, 1000), out()::println)) {
            for (long batch = 0; batch < 1_000_000; batch++) {
                List<LogEntry> entries = new ArrayList<>();
                for (int i = random.nextInt(40); i >= 0; i--) {
                    entries.add(new LogEntry(
                            System.currentTimeMillis(),
                            i % 3 == 0 ? LogEntryType.ENDED : LogEntryType.LEG,
                            "c" + batch + "-" + i,
                            "pair-" + i,
                            "tender",
                            "engine-" + i % 7,
                            "settled",
                            batch,
                            i));
                }
                records.append(entries);
                if (batch % 50 == 49) {
                    records.compact(1);
                }
                out().println(records.next() - 1 + ";");
                out().flush();
            }
        }
        return 0;
    }

    /** A moment as ISO 8601 has it, or a day. */
    static final class Times implements CommandLine.ITypeConverter<Instant> {
        @Override
        public Instant convert(String text) {
            try {
                return text.length() == 10 ? Instant.parse(text + "T00:00:00Z") : Instant.parse(text);
            } catch (java.time.DateTimeException unreadable) {
                throw new CommandLine.TypeConversionException(
                        "\"" + text + "\" is no time; write 2026-12-01 or 2026-12-01T15:00:00Z");
            }
        }
    }
}
