package pearladder.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import pearladder.testbed.Experiment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = {
            "Run a grid of days one by one (policy, engines, routers, rate, speed, troubles, seeds).",
            "Goes on where it was cut off; keeps results.csv, a results.json for each run, and report.html."
        })
final class ExperimentCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the experiment")
    private Path file;

    @Option(names = "--out", defaultValue = "experiment-out", paramLabel = "DIR", description = "a folder for each run")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Logs.setUp(Logs.Form.TEXT);
        int broken = Experiment.run(file, out, SelfCommand.command(), SelfCommand.build(), System.out);
        if (broken > 0) {
            System.out.println(broken + " runs broke a rule or had a fault");
        }
        return broken > 0 ? 1 : 0;
    }
}
