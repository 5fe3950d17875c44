package pearladder.router.kserve;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.zip.CRC32;
import pearladder.rollout.RolloutProgress;
import pearladder.rollout.RolloutTarget;

/**
 * Orders on releases, as they were taken, and how far this router came with them: a line each, with its check sum before it, on disk before anyone is told. A tail
 * that a crash left torn is cut off when it is opened; anything wrong before the tail is an error, since an order that
 * was promised would be lost with it. A long journal is made short when opened: the newest order of each model with how far
 * it came, and the latest orders.
 */
final class RolloutJournal implements Closeable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LONG = 1000;
    private static final int LATEST = 200;

    private final Path file;
    private final List<RolloutTarget> orders = new CopyOnWriteArrayList<>();
    private final List<RolloutProgress> reached = new ArrayList<>();
    private int lines;
    private FileChannel channel;

    private RolloutJournal(Path file) {
        this.file = file;
    }

    /** Opens the journal of a folder, and makes one where there is none. */
    static RolloutJournal open(Path folder) throws IOException {
        Files.createDirectories(folder);
        RolloutJournal journal = new RolloutJournal(folder.resolve("releases.journal"));
        journal.lock();
        journal.read();
        if (journal.lines > LONG) {
            journal.shorten();
        }
        return journal;
    }

    private void lock() throws IOException {
        channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException here) {
            lock = null;
        }
        if (lock == null) {
            channel.close();
            throw new IOException(file + " is held by another router; give each its own data folder");
        }
    }

    private void read() throws IOException {
        byte[] all = Files.readAllBytes(file);
        int at = 0;
        int line = 0;
        while (at < all.length) {
            line++;
            int end = at;
            while (end < all.length && all[end] != '\n') {
                end++;
            }
            if (end == all.length || !take(new String(all, at, end - at, StandardCharsets.UTF_8))) {
                for (int i = end + 1; i < all.length; i++) {
                    if (all[i] == '\n') {
                        throw new IOException(
                                file + ": line " + line + " is damaged and others stand behind it; look at it, "
                                        + "and take that line out only if you know what it held");
                    }
                }
                channel.truncate(at);
                channel.force(true);
                break;
            }
            lines++;
            at = end + 1;
        }
        channel.position(channel.size());
    }

    /** An order has a plan, what was reached has none; false where the line is neither. */
    private boolean take(String line) {
        if (line.length() < 10 || line.charAt(8) != ' ') {
            return false;
        }
        String json = line.substring(9);
        if (!line.substring(0, 8).equals(sum(json.getBytes(StandardCharsets.UTF_8)))) {
            return false;
        }
        try {
            JsonNode node = JSON.readTree(json);
            if (node.has("plan")) {
                orders.add(JSON.treeToValue(node, RolloutTarget.class));
            } else {
                reached.add(JSON.treeToValue(node, RolloutProgress.class));
            }
            return true;
        } catch (IOException foreign) {
            return false;
        }
    }

    private static String sum(byte[] bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return String.format("%08x", crc.getValue());
    }

    private static byte[] line(Object orderOrReached) throws IOException {
        byte[] json = JSON.writeValueAsBytes(orderOrReached);
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        line.write((sum(json) + " ").getBytes(StandardCharsets.US_ASCII));
        line.write(json);
        line.write('\n');
        return line.toByteArray();
    }

    /** Puts orders on disk in one go; where that fails the journal is as it was before, without any of them. */
    void append(List<RolloutTarget> fresh) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (RolloutTarget order : fresh) {
            all.write(line(order));
        }
        put(all.toByteArray());
        orders.addAll(fresh);
    }

    /** The same for how far this router came. */
    void append(RolloutProgress far) throws IOException {
        put(line(far));
    }

    private void put(byte[] line) throws IOException {
        long before = channel.size();
        try {
            write(channel, line);
            channel.force(true);
        } catch (IOException failed) {
            // half a line must not stand before the next one
            channel.truncate(before);
            channel.position(before);
            throw failed;
        }
    }

    private static void write(FileChannel to, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            to.write(buffer);
        }
    }

    private void shorten() throws IOException {
        Map<String, RolloutTarget> newest = new LinkedHashMap<>();
        for (RolloutTarget order : orders) {
            newest.merge(order.plan().model(), order, RolloutTarget::newer);
        }
        List<RolloutTarget> kept = new ArrayList<>(orders.subList(Math.max(0, orders.size() - LATEST), orders.size()));
        List<RolloutProgress> far = reached.stream()
                .filter(one -> newest.containsKey(one.model())
                        && newest.get(one.model()).epoch() == one.epoch())
                .distinct()
                .toList();
        newest.values().stream().filter(order -> !kept.contains(order)).forEach(order -> kept.add(0, order));
        Path beside = file.resolveSibling("releases.new");
        try (FileChannel fresh = FileChannel.open(
                beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            for (RolloutTarget order : kept) {
                write(fresh, line(order));
            }
            for (RolloutProgress one : far) {
                write(fresh, line(one));
            }
            fresh.force(true);
        }
        channel.close();
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        lock();
        channel.position(channel.size());
        orders.clear();
        orders.addAll(kept);
        reached.clear();
        reached.addAll(far);
    }

    /** How far this router had come when the journal was opened. */
    List<RolloutProgress> reached() {
        return List.copyOf(reached);
    }

    /** Every order that stands here, oldest first. */
    List<RolloutTarget> orders() {
        return List.copyOf(orders);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
