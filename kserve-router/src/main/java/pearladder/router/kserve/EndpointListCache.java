package pearladder.router.kserve;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.kserve.DiscoveryMessage;

/** The cached endpoint list on disk, from which a router starts while the discovery service is unavailable. */
final class EndpointListCache {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListCache.class);
    private static final String FILE_NAME = "last-list.json";

    private final Path file;

    EndpointListCache(Path directory) {
        this.file = directory.resolve(FILE_NAME);
    }

    /** Returns the endpoint list as it was last written, or null where there is no readable one. */
    DiscoveryMessage read() {
        try {
            return DiscoveryMessage.parse(Files.readString(file));
        } catch (NoSuchFileException missing) {
            return null;
        } catch (IOException unreadable) {
            LOG.atWarn()
                    .addKeyValue("file", file)
                    .addKeyValue("cause", unreadable.getMessage())
                    .log("the endpoint list cache can't be read; starting without it");
            return null;
        }
    }

    void write(DiscoveryMessage completeList) throws IOException {
        AtomicFile.write(file, completeList.toJson().getBytes(StandardCharsets.UTF_8));
    }
}
