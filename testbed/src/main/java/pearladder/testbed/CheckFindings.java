package pearladder.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Collects the number of items that the invariant checks examined, and the violations that they found. */
final class CheckFindings {
    private final List<InvariantChecker.Violation> violations = new ArrayList<>();
    private final Map<InvariantChecker.Invariant, Long> checkedCounts = new LinkedHashMap<>();

    CheckFindings() {
        for (InvariantChecker.Invariant rule : InvariantChecker.Invariant.values()) {
            checkedCounts.put(rule, 0L);
        }
    }

    /** Counts one item to which a rule applies. */
    void recordChecked(InvariantChecker.Invariant rule) {
        checkedCounts.merge(rule, 1L, Long::sum);
    }

    /** Records a violation; its time is on the observations' clock, in nanoseconds. */
    void recordViolation(InvariantChecker.Invariant rule, long at, String description) {
        violations.add(new InvariantChecker.Violation(rule, at, description));
    }

    /** Returns all findings, with the violations in chronological order. */
    InvariantChecker.Verdict verdict() {
        violations.sort(Comparator.comparingLong(InvariantChecker.Violation::at));
        return new InvariantChecker.Verdict(violations, checkedCounts);
    }
}
