package pearladder.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import pearladder.emulator.Timeline;

/** What the routers would write to their logs, kept for the results: what operators would see, and when. */
final class RouterLogs {
    private static final int MAX_LINES = 400;

    private final Timeline time;
    private final List<String> lines = new ArrayList<>();
    private long origin;

    RouterLogs(Timeline time) {
        this.time = time;
    }

    /** Times count from here on; before the scenario starts they count from the virtual clock's zero. */
    void setOrigin(long nanos) {
        origin = nanos;
    }

    /** Adds a line with its time; beyond the limit it is dropped. */
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
