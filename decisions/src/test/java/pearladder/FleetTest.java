package pearladder;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pearladder.api.Action;
import pearladder.api.Event;
import pearladder.api.Event.Copy;
import pearladder.api.Event.ListKind;
import pearladder.api.Event.Listing;
import pearladder.api.Event.Standing;
import pearladder.api.Facts;
import pearladder.api.Moment;
import pearladder.api.Outcome;
import pearladder.api.Span;

/** Many routers against one fleet, each knowing its own traffic only: what they do together. */
class FleetTest {
    private static final int WORKERS = 40;
    private static final double PER_WORKER = 8; // calls a second at a warm worker
    private static final int FUNCTIONS = 120;
    private static final Span TAKES = Span.millis(120);
    private static final Span LOADS = Span.millis(800);
    private static final Moment BEGUN = new Moment(1_000_000_000_000L);
    private static final String COLD = "w0";

    private record Due(Moment at, long number, Runnable what) {}

    private final class Router {
        final double share;
        Policy policy;
        Moment told = BEGUN;

        Router(double share) {
            this.share = share;
        }

        /** Knows nothing but the list. */
        void begin(long seed) {
            policy = new Policy(seed, facts);
            on(listed(ListKind.REMEMBERED));
            told = now;
        }

        void on(Event event) {
            Policy mine = policy;
            for (Action action : policy.on(now, event)) {
                if (action instanceof Action.Wake wake) {
                    after(wake.at().since(now), () -> {
                        if (policy == mine) {
                            on(new Event.Due(wake.tag()));
                        }
                    });
                } else if (action instanceof Action.Send send) {
                    int leg = legs.merge(send.call(), 1, Integer::sum) - 1;
                    if (send.worker().equals(COLD) && cold != null) {
                        reached.add(now);
                    }
                    boolean stood = !standing.computeIfAbsent(send.worker(), id -> new HashSet<>())
                            .add(functions.get(send.call()));
                    Span took = stood ? TAKES : TAKES.plus(LOADS);
                    after(took, () -> {
                        if (policy == mine) {
                            boolean down = lost.contains(send.worker());
                            on(new Event.LegEnded(
                                    send.call(),
                                    leg,
                                    send.worker(),
                                    down ? Outcome.UNREACHABLE : Outcome.SUCCESS,
                                    took,
                                    !down,
                                    stood ? Copy.STOOD : Copy.LOAD_BEGUN,
                                    0,
                                    new Event.Report(Double.NaN, 1, Double.NaN, 0.2, Double.NaN)));
                        }
                    });
                }
            }
        }
    }

    private final PriorityQueue<Due> due = new PriorityQueue<>(
            (a, b) -> a.at().equals(b.at()) ? Long.compare(a.number(), b.number()) : a.at().compareTo(b.at()));
    private final Map<String, Integer> legs = new HashMap<>();
    private final Map<String, String> functions = new HashMap<>();
    private final Map<String, Set<String>> standing = new HashMap<>();
    private final Set<String> lost = new HashSet<>();
    private final List<Moment> reached = new ArrayList<>();
    private Facts facts;
    private Moment now = BEGUN;
    private Moment cold;
    private long numbered;

    private void after(Span span, Runnable what) {
        due.add(new Due(now.plus(span.atLeast(Span.NONE)), numbered++, what));
    }

    private void until(Moment until) {
        while (!due.isEmpty() && due.peek().at().before(until)) {
            Due next = due.poll();
            now = next.at();
            next.what().run();
        }
        now = until;
    }

    private Event.Listed listed(ListKind kind) {
        List<Listing> listings = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            String id = "w" + i;
            listings.add(Rig.listing(
                    id, "a", lost.contains(id) ? Standing.GONE : Standing.IN_SERVICE, id.equals(COLD) ? cold : null));
        }
        return new Event.Listed(kind, listings);
    }

    private void traffic(List<Router> routers, Random chance, double perSecond) {
        after(Span.seconds(-Math.log(1 - chance.nextDouble()) / perSecond), () -> {
            double at = chance.nextDouble()
                    * routers.stream().mapToDouble(router -> router.share).sum();
            int i = 0;
            while (i < routers.size() - 1 && (at -= routers.get(i).share) > 0) {
                i++;
            }
            String id = "call" + numbered;
            // few functions have most of the calls
            functions.put(id, "f" + (int) (FUNCTIONS * Math.pow(chance.nextDouble(), 3)));
            routers.get(i)
                    .on(new Event.CallCame(
                            id,
                            functions.get(id),
                            Rig.RETRIABLE.name(),
                            null,
                            Span.seconds(4),
                            2,
                            100,
                            LOADS,
                            null,
                            false,
                            false));
            traffic(routers, chance, perSecond);
        });
    }

    /**
     * Guards against routers that each have a little left for a cold worker and spend it in the same moment, when the
     * workers beside it go: in any span in which it may fall it gets what the settings allow it then, N, and beyond that no
     * more than chance. Some routers have several times the mean traffic; some begin anew with it and know nothing.
     */
    @ParameterizedTest
    @CsvSource({"3, 1, 4", "20, 2, 12", "30, 1, 4", "100, 1, 4", "100, 2, 8", "100, 3, 12", "100, 4, 13"})
    void aColdWorkerBearsTheSumOfAllRouters(int count, long seed, int lostAfterSeconds) {
        facts = Rig.among(count);
        Random chance = new Random(seed);
        List<Router> routers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            routers.add(new Router(i % 10 == 3 ? 4 : 1));
        }
        routers.forEach(router -> router.begin(chance.nextLong()));
        traffic(routers, chance, WORKERS * PER_WORKER);
        until(BEGUN.plus(Span.seconds(12)));
        cold = now;
        standing.remove(COLD);
        for (int i = 0; i < count; i++) {
            Router router = routers.get(i);
            after(Span.millis(chance.nextInt(300)), () -> router.on(listed(ListKind.CHANGES)));
            if (i % 7 == 2) {
                after(Span.millis(500), () -> router.begin(chance.nextLong()));
            }
        }
        until(cold.plus(Span.seconds(lostAfterSeconds)));
        // a third of the others go at once, so that their calls look for room everywhere
        for (int i = 1; i <= WORKERS / 3; i++) {
            lost.add("w" + i);
        }
        routers.forEach(router -> router.on(listed(ListKind.CHANGES)));
        until(cold.plus(facts.coldStart().warmAfter()));

        Facts.ColdStart rule = facts.coldStart();
        double worst = 0;
        String story = "";
        ArrayDeque<Moment> window = new ArrayDeque<>();
        for (Moment at : reached) {
            window.add(at);
            while (at.since(window.peek()).longerThan(rule.fallAfter())) {
                window.poll();
            }
            double present =
                    rule.startShare() + (1 - rule.startShare()) * at.since(cold).over(rule.warmAfter());
            double allowed = rule.fallMultiple()
                    * present
                    * PER_WORKER
                    * rule.fallAfter().inSeconds();
            double bound = allowed + 2 * Math.sqrt(allowed) + 2;
            if (window.size() / bound > worst) {
                worst = window.size() / bound;
                story = String.format(
                        "%.1f s after its start: %d calls, %.1f are allowed, %.1f with chance; %d in all",
                        at.since(cold).inSeconds(), window.size(), allowed, bound, reached.size());
            }
        }
        assertTrue(worst <= 1, story);
        assertTrue(reached.size() > PER_WORKER, "it gets work all the same: " + reached.size());
    }
}
