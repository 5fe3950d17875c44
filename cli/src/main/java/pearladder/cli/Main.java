package pearladder.cli;

import java.io.IOException;
import java.nio.file.Path;
import pearladder.platform.PlatformRouter;
import pearladder.platform.SignalHandlers;
import pearladder.routing.StickyFirstFitPolicy;
import pearladder.settings.InvalidInputException;
import pearladder.simulator.SimulatorAdapter;

/** The command line's door. The bench's adapter and the platform's router start
 * here and load nothing of the rest. */
public final class Main {
    private Main() {}

    public static void main(String[] arguments) {
        String only = arguments.length == 1 ? arguments[0] : "";
        int status = only.equals("wirehost")
                ? wirehost()
                : only.equals("platform") || only.equals("practice")
                        ? platform(only.equals("practice"))
                        : Commands.run(arguments);
        if (status >= 0) {
            System.exit(status);
        }
    }

    private static int wirehost() {
        try {
            new SimulatorAdapter(StickyFirstFitPolicy::new).serve(System.in, System.out);
            return 0;
        } catch (InvalidInputException bad) {
            System.err.println("pearladder: " + bad.getMessage());
        } catch (IOException broken) {
            System.err.println("pearladder: the wire broke: " + broken.getMessage());
        }
        return 1;
    }

    /**
     * A router on the operators' platform.
     *
     * @param practice it ends once it is warm: the build lays its archive of classes so
     */
    private static int platform(boolean practice) {
        SignalHandlers signals = SignalHandlers.heard();
        Logs.setUp(Logs.Form.TEXT);
        if (signals.deaf()) {
            System.err.println(
                    "pearladder: whoever started this ignores SIGHUP or SIGTERM (as nohup does), and so it never hears them;"
                            + " start it without");
        }
        String file = System.getenv("ROUTER_CONFIG");
        if (file == null) {
            System.err.println("pearladder: ROUTER_CONFIG is not set; it names the router's configuration");
            return 2;
        }
        try {
            PlatformRouter router = new PlatformRouter(
                    Path.of(file), System.getenv(), StickyFirstFitPolicy::new, status -> Runtime.getRuntime()
                            .halt(status));
            signals.on(router::reload, router::stop);
            router.start(practice ? router::stop : () -> {});
            return Commands.RUNNING;
        } catch (InvalidInputException bad) {
            System.err.println("pearladder: " + bad.getMessage());
            return 2;
        } catch (IOException unread) {
            System.err.println("pearladder: " + file + " can't be read: " + unread.getMessage());
            return 2;
        }
    }
}
