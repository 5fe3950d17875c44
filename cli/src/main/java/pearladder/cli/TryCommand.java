package pearladder.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays a short built-in scenario. */
@Command(
        name = "try",
        mixinStandardHelpOptions = true,
        description =
                "Half a minute of everything on loopback: workers, model store, discovery, two routers, one fault.")
final class TryCommand implements Callable<Integer> {
    @Option(
            names = "--out",
            defaultValue = "try-out",
            paramLabel = "DIR",
            description = "folder for logs, observation logs and the table")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Files.createDirectories(out);
        Path script = out.resolve("try.yaml");
        try (InputStream scenario = TryCommand.class.getResourceAsStream("try.yaml")) {
            Files.copy(scenario, script, StandardCopyOption.REPLACE_EXISTING);
        }
        return ScenarioCommand.play(script, out, PolicyChoice.MODULE);
    }
}
