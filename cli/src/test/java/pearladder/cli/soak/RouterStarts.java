package pearladder.cli.soak;

import java.util.ArrayList;
import java.util.List;

/** Checks router starts as observed through health checks: no crash, and ready within the time limits. */
final class RouterStarts {
    /** Maximum time for any router to become ready. */
    private static final long MAX_READY_MILLIS = 30_000;
    /** Time within which nine in ten restarted routers must become ready. */
    private static final long USUAL_READY_MILLIS = 10_000;

    private static final int SLOW_STARTS_DIVISOR = 10;

    private final List<String> violations = new ArrayList<>();
    private final List<Long> readyMillis = new ArrayList<>();

    /** @param testDelayMillis scheduling delay of the test process during the start */
    synchronized void onReady(String router, long millis, long testDelayMillis) {
        long adjustedMillis = millis - testDelayMillis;
        readyMillis.add(adjustedMillis);
        if (adjustedMillis > MAX_READY_MILLIS) {
            violations.add(router + " was ready after " + adjustedMillis + " ms");
        }
    }

    /** Records a router that ended without being stopped or killed, or that does not become ready. */
    synchronized void onCrash(String router, String description) {
        violations.add(router + " " + description);
    }

    synchronized long longestMillis() {
        return readyMillis.stream().mapToLong(millis -> millis).max().orElse(0);
    }

    /** @return a line for each violation */
    synchronized List<String> check() {
        List<String> allViolations = new ArrayList<>(violations);
        long slowStarts = readyMillis.stream()
                .filter(millis -> millis > USUAL_READY_MILLIS)
                .count();
        if (slowStarts * SLOW_STARTS_DIVISOR > readyMillis.size()) {
            allViolations.add(slowStarts + " of " + readyMillis.size() + " starts took longer than "
                    + USUAL_READY_MILLIS + " ms");
        }
        return allViolations;
    }
}
