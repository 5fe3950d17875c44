package pearladder.cli;

import java.io.IOException;
import pearladder.Policy;
import pearladder.wire.BadInput;
import pearladder.wire.WireHost;

/** The command line's door. The bench's adapter starts here and loads nothing of the rest. */
public final class Main {
    private Main() { }

    public static void main(String[] arguments) {
        boolean wire = arguments.length > 0 && arguments[0].equals("wirehost");
        int status = wire && arguments.length == 1 ? wirehost() : Commands.run(arguments);
        if (status >= 0) {
            System.exit(status);
        }
    }

    private static int wirehost() {
        try {
            new WireHost(Policy::new).serve(System.in, System.out);
            return 0;
        } catch (BadInput bad) {
            System.err.println("pearladder: " + bad.getMessage());
        } catch (IOException broken) {
            System.err.println("pearladder: the wire broke: " + broken.getMessage());
        }
        return 1;
    }
}
