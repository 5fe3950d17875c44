package pearladder.routing.state;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.zip.CRC32;

/**
 * A consistent-hash ring of workers, each with several virtual nodes. Walked clockwise from the hash of a function it
 * gives the same order of workers at every router, and a worker that joins or leaves moves few functions.
 *
 * <p>The virtual nodes are a sorted list: with thousands of workers a tree takes more than twice the memory. A change
 * of membership takes effect with {@link #rebuild}, in time linear in the number of virtual nodes.
 */
public final class HashRing {
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** One position of a worker on the ring. */
    private record VirtualNode(long position, Worker worker) {}

    /** Workers that want the same position are ordered by id, so that every router gives it to the same one. */
    private static final Comparator<VirtualNode> BY_POSITION =
            Comparator.comparingLong(VirtualNode::position).thenComparing(node -> node.worker.id);

    private final int virtualNodesPerWorker;
    private final ArrayList<VirtualNode> nodes = new ArrayList<>();
    private final Set<Worker> added = new LinkedHashSet<>();
    private boolean hasRemoved;
    private long version;

    /** @param virtualNodesPerWorker the number of positions of each worker on the ring */
    public HashRing(int virtualNodesPerWorker) {
        this.virtualNodesPerWorker = virtualNodesPerWorker;
    }

    /** Adds a worker that is not on the ring, with the next {@link #rebuild}. */
    void add(Worker worker) {
        added.add(worker);
    }

    /** Removes a worker from the ring, with the next {@link #rebuild}. */
    void remove(Worker worker) {
        hasRemoved |= !added.remove(worker);
    }

    /** Applies the changes, and makes every function recompute its order when it is next asked for. */
    void rebuild() {
        version++;
        if (hasRemoved) {
            nodes.removeIf(node -> !node.worker.onRing || added.contains(node.worker));
            hasRemoved = false;
        }
        if (!added.isEmpty()) {
            nodes.ensureCapacity(nodes.size() + added.size() * virtualNodesPerWorker);
            added.forEach(this::addVirtualNodes);
            added.clear();
            sortToDistinctPositions();
        }
    }

    private void addVirtualNodes(Worker worker) {
        for (int i = 0; i < virtualNodesPerWorker; i++) {
            nodes.add(new VirtualNode(hash(worker.id + "#" + i), worker));
        }
    }

    /**
     * Sorts the nodes. One whose position another holds moves on to a position derived from it: two ids with the same
     * checksum want all positions of each other, and a worker without any would never be reached.
     */
    private void sortToDistinctPositions() {
        boolean moved = true;
        while (moved) {
            nodes.sort(BY_POSITION);
            moved = false;
            for (int i = 1; i < nodes.size(); i++) {
                VirtualNode node = nodes.get(i);
                if (node.position == nodes.get(i - 1).position) {
                    nodes.set(i, new VirtualNode(mix(node.position + MULTIPLIER), node.worker));
                    moved = true;
                }
            }
        }
    }

    /**
     * The worker at an index of the function's ring order. The order is computed only as far as it is needed.
     *
     * @param index 0 for the first worker; below the number of workers on the ring
     */
    Worker workerAt(Function function, int index) {
        if (function.ringOrderVersion != version) {
            function.ringOrderVersion = version;
            function.ringOrder.clear();
            function.orderedWorkers.clear();
            function.nextRingIndex = firstIndexFrom(hash(function.id));
        }
        while (function.ringOrder.size() <= index) {
            extendOrder(function);
        }
        return function.ringOrder.get(index);
    }

    private void extendOrder(Function function) {
        Worker worker = nodes.get(function.nextRingIndex).worker;
        function.nextRingIndex = (function.nextRingIndex + 1) % nodes.size();
        if (function.orderedWorkers.add(worker)) {
            function.ringOrder.add(worker);
        }
    }

    /** The index of the first node at a position or after it; the ring's first where there is none. */
    private int firstIndexFrom(long position) {
        int low = 0;
        int high = nodes.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (nodes.get(middle).position < position) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low == nodes.size() ? 0 : low;
    }

    /** CRC32, spread over 64 bits by two rounds of multiplication and shift. */
    private static long hash(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return mix(crc.getValue() * MULTIPLIER);
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 32)) * 0xD6E8FEB86659FD93L;
        return mixed ^ (mixed >>> 32);
    }
}
