package pearladder;

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
import pearladder.api.Action;
import pearladder.api.Event;
import pearladder.api.Event.Copy;
import pearladder.api.Event.ListKind;
import pearladder.api.Event.Listing;
import pearladder.api.Event.Standing;
import pearladder.api.Facts;
import pearladder.api.Facts.Effect;
import pearladder.api.Facts.Group;
import pearladder.api.Facts.Terms;
import pearladder.api.Moment;
import pearladder.api.Outcome;
import pearladder.api.Span;

/** Drives one instance by hand and checks the rules on each action it returns. */
final class Rig {
    static final Terms RETRIABLE = terms("draw", Effect.RETRIABLE, Group.ALL);
    static final Terms BINDING = terms("post", Effect.BINDING, Group.ALL);
    static final Terms MARKED = terms("commit", Effect.FINGERPRINTED, Group.ALL);
    static final Terms MARKED_IN_ZONE = terms("note", Effect.FINGERPRINTED, Group.ZONE);
    static final Terms MARKED_BRIEFLY = new Terms(
            "brief",
            Span.seconds(1),
            Span.seconds(4),
            1,
            0.2,
            Effect.FINGERPRINTED,
            Group.ALL,
            Span.millis(1500),
            false,
            0);

    /** What the rig knows of a call. */
    static final class Taken {
        final String id;
        final Terms terms;
        final Moment until;
        final List<String> workers = new ArrayList<>();
        final List<Moment> sent = new ArrayList<>();
        final List<Outcome> outcomes = new ArrayList<>();
        Action end;
        boolean over;

        Taken(String id, Terms terms, Moment until) {
            this.id = id;
            this.terms = terms;
            this.until = until;
        }

        boolean mayHaveRun() {
            return outcomes.stream().anyMatch(o -> o == null || !o.neverRan);
        }

        int out() {
            return (int) outcomes.stream().filter(o -> o == null).count();
        }
    }

    final Facts facts;
    final Policy policy;
    final Map<String, Taken> calls = new LinkedHashMap<>();
    final Map<String, Listing> workers = new LinkedHashMap<>();
    final Set<String> shut = new HashSet<>();
    final ArrayDeque<Moment> orders = new ArrayDeque<>();
    final List<Moment> takenAt = new ArrayList<>();
    final List<Action.Wake> wakes = new ArrayList<>();
    final List<Action> all = new ArrayList<>();
    Moment now = new Moment(1_000_000_000_000L);
    private int named;

    Rig(long seed, Facts facts) {
        this.facts = facts;
        this.policy = new Policy(seed, facts);
    }

    static Terms terms(String name, Effect effect, Group group) {
        return new Terms(name, Span.seconds(1), Span.seconds(4), 1, 0.2, effect, group, Span.seconds(6), false, 0);
    }

    static Facts facts(boolean orders, boolean secondLegs, Facts.Ration ration, List<Facts.Account> accounts) {
        return facts(3, orders, secondLegs, ration, accounts);
    }

    /** A router that is one of so many. */
    static Facts among(int peers) {
        return facts(peers, false, true, new Facts.Ration(0, 0, Span.NONE), List.of());
    }

    private static Facts facts(
            int peers, boolean orders, boolean secondLegs, Facts.Ration ration, List<Facts.Account> accounts) {
        return new Facts(
                0,
                peers,
                "a",
                Span.millis(4),
                List.of(RETRIABLE, BINDING, MARKED, MARKED_IN_ZONE, MARKED_BRIEFLY),
                accounts,
                new Facts.Allowances(
                        3, secondLegs, true, true, false, true, Span.seconds(2), 0.1, false, Span.millis(250)),
                new Facts.Answering(Span.millis(16), Span.millis(500)),
                new Facts.ColdStart(0.25, Span.seconds(15), 2, Span.millis(1500)),
                ration,
                new Facts.Copies(Span.seconds(8), orders, true, Span.seconds(10), true, true, List.of(50000.0)),
                new Facts.Reports(List.of("x1"), true),
                new Facts.Roll(false, Span.NONE),
                new Facts.Prices(0.01, 0.05, 0.01, 0.03, 0.1, 0.05));
    }

    static Facts plain() {
        return facts(false, true, new Facts.Ration(0, 0, Span.NONE), List.of());
    }

    static Rig withWorkers(Facts facts, int count) {
        Rig rig = new Rig(7, facts);
        for (int i = 0; i < count; i++) {
            rig.workers.put("w" + i, listing("w" + i, i % 2 == 0 ? "a" : "b", Standing.IN_SERVICE, null));
        }
        rig.list(ListKind.REMEMBERED);
        return rig;
    }

    static Listing listing(String id, String zone, Standing standing, Moment since) {
        return new Listing(id, zone, "k", 0, standing, 1, since);
    }

    void list(ListKind kind) {
        for (Listing listing : workers.values()) {
            if (listing.standing() == Standing.IN_SERVICE) {
                shut.remove(listing.worker());
            } else {
                shut.add(listing.worker());
            }
        }
        on(new Event.Listed(kind, List.copyOf(workers.values())));
    }

    void stand(String worker, Standing standing, Moment since) {
        workers.put(worker, listing(worker, workers.get(worker).zone(), standing, since));
        list(ListKind.CHANGES);
    }

