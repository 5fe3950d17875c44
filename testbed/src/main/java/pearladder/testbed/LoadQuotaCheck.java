package pearladder.testbed;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import pearladder.emulator.Observation;
import pearladder.testbed.InvariantChecker.Invariant;

/**
 * Checks that each router requests no more loads within a window than a free number and a share of the requests that
 * clients sent to it. The slack narrows the window of the loads and widens that of the requests.
 */
final class LoadQuotaCheck {
    private final InvariantSettings settings;
    private final long slack;
    private final CheckFindings findings;
    private final Map<String, Deque<Long>> loadTimes = new HashMap<>();
    private final Map<String, Deque<Long>> requestTimes = new HashMap<>();

    /**
     * Creates a check.
     *
     * @param slack in nanoseconds
     */
    LoadQuotaCheck(InvariantSettings settings, long slack, CheckFindings findings) {
        this.settings = settings;
        this.slack = slack;
        this.findings = findings;
    }

    void check(List<Observation> inOrder, Map<String, ObservedRequest> requests) {
        if (settings.quotaWindow() <= 0) {
            return;
        }
        for (Observation seen : inOrder) {
            switch (seen.event()) {
                case Observation.KILLED -> {
                    loadTimes.remove(seen.router());
                    requestTimes.remove(seen.router());
                }
                case Observation.SENT -> {
                    if (!requests.get(seen.requestId()).endedUnanswered(ObservedRequest.UNREACHABLE)) {
                        times(requestTimes, seen.router()).add(seen.at());
                    }
                }
                case Observation.LOAD_REQUESTED -> {
                    if (seen.value() > 0) {
                        checkLoad(seen);
                    }
                }
                default -> {}
            }
        }
    }

    private void checkLoad(Observation ordered) {
        findings.recordChecked(Invariant.LOAD_QUOTA_KEPT);
        Deque<Long> loads = times(loadTimes, ordered.router());
        Deque<Long> requests = times(requestTimes, ordered.router());
        loads.add(ordered.at());
        while (ordered.at() - loads.peek() > settings.quotaWindow() - slack) {
            loads.poll();
        }
        while (!requests.isEmpty() && ordered.at() - requests.peek() > settings.quotaWindow() + slack) {
            requests.poll();
        }
        double quota = settings.quotaFree() + settings.quotaShare() * requests.size();
        if (loads.size() > quota) {
            findings.recordViolation(
                    Invariant.LOAD_QUOTA_KEPT,
                    ordered.at(),
                    ordered.router() + " gave " + loads.size()
                            + " orders to load within the window; its calls allow "
                            + String.format(Locale.ROOT, "%.1f", quota));
        }
    }

    private static Deque<Long> times(Map<String, Deque<Long>> byRouter, String router) {
        return byRouter.computeIfAbsent(router, key -> new ArrayDeque<>());
    }
}
