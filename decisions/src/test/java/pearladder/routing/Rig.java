package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.Event.Endpoint;
import pearladder.routing.api.Event.EndpointState;
import pearladder.routing.api.Event.EndpointUpdateKind;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.RoutingSettings.DeduplicationScope;
import pearladder.routing.api.RoutingSettings.Idempotency;
import pearladder.routing.api.RoutingSettings.RequestClass;
import pearladder.routing.api.TimeSpan;

/** Drives one instance by hand and checks the rules on each action it returns. */
final class Rig {
    static final TimeSpan QUICK = TimeSpan.millis(100);
    static final RequestClass RETRIABLE = terms("draw", Idempotency.RETRIABLE, DeduplicationScope.ALL);
    static final RequestClass BINDING = terms("post", Idempotency.BINDING, DeduplicationScope.ALL);
    static final RequestClass MARKED = terms("commit", Idempotency.FINGERPRINTED, DeduplicationScope.ALL);
    static final RequestClass MARKED_IN_ZONE = terms("note", Idempotency.FINGERPRINTED, DeduplicationScope.ZONE);
    static final RequestClass MARKED_BRIEFLY = new RequestClass(
            "brief",
            TimeSpan.seconds(1),
            TimeSpan.seconds(4),
            1,
            0.2,
            Idempotency.FINGERPRINTED,
            DeduplicationScope.ALL,
            TimeSpan.millis(1500),
            false,
            0);

    /** What the rig knows of a call. */
    static final class Taken {
        final String id;
        final RequestClass terms;
        final MonotonicTime until;
        final List<String> workers = new ArrayList<>();
        final List<MonotonicTime> sent = new ArrayList<>();
        final List<Outcome> outcomes = new ArrayList<>();
        Action end;
        boolean over;

        Taken(String id, RequestClass terms, MonotonicTime until) {
            this.id = id;
            this.terms = terms;
            this.until = until;
        }

        boolean mayHaveRun() {
            return outcomes.stream().anyMatch(o -> o == null || !o.neverExecuted);
        }

        int out() {
            return (int) outcomes.stream().filter(o -> o == null).count();
        }
    }

    final RoutingSettings facts;
    final StickyFirstFitPolicy policy;
    final Map<String, Taken> calls = new LinkedHashMap<>();
    final Map<String, Endpoint> workers = new LinkedHashMap<>();
    final Set<String> shut = new HashSet<>();
    final ArrayDeque<MonotonicTime> orders = new ArrayDeque<>();
    final List<MonotonicTime> takenAt = new ArrayList<>();
    final List<Action.SetTimer> wakes = new ArrayList<>();
    final List<Action> all = new ArrayList<>();
    MonotonicTime now = new MonotonicTime(1_000_000_000_000L);
    private int named;

    Rig(long seed, RoutingSettings facts) {
        this.facts = facts;
        this.policy = new StickyFirstFitPolicy(seed, facts);
    }

    static RequestClass terms(String name, Idempotency effect, DeduplicationScope group) {
        return new RequestClass(
                name, TimeSpan.seconds(1), TimeSpan.seconds(4), 1, 0.2, effect, group, TimeSpan.seconds(6), false, 0);
    }

    static RoutingSettings facts(
            boolean orders,
            boolean secondLegs,
            RoutingSettings.LoadQuota ration,
            List<RoutingSettings.Tenant> accounts) {
        return facts(3, orders, secondLegs, ration, accounts);
    }

    /** A router that is one of so many. */
    static RoutingSettings among(int peers) {
        return facts(peers, false, true, new RoutingSettings.LoadQuota(0, 0, TimeSpan.ZERO), List.of());
    }

