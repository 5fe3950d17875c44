package pearladder.cli.soak;

import java.util.ArrayList;
import java.util.List;

/** The platform's rules on starts, judged from what a front sees: no crash, and ready in time. */
final class RouterStarts {
    /** No router may take longer to be ready. */
    private static final long MAX_READY_MILLIS = 30_000;
    /** Nine in ten restarted routers are ready within it. */
    private static final long USUAL_READY_MILLIS = 10_000;

    private static final int LATE_STARTS_DIVISOR = 10;

    private final List<String> breaks = new ArrayList<>();
    private final List<Long> readyMillis = new ArrayList<>();

    /** @param lateMillis how late the judge itself ran meanwhile */
    synchronized void onReady(String router, long millis, long lateMillis) {
        long counted = millis - lateMillis;
        readyMillis.add(counted);
        if (counted > MAX_READY_MILLIS) {
            breaks.add(router + " was ready after " + counted + " ms");
        }
    }

    /** A router that nobody had told to stop or killed has ended, or does not answer whether it is ready. */
    synchronized void onCrash(String router, String how) {
        breaks.add(router + " " + how);
    }

    synchronized long longestMillis() {
        return readyMillis.stream().mapToLong(millis -> millis).max().orElse(0);
    }

    /** @return a line for each break of a rule */
    synchronized List<String> check() {
        List<String> all = new ArrayList<>(breaks);
        long late = readyMillis.stream()
                .filter(millis -> millis > USUAL_READY_MILLIS)
                .count();
        if (late * LATE_STARTS_DIVISOR > readyMillis.size()) {
            all.add(late + " of " + readyMillis.size() + " starts took longer than " + USUAL_READY_MILLIS + " ms");
        }
        return all;
    }
}
