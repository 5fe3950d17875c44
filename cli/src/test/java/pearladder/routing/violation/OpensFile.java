package pearladder.routing.violation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Violates the rule that decisions do no I/O. */
final class OpensFile {
    private OpensFile() {}

    static byte[] read(Path path) throws IOException {
        return Files.readAllBytes(path);
    }
}
