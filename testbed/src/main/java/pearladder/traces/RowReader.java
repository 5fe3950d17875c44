package pearladder.traces;

import java.time.LocalDateTime;
import java.time.OffsetDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeParseException;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.csv.CSVRecord;

/** Turns the rows of one layout into requests. A row that is invalid is reported with its column and left out. */
final class RowReader {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_MICRO = 1000;
    private static final int MINUTES_PER_DAY = 1440;
    /** Number of columns of Azure Functions 2019 before the minutes. */
    private static final int COLUMNS_BEFORE_MINUTES = 4;
    /** Work of one input token, in nanoseconds, where a trace states only numbers of tokens. */
    private static final long INPUT_TOKEN_NANOS = 50_000;
    /** Work of one output token, in nanoseconds. */
    private static final long OUTPUT_TOKEN_NANOS = 2_000_000;
    /** Memory of the largest machine; the Google trace states memory as a share of it. */
    private static final double GOOGLE_MACHINE_MB = 64_000;

    private static final double GOOGLE_DEFAULT_CPU_SHARE = 0.05;
    private static final int GOOGLE_SUBMISSION = 0;
    /** Memory of one per cent of a machine, the unit of the Alibaba trace. */
    private static final double ALIBABA_MB_PER_UNIT = 1000;
    /** Numbers from this limit on are rejected as implausible. */
    private static final double NUMBER_LIMIT = 1e15;
    /** Just below the largest value of a long. */
    private static final double NANOS_LIMIT = 9e18;

    /** Thrown for a field whose value is invalid for its column. */
    private static final class InvalidField extends RuntimeException {
        private static final long serialVersionUID = 1L;
        final String column;
        final transient String detail;

        InvalidField(String column, String kind, String detail) {
            super(kind, null, false, false);
            this.column = column;
            this.detail = detail;
        }
    }

    private final Layout layout;
    private final SkippedRows skipped;
    private final MinuteCounts minutes;
    private final Consumer<TraceRequest> out;

    RowReader(Layout layout, SkippedRows skipped, MinuteCounts minutes, Consumer<TraceRequest> out) {
        this.minutes = minutes;
        this.layout = layout;
        this.skipped = skipped;
        this.out = out;
    }

