package pearladder.rollout;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Remembers the version that an idempotency key was first routed to. A retry by the client has to meet that version
 * again: at another one, no worker would know the key and the effect could happen twice.
 */
final class IdempotencyKeyVersions {
    private record Remembered(String version, MonotonicTime until) {}

    private final TimeSpan retention;
    /** By model and key, the oldest first. */
    private final Map<String, Remembered> versions = new LinkedHashMap<>();

    /** @param retention longest time for which workers remember an idempotency key */
    IdempotencyKeyVersions(TimeSpan retention) {
        this.retention = retention;
    }

    /** The remembered version of the key; where there is none, the given one, which is remembered from now on. */
    String rememberedOr(String version, String model, String idempotencyKey, MonotonicTime now) {
        String key = model + "\n" + idempotencyKey;
        Remembered remembered = versions.get(key);
        if (remembered != null && now.isBefore(remembered.until())) {
            return remembered.version();
        }
        versions.remove(key);
        versions.put(key, new Remembered(version, now.plus(retention)));
        return version;
    }

    /** Forgets the keys whose time is over. */
    void removeExpired(MonotonicTime now) {
        Iterator<Remembered> oldestFirst = versions.values().iterator();
        while (oldestFirst.hasNext() && !now.isBefore(oldestFirst.next().until())) {
            oldestFirst.remove();
        }
    }

    boolean isEmpty() {
        return versions.isEmpty();
    }
}
