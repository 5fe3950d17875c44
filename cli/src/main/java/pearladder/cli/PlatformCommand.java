package pearladder.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Only so that the help lists it: the command itself starts in {@link Main}, without the rest. */
@Command(
        name = "platform",
        description = "A router on the operators' platform, told by ROUTER_CONFIG; takes no options.")
final class PlatformCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return 2;
    }
}
