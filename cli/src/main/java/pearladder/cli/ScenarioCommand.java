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

@Command(
        name = "day",
        mixinStandardHelpOptions = true,
        description = {
            "Play a scripted day: routers and engines as processes on loopback, traffic and troubles.",
            "Prints the table and the verdict on the five rules; ends with 1 where a rule was broken."
        })
final class ScenarioCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the script")
    private Path script;

    @Option(
            names = "--out",
            defaultValue = "day-out",
            paramLabel = "DIR",
            description = "where tapes, logs and the table go (default: ${DEFAULT-VALUE})")
    private Path out;

    @Option(
            names = "--policy",
            defaultValue = "MODULE",
            description = "who decides: ${COMPLETION-CANDIDATES}; RANDOM is a baseline")
    private PolicyChoice policy;

    @Override
    public Integer call() throws IOException, InterruptedException {
        return play(script, out, policy);
    }

    static int play(Path script, Path out, PolicyChoice policy) throws IOException, InterruptedException {
        return play(script, null, out, policy);
    }

    /** The same with a trace's calls in place of the script's traffic; null for none. */
    static int play(Path script, TraceWorkload.Terms trace, Path out, PolicyChoice policy)
            throws IOException, InterruptedException {
        Logs.setUp(Logs.Form.TEXT);
        Scenario.Outcome outcome = Scenario.play(
                script, trace, out, SelfCommand.command(), List.of("--policy", policy.name()), System.out);
        System.out.println();
        outcome.table().forEach(System.out::println);
        System.out.println("kept in " + out);
        return outcome.kept() ? 0 : 1;
    }
}