    /** Lets time pass; timers that fall due are delivered. */
    void pass(Span span) {
        Moment until = now.plus(span);
        while (true) {
            Action.Wake next = null;
            for (Action.Wake wake : wakes) {
                next = next == null || wake.at().before(next.at()) ? wake : next;
            }
            if (next == null || until.before(next.at())) {
                break;
            }
            wakes.remove(next);
            now = next.at().before(now) ? now : next.at();
            on(new Event.Due(next.tag()));
        }
        now = until;
    }

    Taken call(String function, Terms terms) {
        return call(function, terms, null, 2, Span.seconds(4));
    }

    Taken call(String function, Terms terms, String account, int lanes, Span left) {
        Taken call = new Taken("call" + named++, terms, now.plus(left));
        calls.put(call.id, call);
        takenAt.add(now);
        on(new Event.CallCame(
                call.id, function, terms.name(), account, left, lanes, 500, Span.millis(800), null, false, false));
        return call;
    }

    /** Settles the call's only leg that is out, warm, after the given time. */
    void settle(Taken call, Span took) {
        int leg = call.outcomes.indexOf(null);
        end(call, leg, Outcome.SUCCESS, Copy.STOOD, took);
    }

    void end(Taken call, int leg, Outcome outcome, Copy copy, Span took) {
        end(call, leg, outcome, copy, took, 0);
    }

    void end(Taken call, int leg, Outcome outcome, Copy copy, Span took, double loads) {
        end(call, leg, outcome, copy, took, loads, Double.NaN);
    }

    void end(Taken call, int leg, Outcome outcome, Copy copy, Span took, double loads, double waiting) {
        call.outcomes.set(leg, outcome);
        call.over |= outcome == Outcome.SUCCESS;
        on(new Event.LegEnded(
                call.id,
                leg,
                call.workers.get(leg),
                outcome,
                took,
                call.over,
                copy,
                0,
                new Event.Report(Double.NaN, waiting, Double.NaN, loads, Double.NaN)));
    }

    List<Action> on(Event event) {
        List<Action> actions = policy.on(now, event);
        for (Action action : actions) {
            check(action);
            all.add(action);
        }
        return actions;
    }

    private void check(Action action) {
        if (action instanceof Action.Send send) {
            Taken call = calls.get(send.call());
            assertFalse(call.over, "a leg after the end");
            assertFalse(shut.contains(send.worker()), "a leg to a worker that drains or is gone");
            assertTrue(call.workers.size() < facts.allowances().legs(), "too many legs");
            assertTrue(send.limit().nanos() > 0, "a limit in the past");
            assertTrue(facts.allowances().secondLegs() || call.out() == 0, "two legs out at once");
            if (call.terms.effect() == Effect.BINDING) {
                assertFalse(call.mayHaveRun(), "a binding call that may have run was sent again");
            } else if (call.terms.effect() == Effect.FINGERPRINTED && call.mayHaveRun()) {
                int first = 0;
                while (call.outcomes.get(first) != null && call.outcomes.get(first).neverRan) {
                    first++;
                }
                assertTrue(
                        now.since(call.sent.get(first)).plus(facts.sending()).compareTo(call.terms.remembered()) <= 0,
                        "past memory, if its connection comes up as late as it may");
                assertTrue(
                        call.terms.group() == Group.ALL
                                || workers.get(send.worker())
                                        .zone()
                                        .equals(workers.get(call.workers.get(first))
                                                .zone()),
                        "outside the group");
            }
            call.workers.add(send.worker());
            call.sent.add(now);
            call.outcomes.add(null);
        } else if (action instanceof Action.Dismiss dismiss) {
            Taken call = calls.get(dismiss.call());
            assertTrue(
                    call.terms.effect() == Effect.RETRIABLE
                            || !call.mayHaveRun()
                            || call.terms.effect() == Effect.FINGERPRINTED && call.terms.group() == Group.ALL,
                    "a dismissal of what may have run");
            finish(call, action);
        } else if (action instanceof Action.Terminate terminate) {
            finish(calls.get(terminate.call()), action);
        } else if (action instanceof Action.Hold hold) {
            assertTrue(facts.copies().orders(), "an order where none is allowed");
            assertFalse(shut.contains(hold.worker()), "an order to a worker that drains or is gone");
            orders.add(now);
            Facts.Ration ration = facts.ration();
            if (ration.window().nanos() > 0) {
                long ordered = orders.stream()
                        .filter(at -> now.since(at).compareTo(ration.window()) <= 0)
                        .count();
                long took = takenAt.stream()
                        .filter(at -> now.since(at).compareTo(ration.window()) < 0)
                        .count();
                assertTrue(ordered <= ration.free() + ration.share() * took, "more orders than the ration");
            }
        } else if (action instanceof Action.Cancel cancel) {
            assertTrue(facts.allowances().cancel());
            assertTrue(cancel.leg() < calls.get(cancel.call()).workers.size(), "a leg that was never sent");
        } else if (action instanceof Action.Wake wake) {
            wakes.add(wake);
        }
    }

    private void finish(Taken call, Action action) {
        assertNotNull(call);
        assertFalse(call.over, "a second final answer");
        assertFalse(call.until.plus(facts.answering().grace()).before(now), "a final answer too late");
        call.over = true;
        call.end = action;
    }

    void assertAllAnswered() {
        assertEquals(0, calls.values().stream().filter(call -> !call.over).count(), "calls without an answer");
    }
}