    private static RoutingSettings facts(
            int peers,
            boolean orders,
            boolean secondLegs,
            RoutingSettings.LoadQuota ration,
            List<RoutingSettings.Tenant> accounts) {
        return new RoutingSettings(
                0,
                peers,
                "a",
                TimeSpan.millis(4),
                List.of(RETRIABLE, BINDING, MARKED, MARKED_IN_ZONE, MARKED_BRIEFLY),
                accounts,
                new RoutingSettings.AttemptLimits(
                        3, secondLegs, true, true, false, true, TimeSpan.seconds(2), 0.1, false, TimeSpan.millis(250)),
                new RoutingSettings.ResponseGrace(TimeSpan.millis(16), TimeSpan.millis(500)),
                new RoutingSettings.SlowStartSettings(0.25, TimeSpan.seconds(15), 2, TimeSpan.millis(1500)),
                ration,
                new RoutingSettings.InstanceSettings(
                        TimeSpan.seconds(8), orders, true, TimeSpan.seconds(10), true, true, List.of(50000.0)),
                new RoutingSettings.LoadReportSettings(List.of("x1"), true),
                new RoutingSettings.DiscoverySettings(false, TimeSpan.ZERO),
                new RoutingSettings.CostModel(0.01, 0.05, 0.01, 0.03, 0.1, 0.05));
    }

    static RoutingSettings plain() {
        return facts(false, true, new RoutingSettings.LoadQuota(0, 0, TimeSpan.ZERO), List.of());
    }

    static Rig withWorkers(RoutingSettings facts, int count) {
        Rig rig = new Rig(7, facts);
        for (int i = 0; i < count; i++) {
            rig.workers.put("w" + i, listing("w" + i, i % 2 == 0 ? "a" : "b", EndpointState.IN_SERVICE, null));
        }
        rig.list(EndpointUpdateKind.CACHED);
        return rig;
    }

    static Endpoint listing(String id, String zone, EndpointState standing, MonotonicTime since) {
        return new Endpoint(id, zone, "k", 0, standing, 1, since);
    }

    void list(EndpointUpdateKind kind) {
        for (Endpoint listing : workers.values()) {
            if (listing.state() == EndpointState.IN_SERVICE) {
                shut.remove(listing.worker());
            } else {
                shut.add(listing.worker());
            }
        }
        on(new Event.EndpointsUpdated(kind, List.copyOf(workers.values())));
    }

    void stand(String worker, EndpointState standing, MonotonicTime since) {
        workers.put(worker, listing(worker, workers.get(worker).zone(), standing, since));
        list(EndpointUpdateKind.DELTA);
    }

    /** The worker that takes a request of the function now; the request ends at once. */
    static String home(Rig rig, String function) {
        Taken call = rig.call(function, RETRIABLE);
        rig.pass(QUICK);
        rig.settle(call, QUICK);
        return call.workers.get(0);
    }

    /** Lets time pass; timers that fall due are delivered. */
    void pass(TimeSpan span) {
        MonotonicTime until = now.plus(span);
        while (true) {
            Action.SetTimer next = null;
            for (Action.SetTimer wake : wakes) {
                next = next == null || wake.dueAt().isBefore(next.dueAt()) ? wake : next;
            }
            if (next == null || until.isBefore(next.dueAt())) {
                break;
            }
            wakes.remove(next);
            now = next.dueAt().isBefore(now) ? now : next.dueAt();
            on(new Event.TimerFired(next.tag()));
        }
        now = until;
    }

    Taken call(String function, RequestClass terms) {
        return call(function, terms, null, 2, TimeSpan.seconds(4));
    }

    Taken call(String function, RequestClass terms, String account, int lanes, TimeSpan left) {
        Taken call = new Taken("call" + named++, terms, now.plus(left));
        calls.put(call.id, call);
        takenAt.add(now);
        on(new Event.RequestArrived(
                call.id, function, terms.name(), account, left, lanes, 500, TimeSpan.millis(800), null, false, false));
        return call;
    }

    /** Settles the call's only leg that is out, warm, after the given time. */
    void settle(Taken call, TimeSpan took) {
        int leg = call.outcomes.indexOf(null);
        end(call, leg, Outcome.SUCCESS, InstanceStatus.STOOD, took);
    }

    void end(Taken call, int leg, Outcome outcome, InstanceStatus copy, TimeSpan took) {
        end(call, leg, outcome, copy, took, 0);
    }

    void end(Taken call, int leg, Outcome outcome, InstanceStatus copy, TimeSpan took, double loads) {
        end(call, leg, outcome, copy, took, loads, Double.NaN);
    }

