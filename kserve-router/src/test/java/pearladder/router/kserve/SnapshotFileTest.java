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
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.PolicySnapshot;

/** The snapshot's file format does not depend on the names in the code. */
class SnapshotFileTest {
    private static final long TAKEN_AT = 1_764_655_200_000L;
    private static final PolicySnapshot SNAPSHOT = new PolicySnapshot(
            TimeSpan.millis(7),
            List.of(
                    new PolicySnapshot.WorkerSnapshot("w1", TimeSpan.seconds(3), TimeSpan.millis(250)),
                    new PolicySnapshot.WorkerSnapshot("w2", null, TimeSpan.ZERO)),
            List.of(
                    new PolicySnapshot.FunctionSnapshot(
                            "pair-a",
                            2,
                            512.5,
                            TimeSpan.millis(640),
                            1.5,
                            2.5,
                            0.75,
                            List.of(new PolicySnapshot.InstanceSnapshot("w1", 3, TimeSpan.millis(40), true))),
                    new PolicySnapshot.FunctionSnapshot("pair-b", 1, 64, null, 0.5, 0.25, 0.125, List.of())),
            List.of(TimeSpan.millis(900), TimeSpan.seconds(2)),
            4.5,
            6.5);

    @TempDir
    Path directory;

    private static byte[] writtenByEarlierVersion() throws IOException {
        try (InputStream file = SnapshotFileTest.class.getResourceAsStream("/written-by-0.2.0/snapshot.json")) {
            return file.readAllBytes();
        }
    }

    @Test
    void aFileWrittenByAnEarlierVersionIsReadCompletely() throws IOException {
        Files.write(directory.resolve("snapshot.json"), writtenByEarlierVersion());
        SnapshotFile.Taken taken = new SnapshotFile(directory).take();
        assertEquals(TAKEN_AT, taken.wall());
        assertEquals(SNAPSHOT, taken.known());
    }

    @Test
    void aFileIsWrittenWithTheNamesThatAnEarlierVersionReads() throws IOException {
        new SnapshotFile(directory).write(TAKEN_AT, SNAPSHOT);
        assertArrayEquals(writtenByEarlierVersion(), Files.readAllBytes(directory.resolve("snapshot.json")));
    }
}
