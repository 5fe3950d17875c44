package pearladder.traces;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

/**
 * Reads a trace file as a stream: its size does not matter, but for the layout of counts by minute, whose rows must
 * all be held to be put in order of time.
 */
public final class TraceFile {
    /**
     * What a whole file held.
     *
     * @param rows all but the header
     * @param requests requests that were made of them
     * @param reordered rows that came out of time order and were put right
     */
    public record Summary(Layout layout, long rows, long requests, long reordered) {}

    /** Thrown for a file that is no trace: the message names the file and says what to do. */
    public static final class InvalidTraceException extends IOException {
        private static final long serialVersionUID = 1L;

        InvalidTraceException(Path file, String what) {
            super(file + ": " + what);
        }
    }

    /** Requests held at once to put them in order. */
    private static final int MAX_HELD = 2_000_000;

    private static final int MAX_HEADER_SHOWN = 80;
    private static final String NOT_UTF_8 = "it is not UTF-8; convert it first";

    private final Layout layout;
    private final SkippedRows skipped;
    private final Consumer<TraceRequest> out;
    private long rows;
    private long requestCount;

    private TraceFile(Layout layout, SkippedRows skipped, Consumer<TraceRequest> out) {
        this.layout = layout;
        this.skipped = skipped;
        this.out = out;
    }

    /**
     * Reads a file from its beginning to its end; throws {@link InvalidTraceException} where it is none.
     *
     * @param layout null to detect it by the first line
     * @param companions beside counts by minute; {@link DurationTables#NONE} for other layouts
     * @param windowNanos how far out of order a row may be and still be put right
     */
    public static Summary read(
            Path file,
            Layout layout,
            DurationTables companions,
            long windowNanos,
            SkippedRows skipped,
            Consumer<TraceRequest> out)
            throws IOException {
        CSVFormat format = CSVFormat.DEFAULT.builder().setIgnoreEmptyLines(true).get();
        try (BufferedReader reader = TraceInput.open(file);
                CSVParser parser = format.parse(reader)) {
            Iterator<CSVRecord> rows = parser.iterator();
            if (!rows.hasNext()) {
                throw new InvalidTraceException(file, "the file is empty; a trace has a row at least");
            }
            CSVRecord first = rows.next();
            Layout known = layoutOf(file, layout, first);
            return new TraceFile(known, skipped, out)
                    .read(parser, rows, known.hasHeader() ? null : first, companions, windowNanos);
        } catch (UncheckedIOException | IllegalStateException broken) {
            Throwable cause = broken.getCause() == null ? broken : broken.getCause();
            throw new InvalidTraceException(
                    file,
                    cause instanceof CharacterCodingException
                            ? NOT_UTF_8
                            : "it can't be read to its end: " + cause.getMessage());
        } catch (CharacterCodingException notUtf) {
            throw new InvalidTraceException(file, NOT_UTF_8);
        }
    }

    /** The layout that was asked for, or that the first row shows; the header must be the layout's. */
    private static Layout layoutOf(Path file, Layout asked, CSVRecord first) throws InvalidTraceException {
        List<String> columns = first.toList().stream().map(String::trim).toList();
        Layout layout = asked != null ? asked : Layout.guess(columns);
        if (layout == null) {
            throw new InvalidTraceException(
                    file,
                    "line 1: the columns \"" + abbreviated(columns) + "\" are of no known layout; name one with "
                            + "--layout: " + String.join(", ", RowReader.words()));
        }
        List<String> header = layout.header();
        List<String> start = columns.subList(0, Math.min(columns.size(), header.size()));
        if (layout.hasHeader() && !start.equals(header)) {
            throw new InvalidTraceException(
                    file,
                    "line 1: the header \"" + abbreviated(columns) + "\" is not that of " + layout.word()
                            + ", which begins with \"" + String.join(",", header) + "\"");
        }
        return layout;
    }

    private static String abbreviated(List<String> columns) {
        String all = String.join(",", columns);
        return all.length() > MAX_HEADER_SHOWN ? all.substring(0, MAX_HEADER_SHOWN) + "..." : all;
    }

    /** Reads all rows; the first has been read already, or is null where it was a header. */
    private Summary read(
            CSVParser parser, Iterator<CSVRecord> rest, CSVRecord first, DurationTables companions, long window) {
        ReorderBuffer order = new ReorderBuffer(window, MAX_HELD, skipped, this::count);
        MinuteCounts minutes = new MinuteCounts(companions.durations(), companions.memory());
        RowReader reader = new RowReader(layout, skipped, minutes, order);
        if (first != null) {
            rows++;
            reader.read(first, 1);
        }
        long line = parser.getCurrentLineNumber() + 1;
        while (rest.hasNext()) {
            CSVRecord row = rest.next();
            rows++;
            reader.read(row, line);
            // quotes may span lines: the next row begins after the line on which this one ends
            line = parser.getCurrentLineNumber() + 1;
        }
        order.end();
        minutes.give(this::count);
        return new Summary(layout, rows, requestCount, order.moved());
    }

    private void count(TraceRequest request) {
        requestCount++;
        out.accept(request);
    }
}
