package pearladder.rollout;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * Maps routing keys uniformly onto the range from 0 to 1. The position depends on model and key alone, so every router
 * computes the same one; a key has a different position for each model.
 */
final class RoutingKeyPosition {
    /** Weyl increment of SplitMix64 (Steele, Lea, Flood, OOPSLA 2014). */
    private static final long INCREMENT = 0x9E3779B97F4A7C15L;
    /** Multipliers of the finalizer of SplitMix64, variant 13 by Stafford. */
    private static final long FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9L;

    private static final long SECOND_MULTIPLIER = 0x94D049BB133111EBL;
    /** Bits of a double's mantissa, and so of the position. */
    private static final int MANTISSA_BITS = 53;

    private RoutingKeyPosition() {}

    /** Returns the position of a key, from 0 inclusive to 1 exclusive. */
    static double of(String model, String routingKey) {
        CRC32 crc = new CRC32();
        crc.update((model + "\n" + routingKey).getBytes(StandardCharsets.UTF_8));
        long mixed = (crc.getValue() + INCREMENT) * FIRST_MULTIPLIER;
        mixed = (mixed ^ (mixed >>> 27)) * SECOND_MULTIPLIER;
        mixed = mixed ^ (mixed >>> 31);
        return (mixed >>> (Long.SIZE - MANTISSA_BITS)) / (double) (1L << MANTISSA_BITS);
    }
}
