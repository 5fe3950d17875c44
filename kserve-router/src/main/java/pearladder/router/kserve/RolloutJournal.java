package pearladder.router.kserve;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
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
 * An append-only file of the rollout targets, in the order in which they were accepted, and of this router's progress
 * with them. Each line consists of the CRC-32 of its JSON and the JSON, and is on disk before it is acknowledged.
 *
 * <p>When the file is opened, a last line that a crash has left incomplete is removed. A damaged line that others
 * follow is an error, since an accepted target would be lost with it. A long file is compacted when it is opened: the
 * newest target of each model with its progress remains, and the latest targets.
 */
final class RolloutJournal implements Closeable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String FILE_NAME = "releases.journal";
    private static final String COMPACTED_FILE_NAME = "releases.new";
    /** A file of more lines is compacted when it is opened. */
    private static final int MAX_LINES = 1000;
    /** Number of latest targets that a compaction keeps, besides the newest of each model. */
    private static final int LATEST_TARGETS_KEPT = 200;

    private static final int CHECKSUM_DIGITS = 8;

    private final Path file;
    private final List<RolloutTarget> targets = new CopyOnWriteArrayList<>();
    private final List<RolloutProgress> progress = new ArrayList<>();
    private int lineCount;
    private FileChannel channel;

    private RolloutJournal(Path file) {
        this.file = file;
    }

    /** Opens the journal of a directory; creates both where they are missing. */
    static RolloutJournal open(Path directory) throws IOException {
        Files.createDirectories(directory);
        RolloutJournal journal = new RolloutJournal(directory.resolve(FILE_NAME));
        journal.openChannel();
        journal.read();
        if (journal.lineCount > MAX_LINES) {
            journal.compact();
        }
        return journal;
    }

    private void openChannel() throws IOException {
        channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        if (!tryLock(channel)) {
            channel.close();
            throw new IOException(file + " is held by another router; give each its own data folder");
        }
    }

    private static boolean tryLock(FileChannel channel) throws IOException {
        try {
            FileLock lock = channel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException lockedByThisProcess) {
            return false;
        }
    }

    private void read() throws IOException {
        byte[] content = Files.readAllBytes(file);
        int start = 0;
        while (start < content.length) {
            int end = lineEnd(content, start);
            boolean complete = end < content.length;
            if (!complete || !parse(new String(content, start, end - start, StandardCharsets.UTF_8))) {
                checkIsLastLine(content, end);
                channel.truncate(start);
                channel.force(true);
                break;
            }
            lineCount++;
            start = end + 1;
        }
        channel.position(channel.size());
    }

    /** Returns the index of the next line feed, or the length of the content where there is none. */
    private static int lineEnd(byte[] content, int start) {
        int end = start;
        while (end < content.length && content[end] != '\n') {
            end++;
        }
        return end;
    }

    private void checkIsLastLine(byte[] content, int end) throws IOException {
        if (lineEnd(content, end + 1) < content.length) {
            throw new IOException(
                    file + ": line " + (lineCount + 1) + " is damaged, but not the last one; inspect the file, "
                            + "and remove the line only if you know what it contained");
        }
    }

    /** Adds the target or the progress in a line; returns false where the line is damaged. */
    private boolean parse(String line) {
        if (line.length() < CHECKSUM_DIGITS + 2 || line.charAt(CHECKSUM_DIGITS) != ' ') {
            return false;
        }
        String json = line.substring(CHECKSUM_DIGITS + 1);
        String checksum = line.substring(0, CHECKSUM_DIGITS);
        if (!checksum.equals(checksum(json.getBytes(StandardCharsets.UTF_8)))) {
            return false;
        }
        try {
            JsonNode node = JSON.readTree(json);
            if (node.has("plan")) {
                targets.add(JSON.treeToValue(node, RolloutTarget.class));
            } else {
                progress.add(JSON.treeToValue(node, RolloutProgress.class));
            }
            return true;
        } catch (IOException malformed) {
            return false;
        }
    }

    private static String checksum(byte[] json) {
        CRC32 crc = new CRC32();
        crc.update(json);
        return String.format("%08x", crc.getValue());
    }

    /** @param targetOrProgress a {@link RolloutTarget} or a {@link RolloutProgress} */
    private static byte[] line(Object targetOrProgress) throws IOException {
        byte[] json = JSON.writeValueAsBytes(targetOrProgress);
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        line.write((checksum(json) + " ").getBytes(StandardCharsets.US_ASCII));
        line.write(json);
        line.write('\n');
        return line.toByteArray();
    }

    /** Appends targets in one write; if that fails, the file is unchanged and contains none of them. */
    void append(List<RolloutTarget> added) throws IOException {
        ByteArrayOutputStream addedLines = new ByteArrayOutputStream();
        for (RolloutTarget target : added) {
            addedLines.write(line(target));
        }
        appendLines(addedLines.toByteArray());
        targets.addAll(added);
    }

    /** Appends progress; if that fails, the file is unchanged. */
    void append(RolloutProgress added) throws IOException {
        appendLines(line(added));
    }

    private void appendLines(byte[] addedLines) throws IOException {
        long sizeBefore = channel.size();
        try {
            AtomicFile.writeFully(channel, addedLines);
            channel.force(true);
        } catch (IOException failure) {
            // an incomplete line must not be followed by another one
            channel.truncate(sizeBefore);
            channel.position(sizeBefore);
            throw failure;
        }
    }

    private void compact() throws IOException {
        Map<String, RolloutTarget> newest = new LinkedHashMap<>();
        for (RolloutTarget target : targets) {
            newest.merge(target.plan().model(), target, RolloutTarget::newer);
        }
        List<RolloutTarget> keptTargets = latestTargets();
        newest.values().stream()
                .filter(target -> !keptTargets.contains(target))
                .forEach(target -> keptTargets.add(0, target));
        List<RolloutProgress> keptProgress = progressOf(newest);
        Path compactedFile = file.resolveSibling(COMPACTED_FILE_NAME);
        writeCompacted(compactedFile, keptTargets, keptProgress);
        channel.close();
        Files.move(compactedFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        openChannel();
        channel.position(channel.size());
        targets.clear();
        targets.addAll(keptTargets);
        progress.clear();
        progress.addAll(keptProgress);
    }

    private List<RolloutTarget> latestTargets() {
        int first = Math.max(0, targets.size() - LATEST_TARGETS_KEPT);
        return new ArrayList<>(targets.subList(first, targets.size()));
    }

    private List<RolloutProgress> progressOf(Map<String, RolloutTarget> newest) {
        return progress.stream()
                .filter(entry -> newest.containsKey(entry.model()))
                .filter(entry -> newest.get(entry.model()).epoch() == entry.epoch())
                .distinct()
                .toList();
    }

    private static void writeCompacted(Path compactedFile, List<RolloutTarget> targets, List<RolloutProgress> progress)
            throws IOException {
        try (FileChannel output = FileChannel.open(
                compactedFile,
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            for (RolloutTarget target : targets) {
                AtomicFile.writeFully(output, line(target));
            }
            for (RolloutProgress entry : progress) {
                AtomicFile.writeFully(output, line(entry));
            }
            output.force(true);
        }
    }

    /** Returns this router's progress when the journal was opened. */
    List<RolloutProgress> progress() {
        return List.copyOf(progress);
    }

    /** Returns every target in the journal, oldest first. */
    List<RolloutTarget> targets() {
        return List.copyOf(targets);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
