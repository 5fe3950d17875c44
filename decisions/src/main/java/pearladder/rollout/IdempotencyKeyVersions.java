package pearladder.rollout;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Remembers the version that an idempotency key was first routed to. A client's retry must be routed to the same
 * version: workers of another version do not know the key, so the effect could happen twice.
 */
final class IdempotencyKeyVersions {
    private record RememberedVersion(String version, MonotonicTime expiresAt) {}

    private final TimeSpan retention;
    /** By model and key, the oldest first. */
    private final Map<String, RememberedVersion> versions = new LinkedHashMap<>();

    /** @param retention longest time for which workers remember an idempotency key */
    IdempotencyKeyVersions(TimeSpan retention) {
        this.retention = retention;
    }

    /** Returns the remembered version of the key; if there is none, remembers and returns the given one. */
    String getOrRemember(String version, String model, String idempotencyKey, MonotonicTime now) {
        String key = model + "\n" + idempotencyKey;
        RememberedVersion remembered = versions.get(key);
        if (remembered != null && now.isBefore(remembered.expiresAt())) {
            return remembered.version();
        }
        versions.remove(key);
        versions.put(key, new RememberedVersion(version, now.plus(retention)));
        return version;
    }

    /** Removes the keys whose retention time has passed. */
    void removeExpired(MonotonicTime now) {
        Iterator<RememberedVersion> oldestFirst = versions.values().iterator();
        while (oldestFirst.hasNext() && !now.isBefore(oldestFirst.next().expiresAt())) {
            oldestFirst.remove();
        }
    }

    boolean isEmpty() {
        return versions.isEmpty();
    }
}
