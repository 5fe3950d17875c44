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

    /** Thrown at the first such row where the caller asked to be strict. */
    public static final class StrictModeException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        StrictModeException(Row row) {
            super(row.toString());
        }
    }

    private final boolean strict;
    private final Consumer<Row> named;
    private final Map<String, Long> reasons = new TreeMap<>();
    private long count;

    /**
     * Creates an empty count.
     *
     * @param strict throws {@link StrictModeException} at the first row instead
     * @param named is given every row as it is met
     */
    public SkippedRows(boolean strict, Consumer<Row> named) {
        this.strict = strict;
        this.named = named;
    }

    /**
     * Reports and counts a row.
     *
     * @param line of the file
     * @param column empty where no single one is wrong
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
        named.accept(row);
    }

    /** How many rows were left out. */
    public long count() {
        return count;
    }

    /** How many rows for each column and reason. */
    public Map<String, Long> reasons() {
        return Map.copyOf(reasons);
    }
}
