package pearladder.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import pearladder.router.kserve.Router;
import pearladder.router.kserve.RouterConfig;
import pearladder.router.kserve.RouterConfigParser;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a KServe router. */
@Command(
        name = "router",
        mixinStandardHelpOptions = true,
        description = "Run a KServe router until SIGTERM; it then finishes the requests in progress and exits with 0.")
final class RouterCommand implements Callable<Integer> {
    private static final int START_TIMEOUT_SECONDS = 30;

    @Option(
            names = {"-c", "--config"},
            required = true,
            paramLabel = "FILE",
            description = "the router's file")
    private Path file;

    @Option(names = "--log", defaultValue = "AUTO", description = "${COMPLETION-CANDIDATES}")
    private Logs.Form log;

    @Option(
            names = "--policy",
            defaultValue = "MODULE",
            hidden = true,
            description = "RANDOM is a baseline for scenarios")
    private PolicyChoice policy;

    @Option(names = "--seed", description = "seed of the policy's random choices, to repeat a run")
    private Long seed;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Logs.setUp(log);
        RouterConfig config = RouterConfigParser.read(file);
        Router router;
        try {
            router = Router.start(config, policy.maker, seed != null ? seed : new SecureRandom().nextLong())
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException failure) {
            throw new IOException(failure.getCause().getMessage());
        } catch (TimeoutException timeout) {
            throw new IOException("the router did not start within " + START_TIMEOUT_SECONDS + " s");
        }
        System.out.println("{\"router\":\"" + config.name() + "\",\"port\":" + router.port()
                + (router.adminPort() > 0 ? ",\"admin\":" + router.adminPort() : "") + "}");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(router), "stop"));
        return Commands.RUNNING;
    }

    /** Exits with 0, in place of the signal's exit code, once every request in progress has its response. */
    private static void stop(Router router) {
        int status = 0;
        try {
            router.stop().toCompletionStage().toCompletableFuture().join();
        } catch (CompletionException failure) {
            status = 1;
        }
        Runtime.getRuntime().halt(status);
    }
}
