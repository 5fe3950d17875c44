package pearladder.kserve;

import java.util.Locale;

/**
 * A worker's report of its load, sent with its responses: "held=3;waiting=1;busy=0.50;loads=1;pinned=0.25". A part
 * that is missing or no number reads as NaN, since a report is advice and must not make a request fail.
 *
 * @param held requests in flight
 * @param waiting requests in its queue
 * @param busy share of its cores in use, 0 to 1
 * @param loads loads under way or waiting
 * @param pinned share of its memory that can't be freed, 0 to 1
 */
public record LoadReport(double held, double waiting, double busy, double loads, double pinned) {
    private static final double MAX_VALUE = 1e9;

    /** Parses a header's value; null where there is none. */
    public static LoadReport parse(String text) {
        if (text == null || text.isBlank()) {
            return null;
        }
        double held = Double.NaN;
        double waiting = Double.NaN;
        double busy = Double.NaN;
        double loads = Double.NaN;
        double pinned = Double.NaN;
        for (String part : text.split(";")) {
            int equals = part.indexOf('=');
            if (equals < 0) {
                continue;
            }
            String name = part.substring(0, equals).trim();
            double value = parseNumber(part.substring(equals + 1).trim());
            switch (name) {
                case "held" -> held = value;
                case "waiting" -> waiting = value;
                case "busy" -> busy = value;
                case "loads" -> loads = value;
                case "pinned" -> pinned = value;
                default -> {
                    // a part of a later version
                }
            }
        }
        return new LoadReport(held, waiting, busy, loads, pinned);
    }

    private static double parseNumber(String text) {
        try {
            double value = Double.parseDouble(text);
            return value >= 0 && value < MAX_VALUE ? value : Double.NaN;
        } catch (NumberFormatException malformed) {
            return Double.NaN;
        }
    }

    /** The header's value; parts that are NaN are left out. */
    public String text() {
        StringBuilder text = new StringBuilder();
        append(text, "held", held);
        append(text, "waiting", waiting);
        append(text, "busy", busy);
        append(text, "loads", loads);
        append(text, "pinned", pinned);
        return text.toString();
    }

    private static void append(StringBuilder text, String name, double value) {
        if (!Double.isNaN(value)) {
            text.append(text.isEmpty() ? "" : ";")
                    .append(name)
                    .append('=')
                    .append(String.format(Locale.ROOT, "%.3f", value));
        }
    }
}
