package pearladder.router.kserve;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearladder.kserve.DiscoveryMessage;
import pearladder.rollout.RolloutPlan;
import pearladder.rollout.RolloutProgress;
import pearladder.rollout.RolloutTarget;
import pearladder.routing.api.TimeSpan;

/** Files of a router of version 0.2.0 are read completely, and written in the same bytes. */
class EarlierVersionFilesTest {
    private static final String JOURNAL = "releases.journal";
    private static final String ENDPOINT_LIST = "last-list.json";
    private static final RolloutPlan PLAN = new RolloutPlan(
            "pair-a",
            "",
            "2",
            List.of(0.5, 1.0),
            TimeSpan.seconds(1),
            2,
            new RolloutPlan.Gate(0.5, 0.2, 0.2),
            RolloutPlan.Breach.ROLL_BACK);
    private static final RolloutTarget STARTED =
            new RolloutTarget(1, PLAN, RolloutTarget.Mode.RUNNING, 0, "operator", 1_796_194_484_149L);
    private static final RolloutTarget ROLLED_BACK =
            new RolloutTarget(2, PLAN, RolloutTarget.Mode.ROLLED_BACK, 0, "operator", 1_796_194_500_302L);
    private static final RolloutProgress FIRST_STEP = new RolloutProgress("pair-a", 1, 0, false);
    private static final RolloutProgress SECOND_STEP = new RolloutProgress("pair-a", 1, 1, false);

    @TempDir
    Path directory;

    private static byte[] resource(String name) throws IOException {
        try (InputStream file = EarlierVersionFilesTest.class.getResourceAsStream("/written-by-0.2.0/" + name)) {
            return file.readAllBytes();
        }
    }

    @Test
    void theRolloutJournalIsReadWithTargetsAndProgress() throws IOException {
        Files.write(directory.resolve(JOURNAL), resource(JOURNAL));
        try (RolloutJournal journal = RolloutJournal.open(directory)) {
            assertEquals(List.of(STARTED, ROLLED_BACK), journal.targets());
            assertEquals(List.of(FIRST_STEP, SECOND_STEP), journal.progress());
        }
    }

    @Test
    void theRolloutJournalIsWrittenInTheSameBytes() throws IOException {
        try (RolloutJournal journal = RolloutJournal.open(directory)) {
            journal.append(List.of(STARTED));
            journal.append(FIRST_STEP);
            journal.append(SECOND_STEP);
            journal.append(List.of(ROLLED_BACK));
        }
        assertArrayEquals(resource(JOURNAL), Files.readAllBytes(directory.resolve(JOURNAL)));
    }

    @Test
    void theEndpointListIsReadAndWrittenInTheSameBytes() throws IOException {
        Files.write(directory.resolve(ENDPOINT_LIST), resource(ENDPOINT_LIST));
        EndpointListCache cache = new EndpointListCache(directory);
        DiscoveryMessage cached = cache.read();
        assertEquals(
                List.of("engine-0", "engine-1"),
                cached.entries().stream().map(DiscoveryMessage.Entry::worker).toList());
        assertEquals(
                List.of(DiscoveryMessage.WorkerState.IN_SERVICE, DiscoveryMessage.WorkerState.IN_SERVICE),
                cached.entries().stream().map(DiscoveryMessage.Entry::state).toList());
        cache.write(cached);
        assertArrayEquals(resource(ENDPOINT_LIST), Files.readAllBytes(directory.resolve(ENDPOINT_LIST)));
    }
}
