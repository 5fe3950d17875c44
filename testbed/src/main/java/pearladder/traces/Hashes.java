package pearladder.traces;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/** Stable hashes of names: equal on every machine and in every run. */
final class Hashes {
    private static final double RANGE = 4294967296.0;

    private Hashes() {}

    /** Returns the hash of a name, scaled to the range from 0 (inclusive) to 1 (exclusive). */
    static double unitInterval(String name) {
        return unitInterval(name, 0);
    }

    /** Returns the seeded hash of a name, from 0 (inclusive) to 1 (exclusive). */
    static double unitInterval(String name, int seed) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        int hash = MurmurHash3.hash32x86(bytes, 0, bytes.length, seed);
        return Integer.toUnsignedLong(hash) / RANGE;
    }
}
