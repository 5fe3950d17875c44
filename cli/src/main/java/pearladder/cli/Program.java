package pearladder.cli;

import java.nio.file.Path;
import java.util.List;

/** The command that runs this very program, for children of a day. */
final class Program {
    private Program() { }

    static List<String> command() {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return List.of(java, "-Xmx512m", "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"),
                "pearladder.cli.Main");
    }
}
