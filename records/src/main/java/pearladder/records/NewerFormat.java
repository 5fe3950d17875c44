package pearladder.records;

import java.io.IOException;
import java.nio.file.Path;

/** Records that this build can't read, and must not touch: a newer one wrote them. */
final class NewerFormat extends IOException {
    private static final long serialVersionUID = 1L;

    NewerFormat(Path file, int format) {
        super(file + ": records of format " + format + "; this build reads up to " + Segment.FORMAT
                + "; use a newer pearladder, or another folder");
    }
}
