package pearladder.traces;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Rows of a trace that were left out: each is reported to a listener, and counted by reason. */
public final class SkippedRows {
    /** One row that was left out. */
    public record Row(long line, String column, String reason) {
        @Override
        public String toString() {
            return "line " + line + (column.isEmpty() ? "" : ", " + column) + ": " + reason;
        }
    }

    /** Thrown at the first row that would be left out, in strict mode. */
    public static final class StrictModeException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        StrictModeException(Row row) {
            super(row.toString());
        }
    }

    private final boolean strict;
    private final Consumer<Row> listener;
    private final Map<String, Long> reasons = new TreeMap<>();
    private long count;

    /**
     * Creates an empty count.
     *
     * @param strict throws {@link StrictModeException} at the first row instead
     * @param listener called with every row as it is left out
     */
    public SkippedRows(boolean strict, Consumer<Row> listener) {
        this.strict = strict;
        this.listener = listener;
    }

    /**
     * Reports and counts a row.
     *
     * @param line line number in the file
     * @param column column name; empty if no single column is wrong
     * @param kind the reason under which it is counted
     * @param detail of this row; may be empty
     */
    void add(long line, String column, String kind, String detail) {
        Row row = new Row(line, column, detail.isEmpty() ? kind : kind + " " + detail);
        if (strict) {
            throw new StrictModeException(row);
        }
        count++;
        reasons.merge((column.isEmpty() ? "" : column + ": ") + kind, 1L, Long::sum);
        listener.accept(row);
    }

    /** Returns the number of rows that were left out. */
    public long count() {
        return count;
    }

    /** Returns the number of rows left out, by column and reason. */
    public Map<String, Long> reasons() {
        return Map.copyOf(reasons);
    }
}
