package pearladder.router.kserve;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A file that is replaced as a whole: written beside, synced and moved over, so that a crash leaves the old one or the new one. */
final class AtomicFile {
    private AtomicFile() {}

    static void write(Path file, byte[] bytes) throws IOException {
        Files.createDirectories(file.getParent());
        Path beside = file.resolveSibling(file.getFileName().toString().replaceFirst("\\.[^.]*$", ".new"));
        try (FileChannel channel = FileChannel.open(
                beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer left = ByteBuffer.wrap(bytes);
            while (left.hasRemaining()) {
                channel.write(left);
            }
            channel.force(true);
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
