package pearladder.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** An HTML page of tables and charts for the results of a scenario or of the runs of an experiment. */
public final class Report {
    private static final String FILE = "report.html";

    private Report() {}

    /** Writes report.html into a folder that contains results, directly or in subfolders; returns the file. */
    public static Path write(Path folder) throws IOException {
        Map<String, JsonNode> runs = Results.below(folder);
        if (runs.isEmpty()) {
            throw new IOException(
                    folder + ": no results.json there or in a folder below; run day, replay or experiment first");
        }
        Path file = folder.resolve(FILE);
        Files.writeString(file, page(folder.getFileName().toString(), runs));
        return file;
    }

    /** Writes a page with one chart of stacked bars; the values are keyed by series and then by bar label. */
    public static void bars(Path file, String title, String unit, Map<String, Map<String, Double>> series)
            throws IOException {
        List<String> labels = series.values().stream()
                .flatMap(values -> values.keySet().stream())
                .distinct()
                .sorted()
                .toList();
        HtmlPage page = HtmlPage.plain(title);
        if (!labels.isEmpty()) {
            page.chart(Charts.stackedBars(title, unit, labels, series));
        }
        Files.writeString(file, page.end());
    }

    private static String page(String name, Map<String, JsonNode> runs) throws IOException {
        HtmlPage page = HtmlPage.styled(name);
        page.markup("<p>Stand-ins on one machine, over loopback: figures of a model, never of real engines.</p>");
        new ComparisonSection(page, runs).append();
        for (Map.Entry<String, JsonNode> run : runs.entrySet()) {
            new RunSection(page, run.getKey(), run.getValue()).append();
        }
        return page.end();
    }
}
