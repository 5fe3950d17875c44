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

@Command(
        name = "router",
        mixinStandardHelpOptions = true,
        description = "Run a router until it is told to end (SIGTERM: finish what is held, then exit with 0).")
final class RouterCommand implements Callable<Integer> {
    @Option(
            names = {"-c", "--config"},
            required = true,
            paramLabel = "FILE",
            description = "the router's file")
    private Path file;

    @Option(names = "--log", defaultValue = "AUTO", description = "${COMPLETION-CANDIDATES}")
    private Logs.Form log;

    @Option(names = "--policy", defaultValue = "MODULE", hidden = true, description = "RANDOM is a baseline for days")
    private PolicyChoice policy;

    @Option(names = "--seed", description = "the module's chance, for a run that is to be repeated")
    private Long seed;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Logs.setUp(log);
        RouterConfig articles = RouterConfigParser.read(file);
        Router router;
        try {
            router = Router.start(articles, policy.maker, seed != null ? seed : new SecureRandom().nextLong())
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(30, TimeUnit.SECONDS);
        } catch (ExecutionException failed) {
            throw new IOException(failed.getCause().getMessage());
        } catch (TimeoutException late) {
            throw new IOException("the router did not start within 30 s");
        }
        System.out.println("{\"router\":\"" + articles.name() + "\",\"port\":" + router.port()
                + (router.adminPort() > 0 ? ",\"admin\":" + router.adminPort() : "") + "}");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(router), "stop"));
        return Commands.RUNNING;
    }

    /** The exit code after a signal is ours to say: 0 once all that was held has its answer. */
    private static void stop(Router router) {
        int status = 0;
        try {
            router.stop().toCompletionStage().toCompletableFuture().join();
        } catch (CompletionException failed) {
            status = 1;
        }
        Runtime.getRuntime().halt(status);
    }
}
