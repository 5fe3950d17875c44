package pearladder.traces;

import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PushbackInputStream;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.GZIPInputStream;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

/**
 * A trace file, streamed: plain or gzip, with or without a byte-order mark, lines ended by LF or CRLF. Its size does not
 * matter, but for the layout of counts by minute, whose rows must all be held to be put in order of time.
 */
public final class TraceFile {
    /** What the whole file came to. */
    public record Read(Layout layout, long rows, long calls, long reordered) {}

    /** A file that is no trace: the message names the file and says what to do. */
    public static final class NoTrace extends IOException {
        private static final long serialVersionUID = 1L;

        NoTrace(Path file, String what) {
            super(file + ": " + what);
        }
    }

    private static final int HELD = 2_000_000;

    private TraceFile() {}

    /**
     * Reads a file from its beginning to its end.
     *
     * @param layout null to tell it from the first line
     * @param companions beside counts by minute; {@link DurationTables#NONE} for other layouts
     * @param windowNanos how far out of order a row may be and still be put right
     */
    public static Read read(
            Path file,
            Layout layout,
            DurationTables companions,
            long windowNanos,
            SkippedRows skipped,
            Consumer<TraceCall> out)
            throws IOException {
        try (BufferedReader reader = open(file);
                CSVParser parser = CSVFormat.DEFAULT
                        .builder()
                        .setIgnoreEmptyLines(true)
                        .get()
                        .parse(reader)) {
            Iterator<CSVRecord> rows = parser.iterator();
            if (!rows.hasNext()) {
                throw new NoTrace(file, "the file is empty; a trace has a row at least");
            }
            CSVRecord first = rows.next();
            List<String> names = first.toList().stream().map(String::trim).toList();
            Layout known = layout != null ? layout : Layout.guess(names);
            if (known == null) {
                throw new NoTrace(
                        file,
                        "line 1: the columns \"" + shown(names) + "\" are of no known layout; name one with "
                                + "--layout: " + String.join(", ", RowReader.words()));
            }
            boolean headed = known.headed();
            if (headed
                    && !names.subList(0, Math.min(names.size(), known.header().size()))
                            .equals(known.header())) {
                throw new NoTrace(
                        file,
                        "line 1: the header \"" + shown(names) + "\" is not that of " + known.word()
                                + ", which begins with \"" + String.join(",", known.header()) + "\"");
            }
            return read(parser, rows, headed ? null : first, known, companions, windowNanos, skipped, out);
        } catch (UncheckedIOException | IllegalStateException broken) {
            Throwable cause = broken.getCause() == null ? broken : broken.getCause();
            throw new NoTrace(
                    file,
                    cause instanceof CharacterCodingException
                            ? "it is not UTF-8; convert it first"
                            : "it can't be read to its end: " + cause.getMessage());
        } catch (CharacterCodingException foreign) {
            throw new NoTrace(file, "it is not UTF-8; convert it first");
        }
    }

    private static Read read(
            CSVParser parser,
            Iterator<CSVRecord> rows,
            CSVRecord first,
            Layout layout,
            DurationTables companions,
            long window,
            SkippedRows skipped,
            Consumer<TraceCall> out) {
        long[] counts = new long[2];
        Consumer<TraceCall> counted = call -> {
            counts[1]++;
            out.accept(call);
        };
        ReorderBuffer order = new ReorderBuffer(window, HELD, skipped, counted);
        MinuteCounts minutes = new MinuteCounts(companions.durations(), companions.memory());
        RowReader reader = new RowReader(layout, skipped, minutes, order);
        if (first != null) {
            counts[0]++;
            reader.read(first, 1);
        }
        long line = parser.getCurrentLineNumber() + 1;
        while (rows.hasNext()) {
            CSVRecord row = rows.next();
            counts[0]++;
            reader.read(row, line);
            // quotes may span lines: the next row begins after the line on which this one ends
            line = parser.getCurrentLineNumber() + 1;
        }
        order.end();
        minutes.give(counted);
        return new Read(layout, counts[0], counts[1], order.moved());
    }

    private static BufferedReader open(Path file) throws IOException {
        InputStream in;
        try {
            in = new BufferedInputStream(Files.newInputStream(file), 1 << 16);
        } catch (IOException unreadable) {
            throw new NoTrace(file, "it can't be read; check that it is there");
        }
        in.mark(2);
        int magic = in.read() | in.read() << 8;
        in.reset();
        PushbackInputStream plain =
                new PushbackInputStream(magic == GZIPInputStream.GZIP_MAGIC ? new GZIPInputStream(in, 1 << 16) : in, 3);
        byte[] mark = plain.readNBytes(3);
        boolean marked =
                mark.length == 3 && (mark[0] & 0xFF) == 0xEF && (mark[1] & 0xFF) == 0xBB && (mark[2] & 0xFF) == 0xBF;
        if (!marked) {
            plain.unread(mark);
        }
        return new BufferedReader(
                new InputStreamReader(
                        plain,
                        StandardCharsets.UTF_8
                                .newDecoder()
                                .onMalformedInput(CodingErrorAction.REPORT)
                                .onUnmappableCharacter(CodingErrorAction.REPORT)),
                1 << 16);
    }

    private static String shown(List<String> names) {
        String all = String.join(",", names);
        return all.length() > 80 ? all.substring(0, 80) + "..." : all;
    }
}
