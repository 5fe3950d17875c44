package pearladder.routing.violation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Against the rule for decisions: does I/O. */
final class OpensFile {
    private OpensFile() {}

    static byte[] read(Path path) throws IOException {
        return Files.readAllBytes(path);
    }
}
