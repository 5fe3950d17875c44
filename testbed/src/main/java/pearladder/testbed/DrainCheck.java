package pearladder.testbed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pearladder.emulator.Observation;
import pearladder.testbed.InvariantChecker.Invariant;

/** Checks that, after a grace period, a router sends nothing new to a worker reported to it as draining or gone. */
final class DrainCheck {
    private static final String IN_SERVICE = "IN_SERVICE";
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final InvariantSettings settings;
    private final long slack;
    private final CheckFindings findings;
    /** The state of each worker last reported to each router, as observed when that state last changed. */
    private final Map<RouterAndWorker, Observation> states = new HashMap<>();

    /**
     * Creates a check.
     *
     * @param slack tolerance in nanoseconds
     */
    DrainCheck(InvariantSettings settings, long slack, CheckFindings findings) {
        this.settings = settings;
        this.slack = slack;
        this.findings = findings;
    }

    void check(List<Observation> inOrder) {
        for (Observation seen : inOrder) {
            switch (seen.event()) {
                case Observation.ENDPOINT_SENT -> recordReportedState(seen);
                case Observation.KILLED -> states.keySet()
                        .removeIf(pair -> pair.router().equals(seen.router()));
                case Observation.ARRIVED -> checkSent(seen, "call " + seen.requestId());
                case Observation.LOAD_REQUESTED -> {
                    if (seen.value() > 0) {
                        checkSent(seen, "an order");
                    }
                }
                default -> {}
            }
        }
    }

    private void recordReportedState(Observation seen) {
        RouterAndWorker pair = RouterAndWorker.of(seen);
        Observation before = states.get(pair);
        if (before == null || !before.note().equals(seen.note())) {
            states.put(pair, seen);
        }
    }

    private void checkSent(Observation seen, String sentItem) {
        findings.recordChecked(Invariant.DRAIN_RESPECTED);
        Observation lastState = states.get(RouterAndWorker.of(seen));
        if (lastState == null
                || lastState.note().equals(IN_SERVICE)
                || seen.at() <= lastState.at() + settings.drainGrace() + slack) {
            return;
        }
        findings.recordViolation(
                Invariant.DRAIN_RESPECTED,
                seen.at(),
                seen.router() + " sent " + sentItem + " to " + seen.worker() + " "
                        + (seen.at() - lastState.at()) / NANOS_PER_MILLI + " ms after it was told " + lastState.note());
    }
}
