package pearladder.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Collects what the invariant checks examined and the violations that they found. */
final class CheckFindings {
    private final List<InvariantChecker.Violation> violations = new ArrayList<>();
    private final Map<InvariantChecker.Invariant, Long> checkedCounts = new LinkedHashMap<>();

    CheckFindings() {
        for (InvariantChecker.Invariant rule : InvariantChecker.Invariant.values()) {
            checkedCounts.put(rule, 0L);
        }
    }

    /** Counts one thing to which a rule applies. */
    void recordChecked(InvariantChecker.Invariant rule) {
        checkedCounts.merge(rule, 1L, Long::sum);
    }

    /** Records a violation at a time of the observations' clock, in nanoseconds. */
    void recordViolation(InvariantChecker.Invariant rule, long at, String what) {
        violations.add(new InvariantChecker.Violation(rule, at, what));
    }

    /** All findings, the violations in the order of time. */
    InvariantChecker.Verdict verdict() {
        violations.sort(Comparator.comparingLong(InvariantChecker.Violation::at));
        return new InvariantChecker.Verdict(violations, checkedCounts);
    }
}
