package pearladder.eventlog;

import java.io.IOException;
import java.nio.file.Path;

/** A segment was written by a newer version; this one can't read it, and must not change it. */
final class UnsupportedFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    UnsupportedFormatException(Path file, int format) {
        super(file + ": records of format " + format + "; this build reads up to " + LogSegment.FORMAT
                + "; use a newer pearladder, or another folder");
    }
}
