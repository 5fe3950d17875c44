package pearladder.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.zip.CRC32;

/** The command line that starts this program again as a child process. */
final class OwnProcess {
    private OwnProcess() {}

    /** Returns an identifier of the build: a checksum of the jar, or "classes" if it runs from a build's folders. */
    static String build() throws IOException {
        Path jar = Path.of(System.getProperty("java.class.path"));
        if (!Files.isRegularFile(jar)) {
            return "classes";
        }
        CRC32 crc = new CRC32();
        crc.update(Files.readAllBytes(jar));
        return Long.toHexString(crc.getValue());
    }

    /** Returns the command line up to the arguments. */
    static List<String> command() {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return List.of(
                java,
                "-Xmx512m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "pearladder.cli.Main");
    }
}
