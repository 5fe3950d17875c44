package pearladder.testbed;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pearladder.emulator.Observation;

/**
 * Judges the five rules from what passed over the sockets and nothing else: tapes of the engines, of the list and of the
 * clients. A slack for sockets and for pauses of this machine is granted and stated; a router that was killed
 * or stood still owes nothing for that time.
 */
public final class InvariantChecker {
    /** The rules in the order of the brief. */
    public enum Rule {
        ONE_ANSWER("one timely final answer for each call taken"),
        NO_EFFECT_TWICE("no effect twice"),
        DRAINS_KEPT("drains kept"),
        COLD_NOT_PUSHED("cold workers not pushed over"),
        ORDERS_RATIONED("load orders rationed");

        final String words;

        Rule(String words) {
            this.words = words;
        }

        public String words() {
            return words;
        }
    }

    /** One breach: which rule, when (nanoseconds of the tape's clock), and what happened. */
    public record Breach(Rule rule, long at, String what) {}

    /** What was looked at, so that a check that saw nothing can't pass for one that found nothing. */
    public record Verdict(List<Breach> breaches, Map<Rule, Long> looked) {
        /** A line a rule, and the first breaches; begun is the day's start on the tape's clock. */
        public List<String> lines(long begun, InvariantSettings rules) {
            List<String> lines = new ArrayList<>();
            for (Rule rule : Rule.values()) {
                long broken = breaches.stream()
                        .filter(breach -> breach.rule() == rule)
                        .count();
                boolean unset = rule == Rule.ORDERS_RATIONED && rules.rationWindow() == 0;
                lines.add(String.format(
                        Locale.ROOT,
                        "%-46s %s",
                        rule.words(),
                        unset
                                ? "no ration is set"
                                : (broken == 0 ? "kept" : "BROKEN " + broken + " times") + ", " + looked.get(rule)
                                        + " looked at"));
            }
            for (Breach breach : breaches.subList(0, Math.min(20, breaches.size()))) {
                lines.add(String.format(Locale.ROOT, "  at %.3f s: %s", (breach.at() - begun) / 1e9, breach.what()));
            }
            return lines;
        }
    }

    private static final class Try {
        Observation sent;
        Observation end;
        int ends;
        boolean again;
        final List<Leg> legs = new ArrayList<>();
    }

    private static final class Leg {
        final Observation arrived;
        boolean refused;
        boolean ran;

        Leg(Observation arrived) {
            this.arrived = arrived;
        }

        boolean mayHaveRun() {
            return !refused;
        }
    }

    private record Place(String hall, long cell) {}

    private final InvariantSettings rules;
    private final long slack;
    private final Map<String, Place> places;
    private final TreeMap<Long, Observation> pauses = new TreeMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final Map<Rule, Long> looked = new LinkedHashMap<>();

    /**
     * @param slack nanoseconds granted for sockets and pauses
     * @param places hall and cell of each engine, "hall/cell"
     */
    public InvariantChecker(InvariantSettings rules, long slack, Map<String, String> places) {
        this.rules = rules;
        this.slack = slack;
        this.places = new HashMap<>();
        places.forEach((engine, place) -> {
            int slash = place.lastIndexOf('/');
            this.places.put(engine, new Place(place.substring(0, slash), Long.parseLong(place.substring(slash + 1))));
        });
        for (Rule rule : Rule.values()) {
            looked.put(rule, 0L);
        }
    }

    /** Checks a whole run; the lines may come in any order. */
    public Verdict check(List<Observation> tape) {
        List<Observation> inTime = new ArrayList<>(tape);
        inTime.sort(Comparator.comparingLong(Observation::at));
        readLate(inTime);
        Map<String, List<Observation>> deaths = new HashMap<>();
        for (Observation seen : inTime) {
            if (seen.what().equals(Observation.KILLED) || seen.what().equals(Observation.STILL)) {
                deaths.computeIfAbsent(seen.router(), r -> new ArrayList<>()).add(seen);
            }
        }
        inTime.stream()
                .filter(seen -> seen.what().equals(Observation.PAUSED))
                .forEach(pause -> pauses.put(pause.at(), pause));
        Map<String, Try> tries = tries(inTime);
        tries.values().forEach(one -> oneAnswer(one, deaths.getOrDefault(one.sent.router(), List.of())));
        tries.values().forEach(this::noEffectTwice);
        marks(inTime, tries);
        drains(inTime);
        cold(inTime);
        ration(inTime, tries);
        breaches.sort(Comparator.comparingLong(Breach::at));
        return new Verdict(breaches, looked);
    }

