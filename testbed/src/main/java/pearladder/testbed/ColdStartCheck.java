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
 * Checks that routers do not overload a worker that they know has just started: if a worker crashed from overload, less
 * than two thirds of the attempts that reached it shortly before may come from routers that knew of its start.
 */
final class ColdStartCheck {
    private final InvariantSettings settings;
    private final long slack;
    private final CheckFindings findings;
    private final Map<RouterAndWorker, Long> startNotifiedAt = new HashMap<>();
    private final Map<String, Deque<Observation>> recentArrivals = new HashMap<>();

    /**
     * Creates a check.
     *
     * @param slack tolerance in nanoseconds
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
                        startNotifiedAt.put(RouterAndWorker.of(seen), seen.at());
                    }
                }
                case Observation.ARRIVED -> recordArrival(seen);
                case Observation.CRASHED_FROM_OVERLOAD -> checkOverload(seen);
                default -> {}
            }
        }
    }

    private void recordArrival(Observation seen) {
        findings.recordChecked(Invariant.COLD_WORKER_NOT_OVERLOADED);
        Deque<Observation> recent = recentArrivals.computeIfAbsent(seen.worker(), worker -> new ArrayDeque<>());
        recent.add(seen);
        while (seen.at() - recent.peek().at() > settings.overloadWindow()) {
            recent.poll();
        }
    }

    private void checkOverload(Observation crash) {
        Deque<Observation> recent = recentArrivals.getOrDefault(crash.worker(), new ArrayDeque<>());
        long informed = recent.stream().filter(this::senderKnewOfStart).count();
        if (informed * 3 < recent.size() * 2L) {
            return;
        }
        findings.recordViolation(
                Invariant.COLD_WORKER_NOT_OVERLOADED,
                crash.at(),
                crash.worker() + " fell over at " + String.format(Locale.ROOT, "%.1f", crash.value())
                        + " times what it bears; " + informed + " of " + recent.size()
                        + " calls came from routers that knew it was cold");
    }

    private boolean senderKnewOfStart(Observation arrival) {
        Long notifiedAt = startNotifiedAt.get(RouterAndWorker.of(arrival));
        return notifiedAt != null
                && notifiedAt + slack <= arrival.at()
                && arrival.at() - notifiedAt <= settings.warmUpTime();
    }
}
