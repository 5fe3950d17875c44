package pearladder.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import pearladder.emulator.Timeline;

/** Collects the operator log lines of all routers, with their times, for the results. */
final class RouterLogs {
    private static final int MAX_LINES = 400;

    private final Timeline time;
    private final List<String> lines = new ArrayList<>();
    private long origin;

    RouterLogs(Timeline time) {
        this.time = time;
    }

    /** Sets the origin of the reported times; until it is set they are relative to the virtual clock's zero. */
    void setOrigin(long nanos) {
        origin = nanos;
    }

    /** Adds a line with its time, or drops it if the line limit is reached. */
    void add(String router, String text) {
        if (lines.size() < MAX_LINES) {
            double seconds = (time.now() - origin) / 1e9;
            lines.add(String.format(Locale.ROOT, "%.1f s, %s: %s", seconds, router, text));
        }
    }

    List<String> lines() {
        return lines;
    }
}
