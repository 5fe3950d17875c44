package pearladder.router.kserve;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.PropertyAccessor;
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
 * The routing policy's snapshot on disk: eight bytes with the CRC-32C of the rest, then JSON. At startup the file is
 * renamed before it is read, so that a snapshot that crashes the router is used only once.
 */
final class SnapshotFile {
    /** The version of the file format; files of other versions are not read. */
    private static final int FORMAT = 1;

    private static final String FILE_NAME = "snapshot.json";
    private static final String USED_FILE_NAME = "snapshot.tried";
    private static final int CHECKSUM_BYTES = Long.BYTES;

    private static final Logger LOG = LoggerFactory.getLogger("pearladder.recovery");
    private static final ObjectMapper JSON = SnapshotJson.register(new ObjectMapper())
            .setVisibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    /**
     * The content of the file. The component names are the field names of the JSON.
     *
     * @param format the version of the format
     * @param wall the time at which the snapshot was taken, in milliseconds since 1970
     * @param known the snapshot
     */
    record Taken(int format, long wall, PolicySnapshot known) {}

    private final Path file;

    SnapshotFile(Path directory) {
        this.file = directory.resolve(FILE_NAME);
    }

    /** Renames the file and returns its content, or null where there is no readable file. */
    Taken take() {
        Path used = file.resolveSibling(USED_FILE_NAME);
        try {
            Files.move(file, used, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            return parse(Files.readAllBytes(used));
        } catch (NoSuchFileException missing) {
            return null;
        } catch (IOException | RuntimeException unreadable) {
            LOG.atWarn()
                    .addKeyValue("file", used)
                    .addKeyValue("cause", unreadable.getMessage())
                    .log("the snapshot can't be read; starting without one");
            return null;
        }
    }

    private static Taken parse(byte[] content) throws IOException {
        if (content.length < CHECKSUM_BYTES || ByteBuffer.wrap(content).getLong() != checksum(content)) {
            throw new IOException("it is truncated, or its checksum does not match");
        }
        Taken taken = JSON.readValue(content, CHECKSUM_BYTES, content.length - CHECKSUM_BYTES, Taken.class);
        if (taken.format() != FORMAT || !isComplete(taken.known())) {
            throw new IOException("it is not a complete snapshot of the expected format version");
        }
        return taken;
    }

    private static boolean isComplete(PolicySnapshot snapshot) {
        return snapshot != null && snapshot.workers() != null && snapshot.functions() != null;
    }

    /**
     * Replaces the snapshot.
     *
     * @param takenAtMillis the time of the snapshot, in milliseconds since 1970
     * @return the size of the file in bytes
     */
    long write(long takenAtMillis, PolicySnapshot snapshot) throws IOException {
        byte[] json = JSON.writeValueAsBytes(new Taken(FORMAT, takenAtMillis, snapshot));
        byte[] content = ByteBuffer.allocate(CHECKSUM_BYTES + json.length)
                .putLong(0)
                .put(json)
                .array();
        ByteBuffer.wrap(content).putLong(checksum(content));
        AtomicFile.write(file, content);
        return content.length;
    }

    /** Returns the checksum of everything after the first eight bytes. */
    private static long checksum(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content, CHECKSUM_BYTES, content.length - CHECKSUM_BYTES);
        return crc.getValue();
    }
}
