package pearladder.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Lists the platform's router in the help; it is started by {@link Main}, which loads nothing of the command line. */
@Command(
        name = "platform",
        description =
                "Run a router on the operators' platform; ROUTER_CONFIG names its configuration; takes no options.")
final class PlatformCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return Commands.USAGE_ERROR;
    }
}
