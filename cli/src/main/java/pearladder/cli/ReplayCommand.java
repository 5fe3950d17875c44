package pearladder.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import pearladder.testbed.TraceWorkload;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Replays a trace over sockets. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = {
            "Replay a trace over sockets against real routers and stand-in workers.",
            "The fleet's file is a scenario; its flows say which tenant and request class each model belongs to."
        })
final class ReplayCommand implements Callable<Integer> {
    @CommandLine.Mixin
    private TraceCommand.Input input;

    @Option(names = "--fleet", required = true, paramLabel = "FILE", description = "a scenario")
    private Path script;

    @Option(
            names = "--out",
            defaultValue = "replay-out",
            paramLabel = "DIR",
            description = "observation logs, logs and the table")
    private Path out;

    @Option(
            names = "--speed",
            defaultValue = "1",
            description = "factor on the trace's speed (default: ${DEFAULT-VALUE})")
    private double speed;

    @Option(
            names = "--most",
            defaultValue = "0",
            paramLabel = "CALLS",
            description = "end after this number of requests; 0 for all")
    private long mostRequests;

    @Option(
            names = "--lasting",
            defaultValue = "0",
            paramLabel = "SECONDS",
            description = "end after this time; 0 for all")
    private double lastingSeconds;

    @Option(names = "--work-scale", defaultValue = "1", description = "factor on the work in the trace")
    private double workScale;

    @Option(
            names = "--longest-work",
            defaultValue = "500",
            paramLabel = "MS",
            description = "longest work of a request; longer work is cut to it")
    private double longestWorkMillis;

    @Option(
            names = "--usual-work",
            defaultValue = "20",
            paramLabel = "MS",
            description = "work of a request for which the trace states none")
    private double defaultWorkMillis;

    @Option(names = "--policy", defaultValue = "MODULE", description = "which policy decides: ${COMPLETION-CANDIDATES}")
    private PolicyChoice policy;

    @Override
    public Integer call() throws IOException, InterruptedException {
        TraceWorkload.ReplaySettings terms = new TraceWorkload.ReplaySettings(
                input.file,
                input.layout,
                input.durations,
                input.memory,
                speed,
                Math.round(input.window * 1e9),
                mostRequests,
                Math.round(lastingSeconds * 1e9),
                workScale,
                Math.round(longestWorkMillis * 1e6),
                Math.round(defaultWorkMillis * 1e6),
                input.strict);
        return ScenarioCommand.play(script, terms, out, policy);
    }
}
