package pearladder.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Commands in this process: their names, what they write, and how they report mistakes. */
class CommandsTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... arguments) {
        out.getBuffer().setLength(0);
        err.getBuffer().setLength(0);
        return Commands.commandLine()
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(err, true))
                .execute(arguments);
    }

    @Test
    void commandsKeepTheirNames() {
        CommandLine root = Commands.commandLine();
        assertEquals(
                Set.of(
                        "try",
                        "router",
                        "engines",
                        "check",
                        "day",
                        "rehearse",
                        "search",
                        "measure",
                        "pass-through",
                        "trace",
                        "replay",
                        "experiment",
                        "report",
                        "release",
                        "records",
                        "usage",
                        "wirehost",
                        "platform",
                        "help"),
                root.getSubcommands().keySet());
        assertEquals(
                Set.of("verify", "dump", "query", "compact", "prove", "write"),
                root.getSubcommands().get("records").getSubcommands().keySet());
        assertEquals(
                Set.of("explain"),
                root.getSubcommands().get("usage").getSubcommands().keySet());
    }

    @Test
    void traceIsCutIntoANewFileAndNeverOverwritesAnExistingOne(@TempDir Path folder) throws IOException {
        Path from = folder.resolve("from.csv");
        String text = "arrival_s,model,work_ms,memory_mb,category,account\n0,a,,,,\n5,b,,,,\n9,c,,,,\n";
        Files.writeString(from, text);
        Path to = folder.resolve("to.csv");
        assertEquals(
                0, run("trace", "cut", from.toString(), to.toString(), "--from", "4", "--until", "9"), err.toString());
        assertTrue(out.toString().startsWith("1 of 3 calls written"), out.toString());
        assertTrue(Files.readString(to).endsWith("\n1,b,,,,\n"), Files.readString(to));
        assertEquals(text, Files.readString(from));
        assertEquals(1, run("trace", "convert", to.toString(), from.toString()));
        assertEquals(text, Files.readString(from));
        assertTrue(err.toString().contains("it is there already"), err.toString());
    }

    @Test
    void userMistakesAreReportedWithTheirExitCodeAndNoStackTrace(@TempDir Path folder) throws IOException {
        Path invalid = Files.writeString(folder.resolve("odd.yaml"), "day: {lasting: 5}\n");
        assertEquals(2, run("check", invalid.toString()));
        assertTrue(
                err.toString().contains("odd.yaml:1: day.lasting: a span of time with its unit was expected"),
                err.toString());
        assertEquals(2, run("nothing"));
        assertEquals(2, run());
        assertEquals(1, run("trace", "info", folder.resolve("none").toString()));
        assertEquals(1, run("report", folder.resolve("none").toString()));
        assertTrue(err.toString().contains("can't be read"), err.toString());
        Path trace = Files.writeString(
                folder.resolve("t.csv"), "arrival_s,model,work_ms,memory_mb,category,account\nx,a\n1,b\n");
        assertEquals(0, run("trace", "info", trace.toString()));
        assertTrue(err.toString().contains("line 2, arrival_s: not a number \"x\""), err.toString());
        assertTrue(out.toString().contains("left out, arrival_s: not a number: 1"), out.toString());
        assertEquals(1, run("trace", "info", "--strict", trace.toString()));
        assertEquals(2, run("trace", "info", "--layout", "other", trace.toString()));
        assertTrue(!err.toString().contains("\tat "), "no stack trace");
    }
}
