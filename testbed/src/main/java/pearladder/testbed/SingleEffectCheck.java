package pearladder.testbed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pearladder.emulator.Observation;
import pearladder.testbed.InvariantChecker.Invariant;
import pearladder.testbed.ObservedRequest.Attempt;

/**
 * Checks that no request takes effect twice. By attempts: an attempt that arrived and was not refused may have run, and
 * the request class restricts later attempts. By effects: a non-idempotent request or an idempotency key runs once.
 */
final class SingleEffectCheck {
    private record Location(String zone, long cell) {
        /** Parses "zone/cell". */
        static Location of(String location) {
            int slash = location.lastIndexOf('/');
            return new Location(location.substring(0, slash), Long.parseLong(location.substring(slash + 1)));
        }
    }

    private final InvariantSettings settings;
    private final long slack;
    private final CheckFindings findings;
    private final Map<String, Location> locations = new HashMap<>();

    /**
     * Creates a check.
     *
     * @param slack tolerance in nanoseconds
     * @param workerLocations location of each worker as "zone/cell", by worker ID
     */
    SingleEffectCheck(
            InvariantSettings settings, long slack, Map<String, String> workerLocations, CheckFindings findings) {
        this.settings = settings;
        this.slack = slack;
        this.findings = findings;
        workerLocations.forEach((worker, location) -> locations.put(worker, Location.of(location)));
    }

    void check(List<Observation> inOrder, Map<String, ObservedRequest> requests) {
        requests.values().forEach(this::checkAttempts);
        checkEffects(inOrder, requests);
    }

    /** Returns the terms of the request's class, or null if it has none or is idempotent. */
    private RequestClassTerms termsOf(ObservedRequest request) {
        RequestClassTerms terms =
                request == null ? null : settings.requestClasses().get(request.requestClass());
        return terms == null || terms.idempotency() == RequestClassTerms.Idempotency.RETRIABLE ? null : terms;
    }

    private void checkAttempts(ObservedRequest request) {
        RequestClassTerms terms = termsOf(request);
        if (terms == null) {
            return;
        }
        findings.recordChecked(Invariant.NO_EFFECT_TWICE);
        String what = "call " + request.id() + " (" + terms.name() + ")";
        Attempt first = null;
        for (Attempt attempt : request.attempts()) {
            if (first != null) {
                checkRetry(terms, what, first, attempt);
            } else if (attempt.mayHaveRun()) {
                first = attempt;
            }
        }
        boolean rejected = request.end() != null && request.end().note().equals("dismissed");
        boolean mayBeRejected = terms.idempotency() != RequestClassTerms.Idempotency.BINDING
                && terms.deduplicationScope() == RequestClassTerms.DeduplicationScope.ALL;
        if (rejected && first != null && !mayBeRejected) {
            findings.recordViolation(
                    Invariant.NO_EFFECT_TWICE,
                    request.end().at(),
                    what + " was dismissed and may have run at " + first.worker());
        }
    }

    private void checkRetry(RequestClassTerms terms, String what, Attempt first, Attempt retry) {
        if (terms.idempotency() == RequestClassTerms.Idempotency.BINDING) {
            findings.recordViolation(
                    Invariant.NO_EFFECT_TWICE,
                    retry.arrivedAt(),
                    what + " reached " + retry.worker() + " after it may have run at " + first.worker());
            return;
        }
        if (retry.arrivedAt() - first.arrivedAt() > terms.keyRetention() + slack) {
            findings.recordViolation(
                    Invariant.NO_EFFECT_TWICE,
                    retry.arrivedAt(),
                    what + " was repeated after the time for which " + first.worker() + " remembers it");
        }
        if (!shareIdempotencyKeys(terms.deduplicationScope(), first.worker(), retry.worker())) {
            findings.recordViolation(
                    Invariant.NO_EFFECT_TWICE,
                    retry.arrivedAt(),
                    what + " left the group of " + first.worker() + " for " + retry.worker());
        }
    }

    /** Returns whether two workers share their retained idempotency keys. */
    private boolean shareIdempotencyKeys(RequestClassTerms.DeduplicationScope group, String worker, String other) {
        if (group == RequestClassTerms.DeduplicationScope.ALL) {
            return true;
        }
        Location one = locationOf(worker);
        Location two = locationOf(other);
        if (one == null || two == null) {
            return false;
        }
        return group == RequestClassTerms.DeduplicationScope.ZONE
                ? one.zone().equals(two.zone())
                : one.cell() == two.cell();
    }

    /** A worker that replaced another in a deployment ("engine-3~15") has the location of the original ("engine-3"). */
    private Location locationOf(String worker) {
        int suffixStart = worker.indexOf('~');
        return locations.get(suffixStart < 0 ? worker : worker.substring(0, suffixStart));
    }

    private void checkEffects(List<Observation> inOrder, Map<String, ObservedRequest> requests) {
        Map<String, String> keyOf = new HashMap<>();
        Map<String, Observation> effects = new HashMap<>();
        for (Observation seen : inOrder) {
            if (seen.event().equals(Observation.ARRIVED) && !seen.note().isEmpty()) {
                keyOf.put(seen.requestId(), seen.note());
            }
            RequestClassTerms terms = termsOf(requests.get(seen.requestId()));
            if (!seen.event().equals(Observation.RAN) || terms == null) {
                continue;
            }
            boolean isNonIdempotent = terms.idempotency() == RequestClassTerms.Idempotency.BINDING;
            String effect = isNonIdempotent ? "call " + seen.requestId() : "mark " + keyOf.get(seen.requestId());
            Observation before = effects.putIfAbsent(effect, seen);
            if (before != null && (isNonIdempotent || !before.note().equals("failed"))) {
                findings.recordViolation(
                        Invariant.NO_EFFECT_TWICE,
                        seen.at(),
                        effect + " ran at " + before.worker() + " and again at " + seen.worker());
            }
        }
    }
}
