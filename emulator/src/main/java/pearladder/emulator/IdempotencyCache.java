package pearladder.emulator;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The idempotency keys that a group of workers has run; each is kept for a window after its first run. */
public final class IdempotencyCache {
    private final Timeline time;
    private final long windowNanos;
    /** Expiry time of each key; all have the same lifetime, so insertion order is expiry order. */
    private final Map<String, Long> expiresAt = new LinkedHashMap<>();

    /** Creates a cache that keeps each key for {@code windowNanos}. */
    public IdempotencyCache(Timeline time, long windowNanos) {
        this.time = time;
        this.windowNanos = windowNanos;
    }

    /** Returns whether a request with the key has run within the window; always false for the empty key. */
    boolean contains(String key) {
        removeExpired();
        return !key.isEmpty() && expiresAt.containsKey(key);
    }

    private void removeExpired() {
        Iterator<Long> oldestFirst = expiresAt.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next() < time.now()) {
            oldestFirst.remove();
        }
    }

    void add(String key) {
        if (!key.isEmpty()) {
            expiresAt.putIfAbsent(key, time.now() + windowNanos);
        }
    }
}
