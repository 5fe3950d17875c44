package pearladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import pearladder.emulator.Observation;
import pearladder.testbed.InvariantChecker.Invariant;
import pearladder.testbed.RequestClassTerms.DeduplicationScope;
import pearladder.testbed.RequestClassTerms.Idempotency;

/** A run that keeps the invariants passes, and each way of breaking one is found and described. */
class InvariantCheckerTest {
    private static final long MS = 1_000_000;
    private static final Map<String, String> LOCATIONS = Map.of("e1", "east/1", "e2", "east/2", "e3", "west/10001");

    private final List<Observation> observations = new ArrayList<>();

    private static RequestClassTerms terms(String name, Idempotency effect, DeduplicationScope group) {
        return new RequestClassTerms(name, effect, group, 1000 * MS, 3000 * MS, 8000 * MS, 1, 0);
    }

    private static InvariantSettings settings(double free, double share) {
        return new InvariantSettings(
                Map.of(
                        "draft",
                        terms("draft", Idempotency.RETRIABLE, DeduplicationScope.ALL),
                        "post",
                        terms("post", Idempotency.BINDING, DeduplicationScope.ALL),
                        "commit",
                        terms("commit", Idempotency.FINGERPRINTED, DeduplicationScope.ALL),
                        "note",
                        terms("note", Idempotency.FINGERPRINTED, DeduplicationScope.ZONE)),
                15 * MS,
                1000 * MS,
                15_000 * MS,
                1500 * MS,
                free,
                share,
                free + share > 0 ? 10_000 * MS : 0);
    }

    private void add(long ms, String what, String requestId, int attempt, String worker, String note, double figure) {
        observations.add(new Observation(ms * MS, what, "r1", requestId, attempt, worker, "m", note, figure));
    }

    private void sent(long ms, String requestId, String requestClass, long patience) {
        add(ms, Observation.SENT, requestId, 0, "", requestClass, patience * MS);
    }

    private void ran(long ms, String requestId, int attempt, String worker, String idempotencyKey) {
        add(ms, Observation.ARRIVED, requestId, attempt, worker, idempotencyKey, 0);
        add(ms + 1, Observation.RAN, requestId, attempt, worker, "", 0);
    }

    private void rejected(long ms, String requestId, int attempt, String worker) {
        add(ms, Observation.ARRIVED, requestId, attempt, worker, "", 0);
        add(ms, Observation.REJECTED, requestId, attempt, worker, "FULL", 0);
    }

    private void answered(long ms, String requestId, String state) {
        add(ms, Observation.ANSWERED, requestId, 0, "", state, 0);
    }

    private InvariantChecker.Verdict check() {
        return new InvariantChecker(settings(0, 0), 100 * MS, LOCATIONS).check(observations);
    }

    private void assertOneViolation(Invariant rule, String words) {
        List<InvariantChecker.Violation> violations = check().violations();
        assertEquals(1, violations.size(), violations.toString());
        assertEquals(rule, violations.get(0).rule());
        assertTrue(
                violations.get(0).description().contains(words),
                violations.get(0).description());
    }

    @Test
    void cleanRunPassesAndCountsWhatWasChecked() {
        sent(0, "c1", "post", 3000);
        rejected(5, "c1", 0, "e1");
        ran(10, "c1", 1, "e2", "");
        answered(40, "c1", "settled");
        sent(50, "c2", "commit", 3000);
        ran(55, "c2", 0, "e1", "k");
        add(60, Observation.ARRIVED, "c2", 1, "e3", "k", 0);
        add(60, Observation.DUPLICATE_DROPPED, "c2", 1, "e3", "k", 0);
        answered(70, "c2", "settled");
        InvariantChecker.Verdict verdict = check();
        assertEquals(List.of(), verdict.violations());
        assertEquals(2, verdict.checkedCounts().get(Invariant.ONE_ANSWER));
        assertEquals(2, verdict.checkedCounts().get(Invariant.NO_EFFECT_TWICE));
        assertEquals(4, verdict.checkedCounts().get(Invariant.DRAIN_RESPECTED));
    }

    @Test
    void missingAnswerIsFound() {
        sent(0, "c1", "draft", 3000);
        add(3400, Observation.UNANSWERED, "c1", 0, "", "gave up", 0);
        assertOneViolation(Invariant.ONE_ANSWER, "got no final answer");
    }

    @Test
    void lateAnswerIsFound() {
        sent(0, "c1", "draft", 3000);
        answered(3200, "c1", "terminated");
        assertOneViolation(Invariant.ONE_ANSWER, "200 ms after");
    }

    @Test
    void pauseOfTheClientIsNotCountedAsLateness() {
        sent(0, "c1", "draft", 3000);
        add(3290, Observation.CLIENT_PAUSED, "", 0, "", "", 400 * MS);
        answered(3292, "c1", "terminated");
        assertEquals(List.of(), check().violations());
        sent(5000, "c2", "draft", 3000);
        add(8100, Observation.CLIENT_PAUSED, "", 0, "", "", 50 * MS);
        answered(8400, "c2", "terminated");
        assertOneViolation(Invariant.ONE_ANSWER, "400 ms after");
    }

    @Test
    void secondAnswerIsFound() {
        sent(0, "c1", "draft", 3000);
        answered(10, "c1", "dismissed");
        answered(20, "c1", "settled");
        assertOneViolation(Invariant.ONE_ANSWER, "more than one");
    }

