package pearladder.traces;

import java.util.List;
import java.util.Locale;

/** The supported published layouts, and the plain layout of this project. */
public enum Layout {
    /** This project's own layout: arrival_s,model,work_ms,memory_mb,category,account; the last four may be empty. */
    PLAIN(List.of("arrival_s", "model", "work_ms", "memory_mb", "category", "account"), true),
    /** Azure Functions 2019, invocations per function and minute: four columns, then the minutes 1 to 1440. */
    AZURE_FUNCTIONS_2019(List.of("HashOwner", "HashApp", "HashFunction", "Trigger", "1", "2", "3"), true),
    /** Azure Functions 2021, one row for each invocation, in order of their ends; seconds. */
    AZURE_FUNCTIONS_2021(List.of("app", "func", "end_timestamp", "duration"), true),
    /** Azure LLM inference 2023 and 2024. */
    AZURE_LLM(List.of("TIMESTAMP", "ContextTokens", "GeneratedTokens"), true),
    /** Google cluster data 2011, task events; no header, 13 columns, microseconds. */
    GOOGLE_2011(List.of(), false),
    /** Alibaba cluster trace 2018, batch_task; no header, 9 columns, seconds. */
    ALIBABA_2018(List.of(), false);

    static final int GOOGLE_2011_COLUMNS = 13;
    static final int ALIBABA_2018_COLUMNS = 9;

    private final List<String> header;
    private final boolean hasHeader;

    Layout(List<String> header, boolean hasHeader) {
        this.header = header;
        this.hasHeader = hasHeader;
    }

    /** Returns whether the published files begin with a line of column names. */
    public boolean hasHeader() {
        return hasHeader;
    }

    /** Returns the columns that a header must begin with. */
    public List<String> header() {
        return header;
    }

    /** Returns its name on the command line. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the layout with this command-line name, or null. */
    public static Layout of(String word) {
        for (Layout layout : values()) {
            if (layout.word().equals(word)) {
                return layout;
            }
        }
        return null;
    }

    /** Returns the layout detected from the first line (by header, else by number and type of columns), or null. */
    static Layout guess(List<String> first) {
        for (Layout layout : values()) {
            if (layout.hasHeader
                    && first.size() >= layout.header.size()
                    && first.subList(0, layout.header.size()).equals(layout.header)) {
                return layout;
            }
        }
        if (first.size() == GOOGLE_2011_COLUMNS && first.get(0).matches("[0-9]+")) {
            return GOOGLE_2011;
        }
        return first.size() == ALIBABA_2018_COLUMNS
                        && first.get(1).matches("[0-9.]*")
                        && first.get(5).matches("[0-9]*")
                ? ALIBABA_2018
                : null;
    }
}
