package pearladder.routing.state;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.zip.CRC32;

/**
 * A consistent-hash ring of workers, each with several virtual nodes. A clockwise walk from a function's hash gives the
 * same order of workers at every router, and a worker that joins or leaves moves few functions.
 *
 * <p>The virtual nodes are kept in sorted arrays: with thousands of workers a tree takes five times the memory. Changes
 * of membership take effect with {@link #rebuild}, in time linear in the number of virtual nodes.
 */
public final class HashRing {
    private static final long GOLDEN_RATIO_MULTIPLIER = 0x9E3779B97F4A7C15L; // 2^64 over the golden ratio

    /** A virtual node to be inserted at a position, unless the position is occupied. */
    private record VirtualNode(long position, Worker worker) {}

    /** The suffixes that are appended to a worker's id to hash its virtual nodes. */
    private final List<byte[]> suffixes;

    private final CRC32 checksum = new CRC32();
    private final Set<Worker> added = new LinkedHashSet<>();
    private final Set<Worker> removed = new LinkedHashSet<>();
    private long[] positions = {};
    /** The worker at each position. */
    private Worker[] owners = {};

    private long version;

    /** @param virtualNodesPerWorker the number of positions of each worker on the ring */
    public HashRing(int virtualNodesPerWorker) {
        suffixes = IntStream.range(0, virtualNodesPerWorker)
                .mapToObj(i -> ("#" + i).getBytes(StandardCharsets.US_ASCII))
                .toList();
    }

    /** Adds a worker that is not on the ring, with the next {@link #rebuild}. */
    void add(Worker worker) {
        if (!removed.remove(worker)) {
            added.add(worker);
        }
    }

    /** Removes a worker from the ring, with the next {@link #rebuild}. */
    void remove(Worker worker) {
        if (!added.remove(worker)) {
            removed.add(worker);
        }
    }

    /** Applies the additions and removals, and invalidates the ring order of every function. */
    void rebuild() {
        version++;
        if (!removed.isEmpty()) {
            dropRemoved();
            removed.clear();
        }
        if (!added.isEmpty()) {
            List<VirtualNode> virtualNodes = new ArrayList<>(added.size() * suffixes.size());
            added.forEach(worker -> addVirtualNodes(worker, virtualNodes));
            added.clear();
            insert(virtualNodes);
        }
    }

    private void dropRemoved() {
        int keptCount = 0;
        for (int i = 0; i < positions.length; i++) {
            if (owners[i].onRing) {
                positions[keptCount] = positions[i];
                owners[keptCount] = owners[i];
                keptCount++;
            }
        }
        positions = Arrays.copyOf(positions, keptCount);
        owners = Arrays.copyOf(owners, keptCount);
    }

    private void addVirtualNodes(Worker worker, List<VirtualNode> virtualNodes) {
        byte[] id = worker.id.getBytes(StandardCharsets.UTF_8);
        for (byte[] suffix : suffixes) {
            checksum.reset();
            checksum.update(id, 0, id.length);
            checksum.update(suffix, 0, suffix.length);
            virtualNodes.add(new VirtualNode(spread(checksum.getValue()), worker));
        }
    }

    /**
     * Inserts virtual nodes. A node whose position is occupied moves to a position derived from it: two ids with the
     * same checksum hash to the same positions, and a worker without any position would never be reached.
     */
    private void insert(List<VirtualNode> virtualNodes) {
        long[] newPositions = virtualNodes.stream()
                .mapToLong(VirtualNode::position)
                .sorted()
                .distinct()
                .toArray();
        Worker[] newOwners = new Worker[newPositions.length];
        List<VirtualNode> displaced = new ArrayList<>();
        for (VirtualNode virtualNode : virtualNodes) {
            int index = Arrays.binarySearch(newPositions, virtualNode.position);
            if (newOwners[index] == null && Arrays.binarySearch(positions, virtualNode.position) < 0) {
                newOwners[index] = virtualNode.worker;
            } else {
                displaced.add(new VirtualNode(mix(virtualNode.position + GOLDEN_RATIO_MULTIPLIER), virtualNode.worker));
            }
        }
        merge(newPositions, newOwners);
        if (!displaced.isEmpty()) {
            insert(displaced);
        }
    }

    /** Merges sorted positions into the ring; positions without an owner are left out. */
    private void merge(long[] newPositions, Worker[] newOwners) {
        int length = positions.length
                + (int) Arrays.stream(newOwners).filter(Objects::nonNull).count();
        long[] mergedPositions = new long[length];
        Worker[] mergedOwners = new Worker[length];
        int mergedCount = 0;
        int oldIndex = 0;
        for (int i = 0; i < newPositions.length; i++) {
            if (newOwners[i] == null) {
                continue;
            }
            while (oldIndex < positions.length && positions[oldIndex] < newPositions[i]) {
                mergedPositions[mergedCount] = positions[oldIndex];
                mergedOwners[mergedCount++] = owners[oldIndex++];
            }
            mergedPositions[mergedCount] = newPositions[i];
            mergedOwners[mergedCount++] = newOwners[i];
        }
        int remaining = positions.length - oldIndex;
        System.arraycopy(positions, oldIndex, mergedPositions, mergedCount, remaining);
        System.arraycopy(owners, oldIndex, mergedOwners, mergedCount, remaining);
        positions = mergedPositions;
        owners = mergedOwners;
    }

    /**
     * Returns the worker at an index of the function's ring order, which is computed only as far as needed.
     *
     * @param index 0 for the first worker; must be below the number of workers on the ring
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
        Worker worker = owners[function.nextRingIndex];
        function.nextRingIndex = (function.nextRingIndex + 1) % owners.length;
        if (function.orderedWorkers.add(worker)) {
            function.ringOrder.add(worker);
        }
    }

    /** Returns the index of the first virtual node at or after a position, wrapping around at the end of the ring. */
    private int firstIndexFrom(long position) {
        int found = Arrays.binarySearch(positions, position);
        int index = found >= 0 ? found : -found - 1;
        return index == positions.length ? 0 : index;
    }

    private long hash(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        checksum.reset();
        checksum.update(bytes, 0, bytes.length);
        return spread(checksum.getValue());
    }

    /** Spreads a 32-bit checksum over 64 bits by two rounds of multiplication and shift. */
    private static long spread(long checksum) {
        return mix(checksum * GOLDEN_RATIO_MULTIPLIER);
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 32)) * 0xD6E8FEB86659FD93L;
        return mixed ^ (mixed >>> 32);
    }
}
