package pearladder.router;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.kserve.ListLine;

/** The last list on disk. It is written beside and moved over, so that a crash leaves the old one or the new one. */
final class LastList {
    private static final Logger LOG = LoggerFactory.getLogger(LastList.class);

    private final Path file;

    LastList(Path folder) {
        this.file = folder.resolve("last-list.json");
    }

    /** The list as it was last written, or null where there is none that can be read. */
    ListLine read() {
        try {
            return ListLine.parse(Files.readString(file));
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

    void write(ListLine whole) throws IOException {
        WholeFile.write(file, whole.text().getBytes(StandardCharsets.UTF_8));
    }
}
