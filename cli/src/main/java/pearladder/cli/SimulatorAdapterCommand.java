package pearladder.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Lists the simulator adapter in the help; it is started by {@link Main}, which loads nothing of the command line. */
@Command(
        name = "wirehost",
        description = "Connect the policy to the operators' simulator by standard input and output; takes no options.")
final class SimulatorAdapterCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return Commands.USAGE_ERROR;
    }
}
