package pearladder.delivery;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The ids of the latest requests that a worker may have executed. A client that sends such an id again, for example
 * after it has left without reading the answer, must not have it executed a second time. Over its limit, the oldest ids
 * are forgotten.
 */
public final class ExecutedIds {
    private static final int IDS_PER_MB = 64;

    private final int maxIds;
    /** The oldest first. */
    private final Set<String> ids = new LinkedHashSet<>();

    private ExecutedIds(int maxIds) {
        this.maxIds = maxIds;
    }

    /**
     * Returns an empty set with a limit that is a part of the process's memory.
     *
     * @param memoryMb the memory limit of the process, in MB
     */
    public static ExecutedIds forMemory(long memoryMb) {
        return new ExecutedIds((int) Math.max(1, memoryMb * IDS_PER_MB));
    }

    /** Adds the id of a request that has ended. */
    public void add(String id) {
        ids.add(id);
        if (ids.size() > maxIds) {
            Iterator<String> oldestFirst = ids.iterator();
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    /** Removes the id of a request that no worker has executed. */
    public void remove(String id) {
        ids.remove(id);
    }

    /** Returns whether a request of this id may have been executed; false also if that is long ago. */
    public boolean contains(String id) {
        return ids.contains(id);
    }
}
