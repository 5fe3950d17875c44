package pearladder.routing.state;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** A reproducible sequence of uniform random numbers: the same seed gives the same sequence in every process. */
public final class SeededRandom {
    private static final double CRC32_RANGE = 4294967296.0;

    private final long seed;
    private long drawCount;

    /** @param seed selects the sequence */
    public SeededRandom(long seed) {
        this.seed = seed;
    }

    /** Returns the next number, from 0 inclusive to 1 exclusive. */
    public double next() {
        CRC32 crc = new CRC32();
        crc.update((seed + ":" + drawCount++).getBytes(StandardCharsets.UTF_8));
        return crc.getValue() / CRC32_RANGE;
    }
}
