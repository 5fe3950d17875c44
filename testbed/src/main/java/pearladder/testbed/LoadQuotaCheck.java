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
 * Checks the load quota: within a window, each router may request a fixed number of loads plus a share of the requests
 * that clients sent to it. The slack shortens the window of the loads and lengthens that of the requests.
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
     * @param slack tolerance in nanoseconds
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

    private void checkLoad(Observation loadRequest) {
        findings.recordChecked(Invariant.LOAD_QUOTA_KEPT);
        Deque<Long> loads = times(loadTimes, loadRequest.router());
        Deque<Long> requests = times(requestTimes, loadRequest.router());
        loads.add(loadRequest.at());
        while (loadRequest.at() - loads.peek() > settings.quotaWindow() - slack) {
            loads.poll();
        }
        while (!requests.isEmpty() && loadRequest.at() - requests.peek() > settings.quotaWindow() + slack) {
            requests.poll();
        }
        double quota = settings.quotaFree() + settings.quotaShare() * requests.size();
        if (loads.size() > quota) {
            findings.recordViolation(
                    Invariant.LOAD_QUOTA_KEPT,
                    loadRequest.at(),
                    loadRequest.router() + " gave " + loads.size()
                            + " orders to load within the window; its calls allow "
                            + String.format(Locale.ROOT, "%.1f", quota));
        }
    }

    private static Deque<Long> times(Map<String, Deque<Long>> byRouter, String router) {
        return byRouter.computeIfAbsent(router, key -> new ArrayDeque<>());
    }
}
