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
 * Checks the five invariants of a scenario from what was observed outside the routers and nothing else: at the
 * workers, at the endpoint registry and at the clients. A slack for sockets and for pauses of this machine is granted
 * and stated; a router that was killed or paused owes nothing for that time.
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

        private final String words;

        Invariant(String words) {
            this.words = words;
        }

        /** The invariant as tables and results name it. */
        public String description() {
            return words;
        }
    }

    /** Violations listed one by one in a table; the others are only counted. */
    private static final int VIOLATIONS_LISTED = 20;

    /**
     * One violation.
     *
     * @param at nanoseconds of the observations' clock
     * @param description of what happened
     */
    public record Violation(Invariant rule, long at, String description) {}

    /**
     * The result of a check.
     *
     * @param violations in the order of time
     * @param checkedCounts how many items each rule examined, so that a check that saw nothing can't pass for one that
     *     found nothing
     */
    public record Verdict(List<Violation> violations, Map<Invariant, Long> checkedCounts) {
        /**
         * A line for each rule, and the first violations.
         *
         * @param startedAt start of the scenario on the observations' clock, in nanoseconds
         */
        public List<String> lines(long startedAt, InvariantSettings rules) {
            List<String> lines = new ArrayList<>();
            for (Invariant rule : Invariant.values()) {
                boolean unset = rule == Invariant.LOAD_QUOTA_KEPT && rules.quotaWindow() == 0;
                lines.add(String.format(
                        Locale.ROOT, "%-46s %s", rule.description(), unset ? "no ration is set" : result(rule)));
            }
            for (Violation violation : violations.subList(0, Math.min(VIOLATIONS_LISTED, violations.size()))) {
                lines.add(String.format(
                        Locale.ROOT, "  at %.3f s: %s", (violation.at() - startedAt) / 1e9, violation.description()));
            }
            return lines;
        }

        private String result(Invariant rule) {
            long broken = broken(rule);
            return (broken == 0 ? "kept" : "BROKEN " + broken + " times") + ", " + checkedCounts.get(rule)
                    + " looked at";
        }

        /** How many violations of a rule were found. */
        long broken(Invariant rule) {
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
     * @param slack nanoseconds granted for sockets and pauses
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
     * Removes attempts that a worker read right after a pause. What it makes of them is its own, and no router can
     * take them back; if it paused for longer than it remembers idempotency keys, it broke its own promise.
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
            boolean read =
                    seen.event().equals(Observation.ARRIVED) || seen.event().equals(Observation.RAN);
            if (read && end != null && seen.at() - end <= slack) {
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
