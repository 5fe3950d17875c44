package pearladder.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Only so that the help lists it: the command itself starts in {@link Main}, without the rest. */
@Command(name = "wirehost", description = "Serve the bench's wire on standard input and output; takes no options.")
final class WirehostCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return 2;
    }
}