    /**
     * An engine that stood still reads afterwards what had come meanwhile: what it makes of that is its own, and no router
     * can take it back. Such legs are passed over; if it stood longer than it remembers marks, it broke its own promise.
     */
    private void readLate(List<Observation> inTime) {
        Map<String, TreeMap<Long, Long>> still = new HashMap<>();
        inTime.stream()
                .filter(seen ->
                        seen.what().equals(Observation.STILL) && !seen.engine().isEmpty())
                .forEach(seen -> still.computeIfAbsent(seen.engine(), engine -> new TreeMap<>())
                        .put(seen.at() + (long) seen.figure(), seen.at()));
        if (still.isEmpty()) {
            return;
        }
        Set<String> late = new HashSet<>();
        for (Observation seen : inTime) {
            Map.Entry<Long, Long> woke =
                    still.getOrDefault(seen.engine(), new TreeMap<>()).floorEntry(seen.at());
            boolean read =
                    seen.what().equals(Observation.ARRIVED) || seen.what().equals(Observation.RAN);
            if (read && woke != null && seen.at() - woke.getKey() <= slack) {
                late.add(legOf(seen));
            }
        }
        inTime.removeIf(seen -> !seen.engine().isEmpty() && late.contains(legOf(seen)));
    }

    private static String legOf(Observation seen) {
        return seen.call() + "\n" + seen.leg() + "\n" + seen.engine();
    }

    private void breach(Rule rule, long at, String what) {
        breaches.add(new Breach(rule, at, what));
    }

    private void looked(Rule rule) {
        looked.merge(rule, 1L, Long::sum);
    }

    private Map<String, Try> tries(List<Observation> inTime) {
        Map<String, Try> tries = new LinkedHashMap<>();
        for (Observation seen : inTime) {
            if (seen.what().equals(Observation.SENT)) {
                tries.computeIfAbsent(seen.call(), call -> new Try()).sent = seen;
            }
        }
        for (Observation seen : inTime) {
            Try one = tries.get(seen.call());
            if (one == null) {
                continue;
            }
            switch (seen.what()) {
                case Observation.ANSWERED, Observation.UNANSWERED -> {
                    one.end = seen;
                    one.ends++;
                }
                case Observation.AGAIN -> one.again = true;
                case Observation.ARRIVED -> one.legs.add(new Leg(seen));
                case Observation.REFUSED, Observation.RAN, Observation.DROPPED -> {
                    for (Leg leg : one.legs) {
                        if (leg.arrived.leg() == seen.leg()
                                && leg.arrived.engine().equals(seen.engine())) {
                            leg.refused |= seen.what().equals(Observation.REFUSED)
                                    || seen.what().equals(Observation.DROPPED);
                            leg.ran |= seen.what().equals(Observation.RAN);
                        }
                    }
                }
                default -> {}
            }
        }
        return tries;
    }

    private void oneAnswer(Try one, List<Observation> deaths) {
        Observation sent = one.sent;
        long due = sent.at() + (long) sent.figure();
        if (one.end == null
                || deaths.stream()
                        .anyMatch(death -> death.at() + (long) death.figure() >= sent.at() - slack
                                && death.at() <= Math.min(due, one.end.at()) + slack)) {
            return;
        }
        if (one.end.what().equals(Observation.UNANSWERED)
                && (one.end.note().equals("unreachable") || one.end.note().equals("left"))) {
            return;
        }
        looked(Rule.ONE_ANSWER);
        String call = "call " + sent.call() + " (" + sent.note() + ") at " + sent.router();
        if (one.end.what().equals(Observation.UNANSWERED)) {
            breach(Rule.ONE_ANSWER, due, call + " got no final answer: " + one.end.note());
        } else if (one.end.at() - paused(due, one.end.at()) > due + rules.answerGrace() + slack) {
            breach(
                    Rule.ONE_ANSWER,
                    one.end.at(),
                    call + " was " + one.end.note() + " " + (one.end.at() - due) / 1_000_000
                            + " ms after the client's time was up");
        }
        if (one.ends > 1 || one.again) {
            breach(Rule.ONE_ANSWER, one.end.at(), call + " got more than one final answer");
        }
    }

