package pearladder.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import pearladder.testbed.Experiment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs the scenarios of an experiment. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = {
            "Run a grid of scenarios one by one (policy, engines, routers, rate, speed, troubles, seeds).",
            "Continues where it was interrupted; keeps results.csv, a results.json for each run, and report.html."
        })
final class ExperimentCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the experiment")
    private Path file;

    @Option(names = "--out", defaultValue = "experiment-out", paramLabel = "DIR", description = "folder of the runs")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Logs.setUp(Logs.Form.TEXT);
        int broken = Experiment.run(file, out, OwnProcess.command(), OwnProcess.build(), System.out);
        if (broken > 0) {
            System.out.println(broken + " runs broke a rule or had a fault");
        }
        return broken > 0 ? 1 : 0;
    }
}