    /** Reads the row of a line; counts by minute are collected, every other row becomes a request immediately. */
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
        } catch (InvalidField invalid) {
            skipped.add(line, invalid.column, invalid.getMessage(), invalid.detail);
        }
    }

    private void plain(CSVRecord row, long line) {
        columns(row, 2, 6);
        long at = nanos(row, 0, "arrival_s", NANOS_PER_SECOND);
        out.accept(new TraceRequest(
                at,
                text(row, 1, "model"),
                row.size() > 2 && !row.get(2).isBlank() ? nanos(row, 2, "work_ms", NANOS_PER_MILLI) : 0,
                row.size() > 3 && !row.get(3).isBlank() ? number(row, 3, "memory_mb") : Double.NaN,
                row.size() > 4 ? row.get(4) : "",
                row.size() > 5 ? row.get(5) : "",
                line));
    }

    private void minutes(CSVRecord row, long line) {
        columns(row, COLUMNS_BEFORE_MINUTES + 1, COLUMNS_BEFORE_MINUTES + MINUTES_PER_DAY);
        int[] counts = new int[row.size() - COLUMNS_BEFORE_MINUTES];
        for (int i = 0; i < counts.length; i++) {
            String field = row.get(i + COLUMNS_BEFORE_MINUTES).trim();
            if (!field.matches("[0-9]{1,9}")) {
                throw new InvalidField(
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
        long end = nanos(row, 2, "end_timestamp", NANOS_PER_SECOND);
        long duration = nanos(row, 3, "duration", NANOS_PER_SECOND);
        out.accept(new TraceRequest(
                end - duration, text(row, 1, "func"), duration, Double.NaN, "", text(row, 0, "app"), line));
    }

    private void tokens(CSVRecord row, long line) {
        columns(row, 3, 3);
        long inputTokens = count(row, 1, "ContextTokens");
        long outputTokens = count(row, 2, "GeneratedTokens");
        // one model serves all requests; those of similar input length get a name of their own, to be placed apart
        long bucket = 64 - Long.numberOfLeadingZeros(Math.max(1, inputTokens));
        out.accept(new TraceRequest(
                instant(row, 0, "TIMESTAMP"),
                "llm-" + bucket,
                inputTokens * INPUT_TOKEN_NANOS + outputTokens * OUTPUT_TOKEN_NANOS,
                Double.NaN,
                "",
                "",
                line));
    }

    /** Only submissions are requests; other events of a task are not counted as left out. */
    private void task(CSVRecord row, long line) {
        columns(row, Layout.GOOGLE_2011_COLUMNS, Layout.GOOGLE_2011_COLUMNS);
        if (count(row, 5, "event type") != GOOGLE_SUBMISSION) {
            return;
        }
        long at = nanos(row, 0, "timestamp", NANOS_PER_MICRO);
        double cpu = row.get(9).isBlank() ? GOOGLE_DEFAULT_CPU_SHARE : number(row, 9, "CPU request");
        double memory = row.get(10).isBlank() ? Double.NaN : number(row, 10, "memory request") * GOOGLE_MACHINE_MB;
        out.accept(new TraceRequest(
                at, "job-" + text(row, 2, "job ID"), (long) (cpu * NANOS_PER_SECOND), memory, "", row.get(6), line));
    }

    private void batch(CSVRecord row, long line) {
        columns(row, Layout.ALIBABA_2018_COLUMNS, Layout.ALIBABA_2018_COLUMNS);
        long start = nanos(row, 5, "start_time", NANOS_PER_SECOND);
        long end = nanos(row, 6, "end_time", NANOS_PER_SECOND);
        if (start <= 0) {
            throw new InvalidField("start_time", "missing", "");
        }
        if (end < start) {
            throw new InvalidField("end_time", "before its start", "\"" + row.get(6) + "\"");
        }
        double memory = row.get(8).isBlank() ? Double.NaN : number(row, 8, "plan_mem") * ALIBABA_MB_PER_UNIT;
        out.accept(new TraceRequest(
                start,
                text(row, 2, "job_name") + "-" + text(row, 0, "task_name"),
                end - start,
                memory,
                "",
                row.get(3),
                line));
    }

    private static void columns(CSVRecord row, int min, int max) {
        if (row.size() < min || row.size() > max) {
            throw new InvalidField(
                    "",
                    "wrong number of columns",
                    row.size() + " where " + (min == max ? min : min + " to " + max) + " belong");
        }
    }

    private static String text(CSVRecord row, int at, String column) {
        String field = row.get(at).trim();
        if (field.isEmpty()) {
            throw new InvalidField(column, "missing", "");
        }
        return field;
    }

    private static double number(CSVRecord row, int at, String column) {
        String field = text(row, at, column);
        try {
            double number = Double.parseDouble(field);
            if (number >= 0 && number < NUMBER_LIMIT) {
                return number;
            }
        } catch (NumberFormatException none) {
            throw new InvalidField(column, "not a number", "\"" + field + "\"");
        }
        throw new InvalidField(column, "out of bounds", "\"" + field + "\"");
    }

    private static long count(CSVRecord row, int at, String column) {
        double number = number(row, at, column);
        if (number != Math.rint(number)) {
            throw new InvalidField(column, "not a whole number", "\"" + row.get(at) + "\"");
        }
        return (long) number;
    }

    private static long nanos(CSVRecord row, int at, String column, long unit) {
        double number = number(row, at, column);
        if (number * unit > NANOS_LIMIT) {
            throw new InvalidField(column, "out of bounds", "\"" + row.get(at) + "\"");
        }
        // converts the whole part separately: a double of nanoseconds loses the last digits after some months
        long whole = (long) number;
        return whole * unit + Math.round((number - whole) * unit);
    }

    private static long instant(CSVRecord row, int at, String column) {
        String field = text(row, at, column).replace(' ', 'T');
        try {
            OffsetDateTime time = field.matches(".*(Z|[+-][0-9]{2}:?[0-9]{2})$")
                    ? OffsetDateTime.parse(field)
                    : LocalDateTime.parse(field).atOffset(ZoneOffset.UTC);
            return Math.addExact(Math.multiplyExact(time.toEpochSecond(), NANOS_PER_SECOND), time.getNano());
        } catch (DateTimeParseException | ArithmeticException none) {
            throw new InvalidField(column, "not a date and time", "\"" + row.get(at) + "\"");
        }
    }

    /** Returns the names of all layouts, for messages. */
    static List<String> layoutNames() {
        return Arrays.stream(Layout.values()).map(Layout::word).toList();
    }
}
