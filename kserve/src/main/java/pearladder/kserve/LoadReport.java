package pearladder.kserve;

import java.util.Locale;

/**
 * An engine's own report, as told with its answers: "held=3;waiting=1;busy=0.50;loads=1;pinned=0.25". Any part may be
 * missing and then reads as NaN; a part that is no number also does, since a report is advice and costs no call.
 *
 * @param held calls in hand
 * @param waiting calls in its queue
 * @param busy share of its cores in use, 0 to 1
 * @param loads loads under way or waiting
 * @param pinned share of its memory that can't be freed, 0 to 1
 */
public record LoadReport(double held, double waiting, double busy, double loads, double pinned) {
    /** Reads a header's value; null where there is none. */
    public static LoadReport parse(String text) {
        if (text == null || text.isBlank()) {
            return null;
        }
        double[] values = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
        for (String part : text.split(";")) {
            int equals = part.indexOf('=');
            if (equals < 0) {
                continue;
            }
            int at =
                    switch (part.substring(0, equals).trim()) {
                        case "held" -> 0;
                        case "waiting" -> 1;
                        case "busy" -> 2;
                        case "loads" -> 3;
                        case "pinned" -> 4;
                        default -> -1;
                    };
            if (at >= 0) {
                values[at] = number(part.substring(equals + 1).trim());
            }
        }
        return new LoadReport(values[0], values[1], values[2], values[3], values[4]);
    }

    private static double number(String text) {
        try {
            double value = Double.parseDouble(text);
            return value >= 0 && value < 1e9 ? value : Double.NaN;
        } catch (NumberFormatException none) {
            return Double.NaN;
        }
    }

    /** The header's value; parts that are NaN are left out. */
    public String text() {
        StringBuilder text = new StringBuilder();
        part(text, "held", held);
        part(text, "waiting", waiting);
        part(text, "busy", busy);
        part(text, "loads", loads);
        part(text, "pinned", pinned);
        return text.toString();
    }

    private static void part(StringBuilder text, String name, double value) {
        if (!Double.isNaN(value)) {
            text.append(text.isEmpty() ? "" : ";")
                    .append(name)
                    .append('=')
                    .append(String.format(Locale.ROOT, "%.3f", value));
        }
    }
}
