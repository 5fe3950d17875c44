package pearladder.traces;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

/**
 * The two files published beside the invocations of Azure Functions 2019: mean duration by function ("Average", in
 * milliseconds) and mean memory by app ("AverageAllocatedMb").
 *
 * @param durations in milliseconds by function
 * @param memory in MB by app
 */
public record DurationTables(Map<String, Double> durations, Map<String, Double> memory) {
    /** Tables for a trace without these files. */
    public static final DurationTables NONE = new DurationTables(Map.of(), Map.of());

    /** Reads the files that are given; either may be null. */
    public static DurationTables read(Path durations, Path memory, SkippedRows skipped) throws IOException {
        return new DurationTables(
                durations == null ? Map.of() : column(durations, "HashFunction", "Average", skipped),
                memory == null ? Map.of() : column(memory, "HashApp", "AverageAllocatedMb", skipped));
    }

    private static Map<String, Double> column(Path file, String key, String value, SkippedRows skipped)
            throws IOException {
        Map<String, Double> figures = new HashMap<>();
        CSVFormat format = CSVFormat.DEFAULT
                .builder()
                .setHeader()
                .setSkipHeaderRecord(true)
                .setIgnoreEmptyLines(true)
                .get();
        try (CSVParser parser = format.parse(Files.newBufferedReader(file, StandardCharsets.UTF_8))) {
            for (String column : new String[] {key, value}) {
                if (!parser.getHeaderNames().contains(column)) {
                    throw new TraceFile.InvalidTraceException(
                            file, "line 1: no column " + column + "; give the file published beside the invocations");
                }
            }
            for (CSVRecord row : parser) {
                try {
                    figures.put(row.get(key), Double.parseDouble(row.get(value)));
                } catch (IllegalArgumentException bad) {
                    skipped.add(parser.getCurrentLineNumber(), value, "not a number (" + file.getFileName() + ")", "");
                }
            }
        }
        return figures;
    }
}
