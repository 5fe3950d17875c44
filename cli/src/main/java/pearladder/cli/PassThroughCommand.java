package pearladder.cli;

import java.util.List;
import java.util.concurrent.Callable;
import pearladder.testbed.PassThrough;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Forwards requests without a routing decision, as a baseline for {@link MeasureCommand}. */
@Command(name = "pass-through", hidden = true, description = "A baseline for measure.")
final class PassThroughCommand implements Callable<Integer> {
    @Option(names = "--targets", required = true, split = ",", description = "ports on loopback")
    private List<Integer> targets;

    @Override
    public Integer call() {
        Logs.setUp(Logs.Form.TEXT);
        System.out.println("{\"port\":" + PassThrough.start(targets) + "}");
        return Commands.RUNNING;
    }
}
