package pearladder.routing.state;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.zip.CRC32;

/**
 * A consistent-hash ring of workers, each with several virtual nodes. Walked clockwise from the hash of a function it
 * gives the same order of workers at every router, and a worker that joins or leaves moves few functions.
 */
public final class HashRing {
    private final int virtualNodesPerWorker;
    private final TreeMap<Long, Worker> nodes = new TreeMap<>();
    private long version;

    /** @param virtualNodesPerWorker the number of positions of each worker on the ring */
    public HashRing(int virtualNodesPerWorker) {
        this.virtualNodesPerWorker = virtualNodesPerWorker;
    }

    /** The positions of a worker's virtual nodes. */
    public long[] virtualNodes(String workerId) {
        return IntStream.range(0, virtualNodesPerWorker)
                .mapToLong(i -> hash(workerId + "#" + i))
                .toArray();
    }

    /** Adds a worker's virtual nodes; a position that is already occupied stays with its owner. */
    public void add(Worker worker) {
        for (long position : worker.virtualNodes) {
            nodes.putIfAbsent(position, worker);
        }
    }

    /** Removes the virtual nodes that belong to the worker. */
    public void remove(Worker worker) {
        for (long position : worker.virtualNodes) {
            nodes.remove(position, worker);
        }
    }

    /** Makes every function recompute its order when it is next asked for. */
    public void invalidateOrders() {
        version++;
    }

    /**
     * The worker at an index of the function's ring order. The order is computed only as far as it is needed.
     *
     * @param index 0 for the first worker; below the number of workers on the ring
     */
    public Worker workerAt(Function function, int index) {
        if (function.ringOrderVersion != version) {
            function.ringOrderVersion = version;
            function.ringOrder.clear();
            function.orderedWorkers.clear();
            function.ringPosition = hash(function.id);
        }
        while (function.ringOrder.size() <= index) {
            extendOrder(function);
        }
        return function.ringOrder.get(index);
    }

    private void extendOrder(Function function) {
        Map.Entry<Long, Worker> next = nodes.ceilingEntry(function.ringPosition);
        next = next == null ? nodes.firstEntry() : next;
        function.ringPosition = next.getKey() + 1;
        Worker worker = next.getValue();
        if (function.orderedWorkers.add(worker)) {
            function.ringOrder.add(worker);
        }
    }

    /** CRC32, spread over 64 bits by two rounds of multiplication and shift. */
    private static long hash(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        long mixed = crc.getValue() * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
        return mixed ^ (mixed >>> 32);
    }
}
