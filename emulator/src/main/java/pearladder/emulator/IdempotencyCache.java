package pearladder.emulator;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The idempotency keys that a group of workers has run: a duplicate is dropped for so long after the first run. */
public final class IdempotencyCache {
    private final Timeline time;
    private final long windowNanos;
    /** When each key expires; all stay equally long, so the oldest come first. */
    private final Map<String, Long> expiresAt = new LinkedHashMap<>();

    /** A cache that keeps each key for so many nanoseconds. */
    public IdempotencyCache(Timeline time, long windowNanos) {
        this.time = time;
        this.windowNanos = windowNanos;
    }

    /** Whether the key has run within the window; the empty key never has. */
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
