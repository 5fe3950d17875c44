package pearladder.router;

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
import pearladder.release.Target;

/**
 * Orders on releases, as they were taken: a line each, with its check sum before it, on disk before anyone is told. A tail
 * that a crash left torn is cut off when it is opened; anything wrong before the tail is an error, since an order that
 * was promised would be lost with it. A long journal is made short when opened: the newest of each model, and the latest.
 */
final class ReleaseJournal implements Closeable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LONG = 1000;
    private static final int LATEST = 200;

    private final Path file;
    private final List<Target> orders = new CopyOnWriteArrayList<>();
    private FileChannel channel;

    private ReleaseJournal(Path file) {
        this.file = file;
    }

    /** Opens the journal of a folder, and makes one where there is none. */
    static ReleaseJournal open(Path folder) throws IOException {
        Files.createDirectories(folder);
        ReleaseJournal journal = new ReleaseJournal(folder.resolve("releases.journal"));
        journal.lock();
        journal.read();
        if (journal.orders.size() > LONG) {
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
            Target order = end < all.length ? parse(new String(all, at, end - at, StandardCharsets.UTF_8)) : null;
            if (order == null) {
                for (int i = end + 1; i < all.length; i++) {
                    if (all[i] == '\n') {
                        throw new IOException(file + ": line " + line + " is damaged and others stand behind it; look at it, "
                                + "and take that line out only if you know what it held");
                    }
                }
                channel.truncate(at);
                channel.force(true);
                break;
            }
            orders.add(order);
            at = end + 1;
        }
        channel.position(channel.size());
    }

    private static Target parse(String line) {
        if (line.length() < 10 || line.charAt(8) != ' ') {
            return null;
        }
        String json = line.substring(9);
        if (!line.substring(0, 8).equals(sum(json.getBytes(StandardCharsets.UTF_8)))) {
            return null;
        }
        try {
            return JSON.readValue(json, Target.class);
        } catch (IOException foreign) {
            return null;
        }
    }

    private static String sum(byte[] bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return String.format("%08x", crc.getValue());
    }

    private static byte[] line(Target order) throws IOException {
        byte[] json = JSON.writeValueAsBytes(order);
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        line.write((sum(json) + " ").getBytes(StandardCharsets.US_ASCII));
        line.write(json);
        line.write('\n');
        return line.toByteArray();
    }

    /** Puts an order on disk; where that fails the journal is as it was before. */
    void append(Target order) throws IOException {
        long before = channel.size();
        try {
            write(channel, line(order));
            channel.force(true);
        } catch (IOException failed) {
            // half a line must not stand before the next one
            channel.truncate(before);
            channel.position(before);
            throw failed;
        }
        orders.add(order);
    }

    private static void write(FileChannel to, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            to.write(buffer);
        }
    }

    private void shorten() throws IOException {
        Map<String, Target> newest = new LinkedHashMap<>();
        for (Target order : orders) {
            newest.merge(order.plan().model(), order, (a, b) -> b.epoch() > a.epoch() ? b : a);
        }
        List<Target> kept = new ArrayList<>(orders.subList(orders.size() - LATEST, orders.size()));
        newest.values().stream().filter(order -> !kept.contains(order)).forEach(order -> kept.add(0, order));
        Path beside = file.resolveSibling("releases.new");
        try (FileChannel fresh = FileChannel.open(beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            for (Target order : kept) {
                write(fresh, line(order));
            }
            fresh.force(true);
        }
        channel.close();
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        lock();
        channel.position(channel.size());
        orders.clear();
        orders.addAll(kept);
    }

    /** Every order that stands here, oldest first. */
    List<Target> orders() {
        return List.copyOf(orders);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
