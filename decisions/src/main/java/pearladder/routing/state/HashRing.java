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
 * A consistent-hash ring of workers, each with several virtual nodes. Walked clockwise from the hash of a function it
 * gives the same order of workers at every router, and a worker that joins or leaves moves few functions.
 *
 * <p>The virtual nodes are kept in sorted arrays: with thousands of workers a tree takes five times the memory. Changes
 * of membership take effect with {@link #rebuild}, in time linear in the number of virtual nodes.
 */
public final class HashRing {
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** A position on the ring that a worker wants. */
    private record Claim(long position, Worker worker) {}

    /** What is hashed behind a worker's id for each of its virtual nodes. */
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

    /** Applies the changes, and makes every function recompute its order when it is next asked for. */
    void rebuild() {
        version++;
        if (!removed.isEmpty()) {
            dropRemoved();
            removed.clear();
        }
        if (!added.isEmpty()) {
            List<Claim> claims = new ArrayList<>(added.size() * suffixes.size());
            added.forEach(worker -> addClaims(worker, claims));
            added.clear();
            insert(claims);
        }
    }

    private void dropRemoved() {
        int kept = 0;
        for (int i = 0; i < positions.length; i++) {
            if (owners[i].onRing) {
                positions[kept] = positions[i];
                owners[kept] = owners[i];
                kept++;
            }
        }
        positions = Arrays.copyOf(positions, kept);
        owners = Arrays.copyOf(owners, kept);
    }

    private void addClaims(Worker worker, List<Claim> claims) {
        byte[] id = worker.id.getBytes(StandardCharsets.UTF_8);
        for (byte[] suffix : suffixes) {
            checksum.reset();
            checksum.update(id, 0, id.length);
            checksum.update(suffix, 0, suffix.length);
            claims.add(new Claim(spread(checksum.getValue()), worker));
        }
    }

    /**
     * Inserts virtual nodes. One whose position another holds moves on to a position derived from it: two ids with the
     * same checksum claim the same positions, and a worker without any would never be reached.
     */
    private void insert(List<Claim> claims) {
        long[] claimed =
                claims.stream().mapToLong(Claim::position).sorted().distinct().toArray();
        Worker[] claimants = new Worker[claimed.length];
        List<Claim> displaced = new ArrayList<>();
        for (Claim claim : claims) {
            int index = Arrays.binarySearch(claimed, claim.position);
            if (claimants[index] == null && Arrays.binarySearch(positions, claim.position) < 0) {
                claimants[index] = claim.worker;
            } else {
                displaced.add(new Claim(mix(claim.position + MULTIPLIER), claim.worker));
            }
        }
        merge(claimed, claimants);
        if (!displaced.isEmpty()) {
            insert(displaced);
        }
    }

    /** Merges sorted positions; those without a worker are left out. */
    private void merge(long[] newPositions, Worker[] newOwners) {
        int length = positions.length
                + (int) Arrays.stream(newOwners).filter(Objects::nonNull).count();
        long[] mergedPositions = new long[length];
        Worker[] mergedOwners = new Worker[length];
        int merged = 0;
        int old = 0;
        for (int i = 0; i < newPositions.length; i++) {
            if (newOwners[i] == null) {
                continue;
            }
            while (old < positions.length && positions[old] < newPositions[i]) {
                mergedPositions[merged] = positions[old];
                mergedOwners[merged++] = owners[old++];
            }
            mergedPositions[merged] = newPositions[i];
            mergedOwners[merged++] = newOwners[i];
        }
        int rest = positions.length - old;
        System.arraycopy(positions, old, mergedPositions, merged, rest);
        System.arraycopy(owners, old, mergedOwners, merged, rest);
        positions = mergedPositions;
        owners = mergedOwners;
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
        Worker worker = owners[function.nextRingIndex];
        function.nextRingIndex = (function.nextRingIndex + 1) % owners.length;
        if (function.orderedWorkers.add(worker)) {
            function.ringOrder.add(worker);
        }
    }

    /** The index of the first node at a position or after it; the ring's first where there is none. */
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

    /** Spreads a checksum of 32 bits over 64, by two rounds of multiplication and shift. */
    private static long spread(long checksum) {
        return mix(checksum * MULTIPLIER);
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 32)) * 0xD6E8FEB86659FD93L;
        return mixed ^ (mixed >>> 32);
    }
}
