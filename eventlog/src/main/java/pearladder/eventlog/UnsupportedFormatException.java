package pearladder.eventlog;

import java.io.IOException;
import java.nio.file.Path;

/** Records that this build can't read, and must not touch: a newer one wrote them. */
final class UnsupportedFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    UnsupportedFormatException(Path file, int format) {
        super(file + ": records of format " + format + "; this build reads up to " + LogSegment.FORMAT
                + "; use a newer pearladder, or another folder");
    }
}
