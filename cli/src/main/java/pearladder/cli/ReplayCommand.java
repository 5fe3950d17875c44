package pearladder.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import pearladder.testbed.TraceWorkload;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = {
            "Replay a trace over sockets against real routers and stand-in engines.",
            "The fleet's file is a day's script; its flows say whose calls the models' are."
        })
final class ReplayCommand implements Callable<Integer> {
    @CommandLine.Mixin
    private TraceCommand.Input input;

    @Option(names = "--fleet", required = true, paramLabel = "FILE", description = "a day's script")
    private Path script;

    @Option(names = "--out", defaultValue = "replay-out", paramLabel = "DIR", description = "tapes, logs and the table")
    private Path out;

    @Option(names = "--speed", defaultValue = "1", description = "times faster than it was (default: ${DEFAULT-VALUE})")
    private double speed;

    @Option(
            names = "--most",
            defaultValue = "0",
            paramLabel = "CALLS",
            description = "end after so many calls; 0 for all")
    private long most;

    @Option(
            names = "--lasting",
            defaultValue = "0",
            paramLabel = "SECONDS",
            description = "end after so long; 0 for all")
    private double lasting;

    @Option(names = "--work-scale", defaultValue = "1", description = "of the work that the trace tells")
    private double workScale;

    @Option(names = "--longest-work", defaultValue = "500", paramLabel = "MS", description = "cut longer work to it")
    private double longest;

    @Option(names = "--usual-work", defaultValue = "20", paramLabel = "MS", description = "where the trace tells none")
    private double usual;

    @Option(names = "--policy", defaultValue = "MODULE", description = "who decides: ${COMPLETION-CANDIDATES}")
    private PolicyChoice policy;

    @Override
    public Integer call() throws IOException, InterruptedException {
        TraceWorkload.Terms terms = new TraceWorkload.Terms(
                input.file,
                input.layout,
                input.durations,
                input.memory,
                speed,
                Math.round(input.window * 1e9),
                most,
                Math.round(lasting * 1e9),
                workScale,
                Math.round(longest * 1e6),
                Math.round(usual * 1e6),
                input.strict);
        return ScenarioCommand.play(script, terms, out, policy);
    }
}
