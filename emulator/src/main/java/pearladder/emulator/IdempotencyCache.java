package pearladder.emulator;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The marks that a group of engines has seen: a repeat of one is dropped for so long after the first run. */
public final class IdempotencyCache {
    private final Timeline time;
    private final long rememberedNanos;
    private final Map<String, Long> until = new LinkedHashMap<>();

    public IdempotencyCache(Timeline time, long rememberedNanos) {
        this.time = time;
        this.rememberedNanos = rememberedNanos;
    }

    boolean has(String mark) {
        Iterator<Long> oldest = until.values().iterator();
        while (oldest.hasNext() && oldest.next() < time.now()) {
            oldest.remove();
        }
        return !mark.isEmpty() && until.containsKey(mark);
    }

    void add(String mark) {
        if (!mark.isEmpty()) {
            until.putIfAbsent(mark, time.now() + rememberedNanos);
        }
    }
}
