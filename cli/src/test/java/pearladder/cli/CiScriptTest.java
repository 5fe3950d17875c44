package pearladder.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how the CI script handles KNOWN-RED.txt, with a fake build tool that records its calls. */
class CiScriptTest {
    private static final String VALID_ENTRY = "SlowTest#waits | mvn test -Dsoak.seed=7 | an answer after 3 s | 40\n";
    /** Finds no test of class Missing, fails SlowTest run alone, and exits with VERIFY_STATUS from verify. */
    private static final String BUILD_TOOL =
            """
            #!/bin/sh
            echo "$@" >> "$CALLS"
            case "$*" in
                *verify*) echo "Tests run: 5"; exit "${VERIFY_STATUS:-0}" ;;
                *Missing*) echo "Tests run: 0"; exit 0 ;;
                *SlowTest*) echo "Tests run: 1"; exit 1 ;;
                *) echo "Tests run: 1" ;;
            esac
            """;

    private record Run(int status, String output, List<String> calls) {}

    @TempDir
    Path folder;

    @BeforeEach
    void copyScript() throws IOException {
        Files.createDirectories(folder.resolve(".ci"));
        Files.copy(Path.of("..", ".ci", "run"), folder.resolve(".ci/run"));
        Files.createDirectories(folder.resolve("bin"));
        Path tool = Files.writeString(folder.resolve("bin/mvn"), BUILD_TOOL);
        assertTrue(tool.toFile().setExecutable(true));
        Files.createFile(folder.resolve("calls"));
    }

    private Run run(String knownRed, String verifyStatus) throws Exception {
        Files.writeString(folder.resolve("KNOWN-RED.txt"), "# a comment\n\n" + knownRed);
        ProcessBuilder builder =
                new ProcessBuilder("sh", folder.resolve(".ci/run").toString()).redirectErrorStream(true);
        builder.environment().put("PATH", folder.resolve("bin") + ":" + System.getenv("PATH"));
        builder.environment().put("CALLS", folder.resolve("calls").toString());
        builder.environment().put("VERIFY_STATUS", verifyStatus);
        Process process = builder.start();
        String output = new String(process.getInputStream().readAllBytes());
        return new Run(process.waitFor(), output, Files.readAllLines(folder.resolve("calls")));
    }

    @Test
    void withoutEntriesEverythingIsRun() throws Exception {
        Run run = run("", "0");
        assertEquals(0, run.status());
        assertEquals(List.of("-B verify"), run.calls());
    }

    @Test
    void failingBuildFailsTheRunWithAndWithoutEntries() throws Exception {
        assertEquals(1, run("", "1").status());
        assertNotEquals(0, run(VALID_ENTRY, "1").status());
    }

    @Test
    void listedTestMayFailAndIsPrinted() throws Exception {
        Run run = run(VALID_ENTRY, "0");
        assertEquals(0, run.status(), run.output());
        assertTrue(run.calls().get(0).startsWith("-B verify -Dtest=!SlowTest#waits "), run.calls()::toString);
        assertTrue(run.calls().get(1).startsWith("-B test -Dtest=SlowTest#waits "), run.calls()::toString);
        assertTrue(
                run.output()
                        .contains("known red: SlowTest#waits: still fails"
                                + " (mvn test -Dsoak.seed=7 | an answer after 3 s | 40)"),
                run.output());
    }

    @Test
    void eachOfSeveralEntriesIsExcludedAndPrinted() throws Exception {
        Run run = run(VALID_ENTRY + VALID_ENTRY.replace("SlowTest#waits", "QuickTest#ends"), "0");
        assertEquals(0, run.status(), run.output());
        assertTrue(run.calls().get(0).startsWith("-B verify -Dtest=!SlowTest#waits,!QuickTest#ends "));
        assertEquals(3, run.calls().size());
        assertTrue(run.output().contains("known red: QuickTest#ends: passes: its entry can go"), run.output());
    }

    @Test
    void entryWhoseTestDoesNotExistFailsTheRun() throws Exception {
        Run run = run(VALID_ENTRY.replace("SlowTest", "Missing"), "0");
        assertEquals(1, run.status(), run.output());
        assertTrue(run.output().contains("Missing#waits: ran no test"), run.output());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "SlowTest | mvn test | seen | 40",
                "SlowTest#waits, mvn test, seen, 40",
                "SlowTest#waits | mvn test | 40",
                "SlowTest#waits |  | seen | 40",
                "SlowTest#waits | mvn test | seen | the issue",
                "SlowTest#* | mvn test | seen | 40"
            })
    void malformedEntryFailsTheRun(String entry) throws Exception {
        Run run = run(VALID_ENTRY + entry + "\n", "0");
        assertEquals(1, run.status(), run.output());
        assertTrue(run.output().contains(entry), run.output());
        assertEquals(List.of(), run.calls());
    }
}
