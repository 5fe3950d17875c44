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
 * Reads a trace file as a stream: memory does not grow with its size, except for the layout of counts by minute,
 * all of whose rows must be held to be put in order of time.
 */
public final class TraceFile {
    /**
     * Totals of a file that was read.
     *
     * @param rows number of rows without the header
     * @param requests number of requests made from the rows
     * @param reordered number of rows that were out of time order and were put in order
     */
    public record Summary(Layout layout, long rows, long requests, long reordered) {}

    /** Thrown for a file that is not a valid trace; the message names the file and the remedy. */
    public static final class InvalidTraceException extends IOException {
        private static final long serialVersionUID = 1L;

        InvalidTraceException(Path file, String what) {
            super(file + ": " + what);
        }
    }

    /** Number of requests held at once to put them in order. */
    private static final int MAX_BUFFERED_REQUESTS = 2_000_000;

    private static final int MAX_HEADER_LENGTH_SHOWN = 80;
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
     * Reads a file from its beginning to its end; throws {@link InvalidTraceException} if it is not a valid trace.
     *
     * @param layout null to detect it by the first line
     * @param companions files published beside counts by minute; {@link DurationTables#NONE} for other layouts
     * @param windowNanos longest time by which a row may be out of order and still be put in order
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

    /** Returns the requested layout, or the one detected from the first row; the header must match it. */
    private static Layout layoutOf(Path file, Layout requested, CSVRecord first) throws InvalidTraceException {
        List<String> columns = first.toList().stream().map(String::trim).toList();
        Layout layout = requested != null ? requested : Layout.guess(columns);
        if (layout == null) {
            throw new InvalidTraceException(
                    file,
                    "line 1: the columns \"" + abbreviated(columns) + "\" are of no known layout; name one with "
                            + "--layout: " + String.join(", ", RowReader.layoutNames()));
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
        return all.length() > MAX_HEADER_LENGTH_SHOWN ? all.substring(0, MAX_HEADER_LENGTH_SHOWN) + "..." : all;
    }

    /** Reads all rows; {@code first} has been read from the parser already, and is null if it was a header. */
    private Summary read(
            CSVParser parser, Iterator<CSVRecord> rest, CSVRecord first, DurationTables companions, long window) {
        ReorderBuffer order = new ReorderBuffer(window, MAX_BUFFERED_REQUESTS, skipped, this::count);
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
        order.flush();
        minutes.emitInOrder(this::count);
        return new Summary(layout, rows, requestCount, order.reorderedCount());
    }

    private void count(TraceRequest request) {
        requestCount++;
        out.accept(request);
    }
}
