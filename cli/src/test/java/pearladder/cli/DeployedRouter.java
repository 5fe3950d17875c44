package pearladder.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Starts a router as operators do: with the {@code run} command of the deploy file, from the repository's root. Only
 * the jar is replaced, by the classes under test.
 */
public final class DeployedRouter {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final String JAR = "-jar cli/target/pearladder.jar";

    private DeployedRouter() {}

    /**
     * Returns the command for one router, without redirection of its output.
     *
     * @param before shell commands to run before the shell executes the program
     */
    public static ProcessBuilder command(Path configuration, String before) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", before + runOnTestClasses());
        builder.directory(ROOT.toFile());
        Path javaFolder = Path.of(System.getProperty("java.home"), "bin");
        builder.environment().put("PATH", javaFolder + ":" + System.getenv("PATH"));
        builder.environment().put("TEST_CLASS_PATH", System.getProperty("java.class.path"));
        builder.environment()
                .put("ROUTER_CONFIG", configuration.toAbsolutePath().toString());
        return builder;
    }

    private static String runOnTestClasses() throws IOException {
        Matcher run = RUN.matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        if (!run.find() || !run.group(1).contains(JAR)) {
            throw new IOException("deploy/balancer.toml has no run command with " + JAR);
        }
        return run.group(1).replace(JAR, "-cp \"$TEST_CLASS_PATH\" pearladder.cli.Main");
    }
}
