package pearladder.router.kserve;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.zip.CRC32C;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.routing.state.PolicySnapshot;

/**
 * What the module knew, on disk: a checksum, then JSON; written beside and moved over. At a start it is moved aside first,
 * so that a snapshot that brings a router down is used once: the next start finds none.
 */
final class SnapshotFile {
    /** The format that is written; another one is not read. */
    private static final int FORMAT = 1;

    private static final Logger LOG = LoggerFactory.getLogger("pearladder.recovery");
    private static final ObjectMapper JSON = SnapshotJson.register(new ObjectMapper())
            .setVisibility(com.fasterxml.jackson.annotation.PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    /** @param wall when it was taken, milliseconds since 1970 */
    record Taken(int format, long wall, PolicySnapshot known) {}

    private final Path file;

    SnapshotFile(Path folder) {
        this.file = folder.resolve("snapshot.json");
    }

    /** The last one, or null where there is none that can be read. */
    Taken take() {
        Path tried = file.resolveSibling("snapshot.tried");
        try {
            Files.move(file, tried, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            byte[] bytes = Files.readAllBytes(tried);
            if (bytes.length < Long.BYTES || ByteBuffer.wrap(bytes).getLong() != sum(bytes)) {
                throw new IOException("its checksum is another one");
            }
            Taken taken = JSON.readValue(bytes, Long.BYTES, bytes.length - Long.BYTES, Taken.class);
            if (taken.format() != FORMAT
                    || taken.known() == null
                    || taken.known().workers() == null
                    || taken.known().functions() == null) {
                throw new IOException("it is of another format");
            }
            return taken;
        } catch (NoSuchFileException none) {
            return null;
        } catch (IOException | RuntimeException unreadable) {
            LOG.atWarn()
                    .addKeyValue("file", tried)
                    .addKeyValue("cause", unreadable.getMessage())
                    .log("the snapshot can't be read; starting without one");
            return null;
        }
    }

    /** Writes one; how many bytes it has. */
    long write(long wall, PolicySnapshot known) throws IOException {
        byte[] text = JSON.writeValueAsBytes(new Taken(FORMAT, wall, known));
        byte[] bytes = ByteBuffer.allocate(Long.BYTES + text.length)
                .putLong(0)
                .put(text)
                .array();
        ByteBuffer.wrap(bytes).putLong(sum(bytes));
        AtomicFile.write(file, bytes);
        return bytes.length;
    }

    private static long sum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, Long.BYTES, bytes.length - Long.BYTES);
        return crc.getValue();
    }
}