    @Test
    void noAnswerIsOwedByKilledOrUnreachableRouterOrToClientThatLeft() {
        sent(0, "c1", "draft", 3000);
        add(500, Observation.KILLED, "", 0, "", "", 0);
        add(510, Observation.UNANSWERED, "c1", 0, "", "cut", 0);
        sent(5000, "c2", "draft", 3000);
        add(5100, Observation.UNANSWERED, "c2", 0, "", "left", 0);
        sent(6000, "c3", "draft", 3000);
        add(6100, Observation.UNANSWERED, "c3", 0, "", "unreachable", 0);
        assertEquals(List.of(), check().violations());
        assertEquals(0, check().checkedCounts().get(Invariant.ONE_ANSWER));
    }

    @Test
    void retryOfNonIdempotentRequestThatMayHaveRunIsFound() {
        sent(0, "c1", "post", 3000);
        add(5, Observation.ARRIVED, "c1", 0, "e1", "", 0);
        add(50, Observation.ARRIVED, "c1", 1, "e2", "", 0);
        answered(80, "c1", "terminated");
        assertOneViolation(Invariant.NO_EFFECT_TWICE, "reached e2 after it may have run at e1");
    }

    @Test
    void rejectionOfNonIdempotentRequestThatRanIsFound() {
        sent(0, "c1", "post", 3000);
        ran(5, "c1", 0, "e1", "");
        answered(80, "c1", "dismissed");
        assertOneViolation(Invariant.NO_EFFECT_TWICE, "was dismissed and may have run at e1");
    }

    @Test
    void retryAfterKeyRetentionIsFound() {
        sent(0, "c1", "commit", 20_000);
        ran(5, "c1", 0, "e1", "k");
        add(8200, Observation.ARRIVED, "c1", 1, "e2", "k", 0);
        answered(8300, "c1", "settled");
        assertOneViolation(Invariant.NO_EFFECT_TWICE, "after the time for which e1 remembers it");
    }

    @Test
    void retryOutsideDeduplicationScopeIsFoundAlsoAtReplacedWorker() {
        sent(0, "c1", "note", 3000);
        ran(5, "c1", 0, "e1~7", "k");
        add(100, Observation.ARRIVED, "c1", 1, "e3", "k", 0);
        answered(200, "c1", "settled");
        assertOneViolation(Invariant.NO_EFFECT_TWICE, "left the group of e1~7 for e3");
    }

    @Test
    void idempotencyKeyThatRanTwiceIsFoundAcrossRequests() {
        sent(0, "c1", "commit", 1000);
        ran(5, "c1", 0, "e1", "k");
        answered(900, "c1", "terminated");
        sent(1000, "c2", "commit", 1000);
        ran(1005, "c2", 0, "e2", "k");
        answered(1050, "c2", "settled");
        assertOneViolation(Invariant.NO_EFFECT_TWICE, "mark k ran at e1 and again at e2");
    }

    @Test
    void requestOrLoadAtDrainingWorkerIsFoundAfterGraceOnly() {
        add(0, Observation.ENDPOINT_SENT, "", 0, "e1", "IN_SERVICE", 0);
        add(100, Observation.ENDPOINT_SENT, "", 0, "e1", "DRAINING", 0);
        add(1000, Observation.ARRIVED, "c1", 0, "e1", "", 0);
        add(1500, Observation.LOAD_REQUESTED, "", 0, "e1", "", 0);
        assertEquals(List.of(), check().violations());
        add(1600, Observation.LOAD_REQUESTED, "", 0, "e1", "", 1);
        assertOneViolation(Invariant.DRAIN_RESPECTED, "an order to e1 1500 ms after it was told DRAINING");
        add(1700, Observation.KILLED, "", 0, "", "", 0);
        add(1800, Observation.ARRIVED, "c2", 0, "e1", "", 0);
        assertEquals(1, check().violations().size(), "a router begun anew was not told yet");
    }

    @Test
    void overloadIsFoundOnlyWhereRoutersKnewOfTheStart() {
        for (int i = 0; i < 9; i++) {
            add(1000 + i, Observation.ARRIVED, "c" + i, 0, "e1", "", 0);
        }
        add(1010, Observation.CRASHED_FROM_OVERLOAD, "", 0, "e1", "", 3);
        assertEquals(List.of(), check().violations());
        add(500, Observation.ENDPOINT_SENT, "", 0, "e1", "IN_SERVICE", 1);
        assertOneViolation(Invariant.COLD_WORKER_NOT_OVERLOADED, "9 of 9 calls came from routers that knew");
    }

    @Test
    void loadsBeyondTheQuotaAreFound() {
        for (int i = 0; i < 10; i++) {
            sent(i, "c" + i, "draft", 3000);
            answered(i + 1, "c" + i, "settled");
        }
        for (int i = 0; i < 4; i++) {
            add(100 + i, Observation.LOAD_REQUESTED, "", 0, "e1", "", 1);
        }
        assertEquals(
                List.of(),
                new InvariantChecker(settings(3, 0.1), 100 * MS, LOCATIONS)
                        .check(observations)
                        .violations());
        add(200, Observation.LOAD_REQUESTED, "", 0, "e1", "", 1);
        List<InvariantChecker.Violation> violations = new InvariantChecker(settings(3, 0.1), 100 * MS, LOCATIONS)
                .check(observations)
                .violations();
        assertEquals(1, violations.size());
        assertTrue(
                violations.get(0).description().contains("gave 5 orders"),
                violations.get(0).description());
        add(12_000, Observation.LOAD_REQUESTED, "", 0, "e1", "", 1);
        assertEquals(
                1,
                new InvariantChecker(settings(3, 0.1), 100 * MS, LOCATIONS)
                        .check(observations)
                        .violations()
                        .size());
    }
}
