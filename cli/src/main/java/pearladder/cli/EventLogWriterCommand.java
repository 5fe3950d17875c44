package pearladder.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import pearladder.eventlog.EventLog;
import pearladder.eventlog.LogEntry;
import pearladder.eventlog.LogEntryType;
import pearladder.eventlog.RetentionSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Writes batches to an event log and prints the number of each batch's last entry once it is on disk, until killed.
 * Child process of {@link EventLogCrashCommand}.
 */
@Command(name = "write", hidden = true)
final class EventLogWriterCommand implements Callable<Integer> {
    /** Small files, so that many are written; nothing but details is ever removed. */
    private static final RetentionSettings RETENTION = new RetentionSettings(1 << 20, 60_000, 1L << 40, 1L << 40, 1000);

    private static final long MAX_BATCHES = 1_000_000;
    private static final int MAX_ENTRIES_PER_BATCH = 40;
    private static final int BATCHES_BETWEEN_COMPACTIONS = 50;

    @Parameters(index = "0")
    private Path folder;

    @Spec
    private CommandSpec spec;

    private final Random random = new Random();

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        try (EventLog eventLog = EventLog.open(folder, RETENTION, out::println)) {
            for (long batch = 0; batch < MAX_BATCHES; batch++) {
                eventLog.append(randomBatch(batch));
                if (batch % BATCHES_BETWEEN_COMPACTIONS == BATCHES_BETWEEN_COMPACTIONS - 1) {
                    eventLog.compact(1);
                }
                out.println(eventLog.nextNumber() - 1 + EventLogCrashCommand.ACKNOWLEDGEMENT_END);
                out.flush();
            }
        }
        return 0;
    }

    private List<LogEntry> randomBatch(long batch) {
        List<LogEntry> entries = new ArrayList<>();
        for (int i = random.nextInt(MAX_ENTRIES_PER_BATCH); i >= 0; i--) {
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
        return entries;
    }
}
