package pearladder.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import pearladder.emulator.Observation;

/**
 * Checks the five invariants of a scenario, using only observations made outside the routers: at the workers, at the
 * endpoint registry and at the clients. The checks grant a stated slack for sockets and for pauses of this machine; a
 * router is exempt for the time during which it was killed or paused.
 */
public final class InvariantChecker {
    /** The invariants, in the order of docs/days.md. */
    public enum Invariant {
        /** Each request has one final answer, in time. */
        ONE_ANSWER("one timely final answer for each call taken"),
        /** No request and no idempotency key takes effect twice. */
        NO_EFFECT_TWICE("no effect twice"),
        /** Nothing new is sent to a worker that drains or is gone. */
        DRAIN_RESPECTED("drains kept"),
        /** A worker that has just started is not overloaded. */
        COLD_WORKER_NOT_OVERLOADED("cold workers not pushed over"),
        /** Each router keeps to its load quota. */
        LOAD_QUOTA_KEPT("load orders rationed");

        private final String label;

        Invariant(String label) {
            this.label = label;
        }

        /** Returns the name of the invariant in tables and results. */
        public String description() {
            return label;
        }
    }

    /** Maximum number of violations listed individually in a table; further ones are only counted. */
    private static final int MAX_LISTED_VIOLATIONS = 20;

    /**
     * One violation.
     *
     * @param at time on the observations' clock, in nanoseconds
     * @param description the observed violation
     */
    public record Violation(Invariant rule, long at, String description) {}

    /**
     * The result of a check.
     *
     * @param violations in the order of time
     * @param checkedCounts the number of items that each rule examined; distinguishes a check without any items from a
     *     check without violations
     */
    public record Verdict(List<Violation> violations, Map<Invariant, Long> checkedCounts) {
        /**
         * Returns a line for each rule, followed by the first violations.
         *
         * @param startedAt start of the scenario on the observations' clock, in nanoseconds
         */
        public List<String> lines(long startedAt, InvariantSettings rules) {
            List<String> lines = new ArrayList<>();
            for (Invariant rule : Invariant.values()) {
                boolean noQuota = rule == Invariant.LOAD_QUOTA_KEPT && rules.quotaWindow() == 0;
                lines.add(String.format(
                        Locale.ROOT, "%-46s %s", rule.description(), noQuota ? "no ration is set" : result(rule)));
            }
            for (Violation violation : violations.subList(0, Math.min(MAX_LISTED_VIOLATIONS, violations.size()))) {
                lines.add(String.format(
                        Locale.ROOT, "  at %.3f s: %s", (violation.at() - startedAt) / 1e9, violation.description()));
            }
            return lines;
        }

        private String result(Invariant rule) {
            long broken = violationCount(rule);
            return (broken == 0 ? "kept" : "BROKEN " + broken + " times") + ", " + checkedCounts.get(rule)
                    + " looked at";
        }

        /** Returns the number of violations of a rule. */
        long violationCount(Invariant rule) {
            return violations.stream()
                    .filter(violation -> violation.rule() == rule)
                    .count();
        }
    }

    private final InvariantSettings rules;
    private final long slack;
    private final Map<String, String> workerLocations;

    /**
     * Creates a checker.
     *
     * @param slack tolerance for sockets and pauses, in nanoseconds
     * @param workerLocations zone and cell of each worker, "zone/cell"
     */
    public InvariantChecker(InvariantSettings rules, long slack, Map<String, String> workerLocations) {
        this.rules = rules;
        this.slack = slack;
        this.workerLocations = workerLocations;
    }

    /** Checks a whole run; the observations may come in any order. */
    public Verdict check(List<Observation> observations) {
        List<Observation> inOrder = new ArrayList<>(observations);
        inOrder.sort(Comparator.comparingLong(Observation::at));
        removeAttemptsReadLate(inOrder);
        Map<String, ObservedRequest> requests = ObservedRequest.of(inOrder);
        CheckFindings findings = new CheckFindings();
        new FinalAnswerCheck(rules, slack, findings).check(inOrder, requests.values());
        new SingleEffectCheck(rules, slack, workerLocations, findings).check(inOrder, requests);
        new DrainCheck(rules, slack, findings).check(inOrder);
        new ColdStartCheck(rules, slack, findings).check(inOrder);
        new LoadQuotaCheck(rules, slack, findings).check(inOrder, requests);
        return findings.verdict();
    }

    /**
     * Removes attempts that a worker read right after a pause. No router can cancel such an attempt any more, so the
     * worker alone is responsible for its effect; a worker that paused for longer than it retains idempotency keys has
     * itself violated its deduplication guarantee.
     */
    private void removeAttemptsReadLate(List<Observation> inOrder) {
        Map<String, TreeSet<Long>> pauseEnds = new HashMap<>();
        for (Observation seen : inOrder) {
            if (seen.event().equals(Observation.PROCESS_PAUSED)
                    && !seen.worker().isEmpty()) {
                pauseEnds
                        .computeIfAbsent(seen.worker(), worker -> new TreeSet<>())
                        .add(seen.at() + (long) seen.value());
            }
        }
        Set<AttemptAtWorker> readLate = new HashSet<>();
        for (Observation seen : inOrder) {
            TreeSet<Long> ends = pauseEnds.get(seen.worker());
            Long end = ends == null ? null : ends.floor(seen.at());
            boolean isAttempt =
                    seen.event().equals(Observation.ARRIVED) || seen.event().equals(Observation.RAN);
            if (isAttempt && end != null && seen.at() - end <= slack) {
                readLate.add(AttemptAtWorker.of(seen));
            }
        }
        if (!readLate.isEmpty()) {
            inOrder.removeIf(seen -> !seen.worker().isEmpty() && readLate.contains(AttemptAtWorker.of(seen)));
        }
    }

    private record AttemptAtWorker(String request, int attempt, String worker) {
        static AttemptAtWorker of(Observation seen) {
            return new AttemptAtWorker(seen.requestId(), seen.attempt(), seen.worker());
        }
    }
}
