package pearladder.cli;

import java.io.IOException;
import java.nio.file.Path;
import pearladder.platform.PlatformRouter;
import pearladder.platform.SignalHandlers;
import pearladder.routing.StickyFirstFitPolicy;
import pearladder.settings.InvalidInputException;
import pearladder.simulator.SimulatorAdapter;

/**
 * Entry point of the jar. The simulator adapter and the platform's router start here, without the command line's
 * parser, so that they load none of its classes.
 */
public final class Main {
    private static final String SIMULATOR_ADAPTER = "wirehost";
    private static final String PLATFORM_ROUTER = "platform";
    /** The platform's router, stopped after its warm-up: the build creates its class archive from such a run. */
    private static final String PLATFORM_WARM_UP = "practice";

    private static final String CONFIG_VARIABLE = "ROUTER_CONFIG";

    private Main() {}

    /**
     * Runs one command and ends the process with its exit code, unless the command continues in other threads.
     *
     * @param arguments the command and its options
     */
    public static void main(String[] arguments) {
        int status = run(arguments);
        if (status != Commands.RUNNING) {
            System.exit(status);
        }
    }

    private static int run(String[] arguments) {
        String command = arguments.length == 1 ? arguments[0] : "";
        return switch (command) {
            case SIMULATOR_ADAPTER -> runSimulatorAdapter();
            case PLATFORM_ROUTER -> runPlatformRouter(false);
            case PLATFORM_WARM_UP -> runPlatformRouter(true);
            default -> Commands.run(arguments);
        };
    }

    private static int runSimulatorAdapter() {
        try {
            new SimulatorAdapter(StickyFirstFitPolicy::new).serve(System.in, System.out);
            return 0;
        } catch (InvalidInputException invalid) {
            printError(invalid.getMessage());
        } catch (IOException failure) {
            printError("communication with the simulator failed: " + failure.getMessage());
        }
        return 1;
    }

    /** @param endWhenWarm stop after the warm-up, before any client is served */
    private static int runPlatformRouter(boolean endWhenWarm) {
        SignalHandlers signals = SignalHandlers.install();
        Logs.setUp(Logs.Form.TEXT);
        if (signals.isAnyIgnored()) {
            printError("the parent process ignores SIGHUP or SIGTERM (as nohup does), and the router inherits this:"
                    + " the signal has no effect on it; start it without nohup");
        }
        String file = System.getenv(CONFIG_VARIABLE);
        if (file == null) {
            printError("ROUTER_CONFIG is not set; it names the router's configuration");
            return Commands.USAGE_ERROR;
        }
        try {
            PlatformRouter router =
                    new PlatformRouter(Path.of(file), System.getenv(), StickyFirstFitPolicy::new, Main::halt);
            signals.setActions(router::reload, router::stop);
            router.start(endWhenWarm ? router::stop : () -> {});
            return Commands.RUNNING;
        } catch (InvalidInputException invalid) {
            printError(invalid.getMessage());
        } catch (IOException unreadable) {
            printError(file + " can't be read: " + unreadable.getMessage());
        }
        return Commands.USAGE_ERROR;
    }

    private static void halt(int status) {
        Runtime.getRuntime().halt(status);
    }

    private static void printError(String message) {
        System.err.println("pearladder: " + message);
    }
}
