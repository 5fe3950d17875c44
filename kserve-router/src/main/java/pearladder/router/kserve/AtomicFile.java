package pearladder.router.kserve;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Replaces files atomically, so that a crash leaves either the old content or the new one. */
final class AtomicFile {
    private AtomicFile() {}

    /** Writes a temporary file with the suffix ".new" in the same directory, syncs it and renames it. */
    static void write(Path file, byte[] content) throws IOException {
        Files.createDirectories(file.getParent());
        String temporaryName = file.getFileName().toString().replaceFirst("\\.[^.]*$", ".new");
        Path temporary = file.resolveSibling(temporaryName);
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            writeFully(channel, content);
            channel.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Writes all bytes at the channel's position. */
    static void writeFully(FileChannel channel, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }
}
