package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pearladder.router.kserve.RolloutTargets.target;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearladder.rollout.RolloutProgress;
import pearladder.rollout.RolloutTarget;
import pearladder.rollout.RolloutTarget.Mode;

/** The rollout journal on disk. */
class RolloutJournalTest {
    @TempDir
    Path directory;

    @Test
    void aTruncatedLastLineIsRemovedAndEarlierDamageIsAnError() throws IOException {
        Path file = directory.resolve("releases.journal");
        try (RolloutJournal journal = RolloutJournal.open(directory)) {
            for (int epoch = 1; epoch <= 3; epoch++) {
                journal.append(List.of(target(epoch, "pair-a", Mode.RUNNING, 0)));
            }
            assertTrue(assertThrows(IOException.class, () -> RolloutJournal.open(directory))
                    .getMessage()
                    .contains("held by another router"));
        }
        byte[] content = Files.readAllBytes(file);
        int lastLineStart = content.length
                - new String(content, StandardCharsets.UTF_8)
                        .lines()
                        .reduce((a, b) -> b)
                        .orElseThrow()
                        .length()
                - 1;
        for (int length = lastLineStart + 1; length < content.length; length += 7) {
            Files.write(file, Arrays.copyOf(content, length));
            assertLastLineIsReplaced("cut at " + length);
        }
        byte[] damaged = content.clone();
        damaged[20] ^= 1;
        Files.write(file, damaged);
        assertTrue(assertThrows(IOException.class, () -> RolloutJournal.open(directory))
                .getMessage()
                .contains("line 1 is damaged"));
    }

    private void assertLastLineIsReplaced(String description) throws IOException {
        try (RolloutJournal journal = RolloutJournal.open(directory)) {
            assertEquals(
                    List.of(1L, 2L),
                    journal.targets().stream().map(RolloutTarget::epoch).toList(),
                    description);
            journal.append(List.of(target(9, "pair-a", Mode.PAUSED, 0)));
        }
        try (RolloutJournal journal = RolloutJournal.open(directory)) {
            assertEquals(
                    List.of(1L, 2L, 9L),
                    journal.targets().stream().map(RolloutTarget::epoch).toList());
        }
    }

    @Test
    void aLongJournalIsCompactedAndKeepsTheNewestTargetOfEachModel() throws IOException {
        try (RolloutJournal journal = RolloutJournal.open(directory)) {
            journal.append(List.of(target(5, "pair-old", Mode.ROLLED_BACK, 0)));
            for (int epoch = 1; epoch <= 1005; epoch++) {
                journal.append(List.of(target(epoch, "pair-a", Mode.RUNNING, 0)));
            }
            journal.append(new RolloutProgress("pair-a", 1004, 0, true));
            journal.append(new RolloutProgress("pair-a", 1005, 1, false));
            journal.append(new RolloutProgress("pair-gone", 1, 1, false));
        }
        Files.writeString(directory.resolve("releases.journal"), "torn", StandardOpenOption.APPEND);
        try (RolloutJournal journal = RolloutJournal.open(directory)) {
            List<RolloutTarget> targets = new ArrayList<>(journal.targets());
            assertEquals(201, targets.size());
            assertEquals(
                    List.of(new RolloutProgress("pair-a", 1005, 1, false)),
                    journal.progress(),
                    "the progress of older targets is dropped");
            assertEquals(target(5, "pair-old", Mode.ROLLED_BACK, 0), targets.get(0));
            assertEquals(1005, targets.get(200).epoch());
        }
    }
}