    void end(Taken call, int leg, Outcome outcome, InstanceStatus copy, TimeSpan took, double loads, double waiting) {
        call.outcomes.set(leg, outcome);
        call.over |= outcome == Outcome.SUCCESS;
        on(new Event.AttemptEnded(
                call.id,
                leg,
                call.workers.get(leg),
                outcome,
                took,
                call.over,
                copy,
                0,
                new Event.WorkerLoadReport(Double.NaN, waiting, Double.NaN, loads, Double.NaN)));
    }

    List<Action> on(Event event) {
        List<Action> actions = policy.handle(now, event);
        for (Action action : actions) {
            check(action);
            all.add(action);
        }
        return actions;
    }

    private void check(Action action) {
        if (action instanceof Action.SendAttempt send) {
            Taken call = calls.get(send.requestId());
            assertFalse(call.over, "a leg after the end");
            assertFalse(shut.contains(send.worker()), "a leg to a worker that drains or is gone");
            assertTrue(call.workers.size() < facts.attemptLimits().maxAttempts(), "too many legs");
            assertTrue(send.timeout().nanos() > 0, "a limit in the past");
            assertTrue(facts.attemptLimits().hedging() || call.out() == 0, "two legs out at once");
            if (call.terms.idempotency() == Idempotency.BINDING) {
                assertFalse(call.mayHaveRun(), "a binding call that may have run was sent again");
            } else if (call.terms.idempotency() == Idempotency.FINGERPRINTED && call.mayHaveRun()) {
                int first = 0;
                while (call.outcomes.get(first) != null && call.outcomes.get(first).neverExecuted) {
                    first++;
                }
                assertTrue(
                        now.since(call.sent.get(first))
                                        .plus(facts.maxSendDelay())
                                        .compareTo(call.terms.deduplicationWindow())
                                <= 0,
                        "past memory, if its connection comes up as late as it may");
                assertTrue(
                        call.terms.deduplicationScope() == DeduplicationScope.ALL
                                || workers.get(send.worker())
                                        .zone()
                                        .equals(workers.get(call.workers.get(first))
                                                .zone()),
                        "outside the group");
            }
            call.workers.add(send.worker());
            call.sent.add(now);
            call.outcomes.add(null);
        } else if (action instanceof Action.Reject dismiss) {
            Taken call = calls.get(dismiss.requestId());
            assertTrue(
                    call.terms.idempotency() == Idempotency.RETRIABLE
                            || !call.mayHaveRun()
                            || call.terms.idempotency() == Idempotency.FINGERPRINTED
                                    && call.terms.deduplicationScope() == DeduplicationScope.ALL,
                    "a dismissal of what may have run");
            finish(call, action);
        } else if (action instanceof Action.Fail terminate) {
            finish(calls.get(terminate.requestId()), action);
        } else if (action instanceof Action.LoadInstances hold) {
            assertTrue(facts.instances().acceptsLoadRequests(), "an order where none is allowed");
            assertFalse(shut.contains(hold.worker()), "an order to a worker that drains or is gone");
            orders.add(now);
            RoutingSettings.LoadQuota ration = facts.loadQuota();
            if (ration.window().nanos() > 0) {
                long ordered = orders.stream()
                        .filter(at -> now.since(at).compareTo(ration.window()) <= 0)
                        .count();
                long took = takenAt.stream()
                        .filter(at -> now.since(at).compareTo(ration.window()) < 0)
                        .count();
                assertTrue(ordered <= ration.burst() + ration.requestShare() * took, "more orders than the ration");
            }
        } else if (action instanceof Action.CancelAttempt cancel) {
            assertTrue(facts.attemptLimits().cancel());
            assertTrue(cancel.attempt() < calls.get(cancel.requestId()).workers.size(), "a leg that was never sent");
        } else if (action instanceof Action.SetTimer wake) {
            wakes.add(wake);
        }
    }

    private void finish(Taken call, Action action) {
        assertNotNull(call);
        assertFalse(call.over, "a second final answer");
        assertFalse(call.until.plus(facts.responseGrace().grace()).isBefore(now), "a final answer too late");
        call.over = true;
        call.end = action;
    }

    void assertAllAnswered() {
        assertEquals(0, calls.values().stream().filter(call -> !call.over).count(), "calls without an answer");
    }
}
