package pearladder.router.kserve;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.kserve.DiscoveryMessage;

/** The last list on disk. It is written beside and moved over, so that a crash leaves the old one or the new one. */
final class EndpointListCache {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListCache.class);

    private final Path file;

    EndpointListCache(Path folder) {
        this.file = folder.resolve("last-list.json");
    }

    /** The list as it was last written, or null where there is none that can be read. */
    DiscoveryMessage read() {
        try {
            return DiscoveryMessage.parse(Files.readString(file));
        } catch (NoSuchFileException none) {
            return null;
        } catch (IOException unreadable) {
            LOG.atWarn()
                    .addKeyValue("file", file)
                    .addKeyValue("cause", unreadable.getMessage())
                    .log("the last list can't be read; starting without one");
            return null;
        }
    }

    void write(DiscoveryMessage whole) throws IOException {
        AtomicFile.write(file, whole.text().getBytes(StandardCharsets.UTF_8));
    }
}