    /** How long the client itself was paused between a call's due time and the moment at which it saw the answer. */
    private long paused(long due, long seen) {
        long sum = 0;
        for (Observation pause : pauses.tailMap(due, true).values()) {
            long began = Math.max(due, pause.at() - (long) pause.figure());
            sum += Math.max(0, Math.min(seen, pause.at()) - began);
            if (pause.at() >= seen) {
                break;
            }
        }
        return sum;
    }

    private void noEffectTwice(Try one) {
        CategoryTerms terms = rules.categories().get(one.sent.note());
        if (terms == null || terms.effect() == CategoryTerms.Effect.RETRIABLE) {
            return;
        }
        looked(Rule.NO_EFFECT_TWICE);
        String call = "call " + one.sent.call() + " (" + terms.name() + ")";
        Leg first = null;
        for (Leg leg : one.legs) {
            if (first != null) {
                if (terms.effect() == CategoryTerms.Effect.BINDING) {
                    breach(
                            Rule.NO_EFFECT_TWICE,
                            leg.arrived.at(),
                            call + " reached " + leg.arrived.engine() + " after it may have run at "
                                    + first.arrived.engine());
                } else {
                    again(terms, call, first, leg);
                }
            }
            first = first == null && leg.mayHaveRun() ? leg : first;
        }
        boolean dismissed = one.end != null && one.end.note().equals("dismissed");
        if (dismissed
                && first != null
                && (terms.effect() == CategoryTerms.Effect.BINDING || terms.group() != CategoryTerms.Group.ALL)) {
            breach(
                    Rule.NO_EFFECT_TWICE,
                    one.end.at(),
                    call + " was dismissed and may have run at " + first.arrived.engine());
        }
    }

    private void again(CategoryTerms terms, String call, Leg first, Leg leg) {
        if (leg.arrived.at() - first.arrived.at() > terms.remembered() + slack) {
            breach(
                    Rule.NO_EFFECT_TWICE,
                    leg.arrived.at(),
                    call + " was repeated after the time for which " + first.arrived.engine() + " remembers it");
        }
        Place there = place(first.arrived.engine());
        Place here = place(leg.arrived.engine());
        boolean together = terms.group() == CategoryTerms.Group.ALL
                || there != null
                        && here != null
                        && (terms.group() == CategoryTerms.Group.ZONE
                                ? there.hall().equals(here.hall())
                                : there.cell() == here.cell());
        if (!together) {
            breach(
                    Rule.NO_EFFECT_TWICE,
                    leg.arrived.at(),
                    call + " left the group of " + first.arrived.engine() + " for " + leg.arrived.engine());
        }
    }

    /** A deploy's successor stands where the engine stood whose name it carries on ("engine-3~15"). */
    private Place place(String engine) {
        int successor = engine.indexOf('~');
        return places.get(successor < 0 ? engine : engine.substring(0, successor));
    }

    /** The effect itself: a mark, or a binding try, runs once. */
    private void marks(List<Observation> inTime, Map<String, Try> tries) {
        Map<String, String> markOf = new HashMap<>();
        Map<String, Observation> ran = new HashMap<>();
        for (Observation seen : inTime) {
            if (seen.what().equals(Observation.ARRIVED) && !seen.note().isEmpty()) {
                markOf.put(seen.call(), seen.note());
            }
            Try one = tries.get(seen.call());
            CategoryTerms terms = one == null ? null : rules.categories().get(one.sent.note());
            if (!seen.what().equals(Observation.RAN)
                    || terms == null
                    || terms.effect() == CategoryTerms.Effect.RETRIABLE) {
                continue;
            }
            boolean binding = terms.effect() == CategoryTerms.Effect.BINDING;
            String key = binding ? "call " + seen.call() : "mark " + markOf.get(seen.call());
            Observation before = ran.putIfAbsent(key, seen);
            if (before != null && (binding || !before.note().equals("failed"))) {
                breach(
                        Rule.NO_EFFECT_TWICE,
                        seen.at(),
                        key + " ran at " + before.engine() + " and again at " + seen.engine());
            }
        }
    }

