package pearladder.kserve;

import java.util.Locale;

/**
 * A worker's load report, sent with its responses: "held=3;waiting=1;busy=0.50;loads=1;pinned=0.25". A field that is
 * missing or not a number is read as NaN, because an invalid report must not make a request fail.
 *
 * @param requestsInFlight number of requests in flight
 * @param queuedRequests number of queued requests
 * @param coreUtilization share of the cores in use, 0 to 1
 * @param pendingLoads number of loads in progress or queued
 * @param pinnedMemoryShare share of the memory that can't be freed, 0 to 1
 */
public record LoadReport(
        double requestsInFlight,
        double queuedRequests,
        double coreUtilization,
        double pendingLoads,
        double pinnedMemoryShare) {
    private static final double MAX_VALUE = 1e9;

    /** Parses a header's value; returns null if it is null or blank. */
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
                    // a field of a later version
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

    /** Returns the header's value, without the fields that are NaN. */
    public String text() {
        StringBuilder text = new StringBuilder();
        append(text, "held", requestsInFlight);
        append(text, "waiting", queuedRequests);
        append(text, "busy", coreUtilization);
        append(text, "loads", pendingLoads);
        append(text, "pinned", pinnedMemoryShare);
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
