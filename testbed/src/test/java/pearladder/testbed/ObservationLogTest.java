package pearladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearladder.emulator.Observation;
import pearladder.emulator.ObservationLog;

/** That observation logs are read back as they were written. */
class ObservationLogTest {
    @Test
    void readsWhatWasWrittenAndCountsTornLastLine(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("t.tape");
        List<Observation> lines = List.of(
                new Observation(5, Observation.SENT, "r", "c\"1", 0, "", "m", "draft", 2.5),
                new Observation(7, Observation.ARRIVED, "r", "c", 2, "e", "m", "", 0));
        try (ObservationLog log = new ObservationLog(file)) {
            lines.forEach(log);
        }
        List<Observation> read = new ArrayList<>();
        assertEquals(0, ObservationLog.read(file, read::add));
        assertEquals(lines, read);
        String text = Files.readString(file);
        Files.writeString(file, text.substring(0, text.length() - 9));
        read.clear();
        assertEquals(1, ObservationLog.read(file, read::add));
        assertEquals(lines.subList(0, 1), read);
    }
}
