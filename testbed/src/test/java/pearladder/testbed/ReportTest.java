package pearladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The page that is made from results. */
class ReportTest {
    @Test
    void pageStandsAloneAndComparesRuns(@TempDir Path folder) throws IOException {
        for (int seed = 1; seed <= 2; seed++) {
            Path run = Files.createDirectories(folder.resolve("module.s" + seed));
            Results.write(run, TestResults.results(seed));
        }
        String page = Files.readString(Report.write(folder));
        assertTrue(page.contains("<td>module<td>2<td>0.625<td>0.625<td>0.625"), "the mean over seeds");
        assertTrue(page.contains("a &lt;row&gt;") && !page.contains("<row>"));
        assertEquals(8, page.split("data:image/png;base64,iVBOR").length - 1, "two comparing, three for each run");
        assertTrue(!page.contains("http://") && !page.contains("https://"), "nothing is fetched from elsewhere");
    }

    @Test
    void folderWithoutResultsIsRejected(@TempDir Path folder) throws IOException {
        Files.writeString(folder.resolve(Results.FILE), "{\"torn\":");
        assertTrue(assertThrows(IOException.class, () -> Report.write(folder))
                .getMessage()
                .contains("no results.json"));
    }
}
