package pearladder.traces;

import java.time.LocalDateTime;
import java.time.OffsetDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.csv.CSVRecord;

/** Turns the rows of one layout into calls. A row that can't be one is named with its column and left out. */
final class RowReader {
    private static final long SECOND = 1_000_000_000L;
    private static final int MINUTES = 1440;
    /** Work of a token that is read, and of one that is written, where a trace tells only tokens. */
    private static final long READ_TOKEN = 50_000;

    private static final long WRITTEN_TOKEN = 2_000_000;

    /** A field that is not what its column holds. */
    private static final class Bad extends RuntimeException {
        private static final long serialVersionUID = 1L;
        final String column;
        final transient String detail;

        Bad(String column, String kind, String detail) {
            super(kind, null, false, false);
            this.column = column;
            this.detail = detail;
        }
    }

    private final Layout layout;
    private final SkippedRows skipped;
    private final MinuteCounts minutes;
    private final Consumer<TraceCall> out;

    RowReader(Layout layout, SkippedRows skipped, MinuteCounts minutes, Consumer<TraceCall> out) {
        this.minutes = minutes;
        this.layout = layout;
        this.skipped = skipped;
        this.out = out;
    }

    /** Reads one row that stands on a line; a row of minutes goes into its book. */
    void read(CSVRecord row, long line) {
        try {
            switch (layout) {
                case PLAIN -> plain(row, line);
                case AZURE_FUNCTIONS_2019 -> minutes(row, line);
                case AZURE_FUNCTIONS_2021 -> invocation(row, line);
                case AZURE_LLM -> tokens(row, line);
                case GOOGLE_2011 -> task(row, line);
                case ALIBABA_2018 -> batch(row, line);
            }
        } catch (Bad bad) {
            skipped.add(line, bad.column, bad.getMessage(), bad.detail);
        }
    }

    private void plain(CSVRecord row, long line) {
        columns(row, 2, 6);
        long at = nanos(row, 0, "arrival_s", SECOND);
        out.accept(new TraceCall(
                at,
                text(row, 1, "model"),
                row.size() > 2 && !row.get(2).isBlank() ? nanos(row, 2, "work_ms", 1_000_000) : 0,
                row.size() > 3 && !row.get(3).isBlank() ? number(row, 3, "memory_mb") : Double.NaN,
                row.size() > 4 ? row.get(4) : "",
                row.size() > 5 ? row.get(5) : "",
                line));
    }

    private void minutes(CSVRecord row, long line) {
        columns(row, 5, 4 + MINUTES);
        int[] counts = new int[row.size() - 4];
        for (int i = 0; i < counts.length; i++) {
            String field = row.get(i + 4).trim();
            if (!field.matches("[0-9]{1,9}")) {
                throw new Bad(
                        "minute " + (i + 1),
                        field.isEmpty() ? "missing" : "not a count",
                        field.isEmpty() ? "" : "\"" + field + "\"");
            }
            counts[i] = Integer.parseInt(field);
        }
        minutes.add(text(row, 0, "HashOwner"), text(row, 1, "HashApp"), text(row, 2, "HashFunction"), counts, line);
    }

    private void invocation(CSVRecord row, long line) {
        columns(row, 4, 4);
        long end = nanos(row, 2, "end_timestamp", SECOND);
        long took = nanos(row, 3, "duration", SECOND);
        out.accept(new TraceCall(end - took, text(row, 1, "func"), took, Double.NaN, "", text(row, 0, "app"), line));
    }

    private void tokens(CSVRecord row, long line) {
        columns(row, 3, 3);
        long context = count(row, 1, "ContextTokens");
        long written = count(row, 2, "GeneratedTokens");
        // one model serves all of it; calls of like length are kept apart so that they can be placed apart
        long bucket = 64 - Long.numberOfLeadingZeros(Math.max(1, context));
        out.accept(new TraceCall(
                instant(row, 0, "TIMESTAMP"),
                "llm-" + bucket,
                context * READ_TOKEN + written * WRITTEN_TOKEN,
                Double.NaN,
                "",
                "",
                line));
    }

