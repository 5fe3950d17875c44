package pearladder.connections;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the memory that several holders, for example connections, use together. Over the limit, the holder of the most
 * bytes has to release some, so that a holder of little is not affected by others that hold much ("longest queue drop";
 * B. Suter et al., Design considerations for supporting TCP with per-flow queueing, INFOCOM 1998).
 *
 * <p>Holders are compared by {@code equals}. An update takes constant time, a selection time linear in the holders.
 *
 * @param <H> the type of the holders
 */
public final class MemoryBudget<H> {
    private final long limitBytes;
    /** Holders of at least one byte, in the order in which they began to hold memory. */
    private final Map<H, Long> bytesByHolder = new LinkedHashMap<>();

    private long totalBytes;

    /** @param limitBytes what all holders may hold together */
    public MemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Records what a holder holds now; 0 for a holder that has released everything. */
    public void update(H holder, long bytes) {
        Long before = bytes == 0 ? bytesByHolder.remove(holder) : bytesByHolder.put(holder, bytes);
        totalBytes += bytes - (before == null ? 0 : before);
    }

    /**
     * Returns the holder that has to release memory; null while the limit is kept. It is the one that holds the most
     * bytes, of several the one that began first.
     */
    public H selectForRelease() {
        return totalBytes <= limitBytes ? null : largestHolder();
    }

    private H largestHolder() {
        H largest = null;
        long largestBytes = 0;
        for (Map.Entry<H, Long> entry : bytesByHolder.entrySet()) {
            if (entry.getValue() > largestBytes) {
                largest = entry.getKey();
                largestBytes = entry.getValue();
            }
        }
        return largest;
    }

    /** Returns what all holders hold together, in bytes. */
    public long totalBytes() {
        return totalBytes;
    }
}
