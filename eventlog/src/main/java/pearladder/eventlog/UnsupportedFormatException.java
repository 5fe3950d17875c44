package pearladder.eventlog;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown when a segment was written by a newer version, which this one can't read and must not change. */
final class UnsupportedFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    UnsupportedFormatException(Path file, int format) {
        super(file + ": event log format " + format + "; this build reads formats up to " + LogSegment.FORMAT
                + "; use a newer pearladder, or another folder");
    }
}