    /** Only submissions are calls; other events of a task are no rows of ours and are not counted as left out. */
    private void task(CSVRecord row, long line) {
        columns(row, 13, 13);
        if (count(row, 5, "event type") != 0) {
            return;
        }
        long at = nanos(row, 0, "timestamp", 1000);
        double cpu = row.get(9).isBlank() ? 0.05 : number(row, 9, "CPU request");
        double memory = row.get(10).isBlank() ? Double.NaN : number(row, 10, "memory request") * 64_000;
        out.accept(new TraceCall(
                at, "job-" + text(row, 2, "job ID"), (long) (cpu * SECOND), memory, "", row.get(6), line));
    }

    private void batch(CSVRecord row, long line) {
        columns(row, 9, 9);
        long start = nanos(row, 5, "start_time", SECOND);
        long end = nanos(row, 6, "end_time", SECOND);
        if (start <= 0) {
            throw new Bad("start_time", "missing", "");
        }
        if (end < start) {
            throw new Bad("end_time", "before its start", "\"" + row.get(6) + "\"");
        }
        double memory = row.get(8).isBlank() ? Double.NaN : number(row, 8, "plan_mem") * 1000;
        out.accept(new TraceCall(
                start,
                text(row, 2, "job_name") + "-" + text(row, 0, "task_name"),
                end - start,
                memory,
                "",
                row.get(3),
                line));
    }

    private static void columns(CSVRecord row, int least, int most) {
        if (row.size() < least || row.size() > most) {
            throw new Bad(
                    "",
                    "wrong number of columns",
                    row.size() + " where " + (least == most ? least : least + " to " + most) + " belong");
        }
    }

    private static String text(CSVRecord row, int at, String column) {
        String field = row.get(at).trim();
        if (field.isEmpty()) {
            throw new Bad(column, "missing", "");
        }
        return field;
    }

    private static double number(CSVRecord row, int at, String column) {
        String field = text(row, at, column);
        try {
            double number = Double.parseDouble(field);
            if (number >= 0 && number < 1e15) {
                return number;
            }
        } catch (NumberFormatException none) {
            throw new Bad(column, "not a number", "\"" + field + "\"");
        }
        throw new Bad(column, "out of bounds", "\"" + field + "\"");
    }

    private static long count(CSVRecord row, int at, String column) {
        double number = number(row, at, column);
        if (number != Math.rint(number)) {
            throw new Bad(column, "not a whole number", "\"" + row.get(at) + "\"");
        }
        return (long) number;
    }

    private static long nanos(CSVRecord row, int at, String column, long unit) {
        double number = number(row, at, column);
        if (number * unit > 9e18) {
            throw new Bad(column, "out of bounds", "\"" + row.get(at) + "\"");
        }
        // through the whole part first: a double of nanoseconds would lose the last digits after some months
        long whole = (long) number;
        return whole * unit + Math.round((number - whole) * unit);
    }

    private static long instant(CSVRecord row, int at, String column) {
        String field = text(row, at, column).replace(' ', 'T');
        try {
            OffsetDateTime time = field.matches(".*(Z|[+-][0-9]{2}:?[0-9]{2})$")
                    ? OffsetDateTime.parse(field)
                    : LocalDateTime.parse(field).atOffset(ZoneOffset.UTC);
            return Math.addExact(Math.multiplyExact(time.toEpochSecond(), SECOND), time.getNano());
        } catch (DateTimeParseException | ArithmeticException none) {
            throw new Bad(column, "not a date and time", "\"" + row.get(at) + "\"");
        }
    }

    /** The layouts as one line for each, for help texts. */
    static List<String> words() {
        return java.util.Arrays.stream(Layout.values()).map(Layout::word).toList();
    }
}
