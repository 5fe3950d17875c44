package pearladder.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import pearladder.testbed.Scenario;
import pearladder.testbed.TraceWorkload;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays a scenario over sockets. */
@Command(
        name = "day",
        mixinStandardHelpOptions = true,
        description = {
            "Play a scenario: routers and stand-in workers as processes on loopback, traffic and faults.",
            "Prints the table and the verdict on the five invariants; ends with 1 if one was broken."
        })
final class ScenarioCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the script")
    private Path script;

    @Option(
            names = "--out",
            defaultValue = "day-out",
            paramLabel = "DIR",
            description = "folder for observation logs, logs and the table (default: ${DEFAULT-VALUE})")
    private Path out;

    @Option(
            names = "--policy",
            defaultValue = "MODULE",
            description = "which policy decides: ${COMPLETION-CANDIDATES}; RANDOM is a baseline")
    private PolicyChoice policy;

    @Override
    public Integer call() throws IOException, InterruptedException {
        return play(script, out, policy);
    }

    /** Plays a scenario with the script's own traffic. */
    static int play(Path script, Path out, PolicyChoice policy) throws IOException, InterruptedException {
        return play(script, null, out, policy);
    }

    /** Plays a scenario with a trace's requests in place of the script's traffic; null for none. */
    static int play(Path script, TraceWorkload.ReplaySettings trace, Path out, PolicyChoice policy)
            throws IOException, InterruptedException {
        Logs.setUp(Logs.Form.TEXT);
        Scenario.Result outcome =
                Scenario.run(script, trace, out, OwnProcess.command(), List.of("--policy", policy.name()), System.out);
        System.out.println();
        outcome.table().forEach(System.out::println);
        System.out.println("kept in " + out);
        return outcome.isClean() ? 0 : 1;
    }
}
