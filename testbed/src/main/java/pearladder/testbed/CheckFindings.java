package pearladder.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Collects what the invariant checks looked at and the breaches that they found. */
final class CheckFindings {
    private final List<InvariantChecker.Violation> breaches = new ArrayList<>();
    private final Map<InvariantChecker.Invariant, Long> looked = new LinkedHashMap<>();

    CheckFindings() {
        for (InvariantChecker.Invariant rule : InvariantChecker.Invariant.values()) {
            looked.put(rule, 0L);
        }
    }

    /** Counts one thing to which a rule applies. */
    void looked(InvariantChecker.Invariant rule) {
        looked.merge(rule, 1L, Long::sum);
    }

    /** Records a breach at a moment of the observations' clock, in nanoseconds. */
    void breach(InvariantChecker.Invariant rule, long at, String what) {
        breaches.add(new InvariantChecker.Violation(rule, at, what));
    }

    /** All findings, the breaches in the order of time. */
    InvariantChecker.Verdict verdict() {
        breaches.sort(Comparator.comparingLong(InvariantChecker.Violation::at));
        return new InvariantChecker.Verdict(breaches, looked);
    }
}
