package pearladder.traces;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/** Stable hashes of names: the same on every machine and in every run. */
final class Hashes {
    private static final double RANGE = 4294967296.0;

    private Hashes() {}

    /** A hash of a name as a number from 0 up to, not including, 1. */
    static double share(String name) {
        return share(name, 0);
    }

    /** The same with a seed. */
    static double share(String name, int seed) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        int hash = MurmurHash3.hash32x86(bytes, 0, bytes.length, seed);
        return Integer.toUnsignedLong(hash) / RANGE;
    }
}
