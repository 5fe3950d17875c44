package pearladder.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import pearladder.eventlog.EventLogReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks on a given disk that an event log loses nothing it has acknowledged when its process is killed. */
@Command(
        name = "prove",
        mixinStandardHelpOptions = true,
        description = {
            "Kill a writer at random times, and check that every entry it had acknowledged is there.",
            "Use an empty folder on the disk in question. Ends with 1 where something was lost."
        })
final class EventLogCrashCommand implements Callable<Integer> {
    /** Ends a line of the writer that acknowledges entries, so that a line cut off by the kill does not count. */
    static final String ACKNOWLEDGEMENT_END = ";";

    private static final int MIN_RUN_MILLIS = 20;
    private static final int RUN_SPREAD_MILLIS = 400;

    @Parameters(index = "0", paramLabel = "DIR", description = "an empty folder")
    private Path folder;

    @Option(names = "--kills", defaultValue = "200", description = "default: ${DEFAULT-VALUE}")
    private int kills;

    @Option(names = "--seed", defaultValue = "1", description = "of the times")
    private long seed;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        if (Files.exists(folder) && !EventLogReader.isEmpty(folder)) {
            throw new IOException(folder + ": there are records; name an empty folder");
        }
        Files.createDirectories(folder);
        PrintWriter out = spec.commandLine().getOut();
        Random random = new Random(seed);
        long acknowledged = 0;
        long losses = 0;
        for (int kill = 1; kill <= kills; kill++) {
            int runMillis = MIN_RUN_MILLIS + random.nextInt(RUN_SPREAD_MILLIS);
            acknowledged = Math.max(acknowledged, writeAndKill(runMillis));
            // a compaction removes old details but keeps their numbers, so verify detects a missing number
            EventLogReader.VerificationResult verified = new EventLogReader(folder).verify();
            long last = lastEntry(acknowledged);
            if (last < acknowledged || !verified.damage().isEmpty()) {
                losses++;
                out.println("kill " + kill + ": " + acknowledged + " entries were acknowledged, " + last
                        + " are there; " + verified.damage());
            }
        }
        out.println(
                kills + " kills, " + acknowledged + " entries acknowledged, " + losses + " times something was lost");
        return losses == 0 ? 0 : 1;
    }

    private long lastEntry(long from) throws IOException {
        long[] last = {0};
        new EventLogReader(folder).read(from, (number, entry) -> last[0] = Math.max(last[0], number));
        return last[0];
    }

    /** Returns the number of the last entry that the writer acknowledged before it was killed; 0 for none. */
    private long writeAndKill(int runMillis) throws IOException {
        List<String> command = new ArrayList<>(OwnProcess.command());
        command.addAll(List.of("records", "write", folder.toString()));
        Process writer = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        long last = 0;
        try (BufferedReader output = writer.inputReader()) {
            String line = output.readLine();
            new Thread(() -> killAfter(writer, runMillis)).start();
            for (; line != null; line = output.readLine()) {
                if (line.matches("[0-9]+" + ACKNOWLEDGEMENT_END)) {
                    last = Long.parseLong(line.substring(0, line.length() - 1));
                }
            }
        }
        return last;
    }

    private static void killAfter(Process process, int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException early) {
            Thread.currentThread().interrupt();
        }
        process.destroyForcibly();
    }
}