    private void drains(List<Observation> inTime) {
        Map<String, Observation> told = new HashMap<>();
        for (Observation seen : inTime) {
            String key = seen.router() + ">" + seen.engine();
            if (seen.what().equals(Observation.TOLD)) {
                Observation before = told.get(key);
                boolean same = before != null && before.note().equals(seen.note());
                if (!same) {
                    told.put(key, seen);
                }
            } else if (seen.what().equals(Observation.KILLED)) {
                told.keySet().removeIf(pair -> pair.startsWith(seen.router() + ">"));
            } else if (seen.what().equals(Observation.ARRIVED)
                    || seen.what().equals(Observation.ORDERED) && seen.figure() > 0) {
                looked(Rule.DRAINS_KEPT);
                Observation last = told.get(key);
                if (last != null
                        && !last.note().equals("IN_SERVICE")
                        && seen.at() > last.at() + rules.drainGrace() + slack) {
                    breach(
                            Rule.DRAINS_KEPT,
                            seen.at(),
                            seen.router() + " sent "
                                    + (seen.what().equals(Observation.ARRIVED) ? "call " + seen.call() : "an order")
                                    + " to "
                                    + seen.engine() + " " + (seen.at() - last.at()) / 1_000_000
                                    + " ms after it was told "
                                    + last.note());
                }
            }
        }
    }

    /** A fall is a breach where two thirds of what pushed came from routers that had been told of the start. */
    private void cold(List<Observation> inTime) {
        Map<String, Long> toldStart = new HashMap<>();
        Map<String, ArrayDeque<Observation>> lately = new HashMap<>();
        for (Observation seen : inTime) {
            if (seen.what().equals(Observation.TOLD) && seen.figure() > 0) {
                toldStart.put(seen.router() + ">" + seen.engine(), seen.at());
            } else if (seen.what().equals(Observation.ARRIVED)) {
                looked(Rule.COLD_NOT_PUSHED);
                ArrayDeque<Observation> window = lately.computeIfAbsent(seen.engine(), e -> new ArrayDeque<>());
                window.add(seen);
                while (seen.at() - window.peek().at() > rules.fallAfter()) {
                    window.poll();
                }
            } else if (seen.what().equals(Observation.FELL)) {
                ArrayDeque<Observation> window = lately.getOrDefault(seen.engine(), new ArrayDeque<>());
                long informed = window.stream()
                        .filter(one -> {
                            Long at = toldStart.get(one.router() + ">" + one.engine());
                            return at != null && at + slack <= one.at() && one.at() - at <= rules.warmAfter();
                        })
                        .count();
                if (informed * 3 >= window.size() * 2L) {
                    breach(
                            Rule.COLD_NOT_PUSHED,
                            seen.at(),
                            seen.engine() + " fell over at " + String.format("%.1f", seen.figure())
                                    + " times what it bears; " + informed + " of " + window.size()
                                    + " calls came from routers that knew it was cold");
                }
            }
        }
    }

    private void ration(List<Observation> inTime, Map<String, Try> tries) {
        if (rules.rationWindow() <= 0) {
            return;
        }
        Map<String, ArrayDeque<Long>> orders = new HashMap<>();
        Map<String, ArrayDeque<Long>> taken = new HashMap<>();
        for (Observation seen : inTime) {
            if (seen.what().equals(Observation.KILLED)) {
                orders.remove(seen.router());
                taken.remove(seen.router());
            } else if (seen.what().equals(Observation.SENT)) {
                Try one = tries.get(seen.call());
                if (one.end == null || !one.end.note().equals("unreachable")) {
                    taken.computeIfAbsent(seen.router(), r -> new ArrayDeque<>())
                            .add(seen.at());
                }
            } else if (seen.what().equals(Observation.ORDERED) && seen.figure() > 0) {
                looked(Rule.ORDERS_RATIONED);
                ArrayDeque<Long> given = orders.computeIfAbsent(seen.router(), r -> new ArrayDeque<>());
                ArrayDeque<Long> calls = taken.computeIfAbsent(seen.router(), r -> new ArrayDeque<>());
                given.add(seen.at());
                while (seen.at() - given.peek() > rules.rationWindow() - slack) {
                    given.poll();
                }
                while (!calls.isEmpty() && seen.at() - calls.peek() > rules.rationWindow() + slack) {
                    calls.poll();
                }
                double most = rules.rationFree() + rules.rationShare() * calls.size();
                if (given.size() > most) {
                    breach(
                            Rule.ORDERS_RATIONED,
                            seen.at(),
                            seen.router() + " gave " + given.size()
                                    + " orders to load within the window; its calls allow "
                                    + String.format("%.1f", most));
                }
            }
        }
    }
}
