package pearladder.cli;

import java.io.IOException;
import pearladder.Policy;
import pearladder.wire.BadInput;
import pearladder.wire.WireHost;

/** The command line. */
public final class Main {
    private static final String USAGE = "usage: pearladder wirehost";

    private Main() { }

    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    static int run(String... arguments) {
        if (arguments.length != 1 || !arguments[0].equals("wirehost")) {
            System.err.println(USAGE);
            return 2;
        }
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
