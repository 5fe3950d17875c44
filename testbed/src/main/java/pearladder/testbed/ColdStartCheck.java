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
 * Checks that routers do not overload a worker that they know has just started: where one fell over, less than two
 * thirds of the attempts that reached it shortly before may come from routers that had been informed of its start.
 */
final class ColdStartCheck {
    private final InvariantSettings settings;
    private final long slack;
    private final CheckFindings findings;
    private final Map<RouterAndWorker, Long> startsTold = new HashMap<>();
    private final Map<String, Deque<Observation>> recentArrivals = new HashMap<>();

    /**
     * Creates a check.
     *
     * @param slack in nanoseconds
     */
    ColdStartCheck(InvariantSettings settings, long slack, CheckFindings findings) {
        this.settings = settings;
        this.slack = slack;
        this.findings = findings;
    }

    void check(List<Observation> inOrder) {
        for (Observation seen : inOrder) {
            switch (seen.event()) {
                case Observation.ENDPOINT_SENT -> {
                    if (seen.value() > 0) {
                        startsTold.put(RouterAndWorker.of(seen), seen.at());
                    }
                }
                case Observation.ARRIVED -> arrived(seen);
                case Observation.CRASHED_FROM_OVERLOAD -> checkOverload(seen);
                default -> {}
            }
        }
    }

    private void arrived(Observation seen) {
        findings.recordChecked(Invariant.COLD_WORKER_NOT_OVERLOADED);
        Deque<Observation> recent = recentArrivals.computeIfAbsent(seen.worker(), worker -> new ArrayDeque<>());
        recent.add(seen);
        while (seen.at() - recent.peek().at() > settings.overloadWindow()) {
            recent.poll();
        }
    }

    private void checkOverload(Observation fell) {
        Deque<Observation> recent = recentArrivals.getOrDefault(fell.worker(), new ArrayDeque<>());
        long informed = recent.stream().filter(this::senderKnewOfStart).count();
        if (informed * 3 < recent.size() * 2L) {
            return;
        }
        findings.recordViolation(
                Invariant.COLD_WORKER_NOT_OVERLOADED,
                fell.at(),
                fell.worker() + " fell over at " + String.format(Locale.ROOT, "%.1f", fell.value())
                        + " times what it bears; " + informed + " of " + recent.size()
                        + " calls came from routers that knew it was cold");
    }

    private boolean senderKnewOfStart(Observation arrival) {
        Long toldAt = startsTold.get(RouterAndWorker.of(arrival));
        return toldAt != null && toldAt + slack <= arrival.at() && arrival.at() - toldAt <= settings.warmUpTime();
    }
}
