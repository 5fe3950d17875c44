package pearladder.routing;

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
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.Event.Endpoint;
import pearladder.routing.api.Event.EndpointState;
import pearladder.routing.api.Event.EndpointUpdateKind;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;

/** Many routers against one fleet, each knowing its own traffic only: what they do together. */
class FleetTest {
    private static final int WORKERS = 40;
    private static final double PER_WORKER = 8; // calls a second at a warm worker
    private static final int FUNCTIONS = 120;
    private static final TimeSpan TAKES = TimeSpan.millis(120);
    private static final TimeSpan LOADS = TimeSpan.millis(800);
    private static final MonotonicTime BEGUN = new MonotonicTime(1_000_000_000_000L);
    private static final String COLD = "w0";

    private record Due(MonotonicTime at, long number, Runnable what) {}

    private final class Router {
        final double share;
        StickyFirstFitPolicy policy;
        MonotonicTime told = BEGUN;

        Router(double share) {
            this.share = share;
        }

        /** Knows nothing but the list. */
        void begin(long seed) {
            policy = new StickyFirstFitPolicy(seed, facts);
            on(listed(EndpointUpdateKind.CACHED));
            told = now;
        }

        void on(Event event) {
            StickyFirstFitPolicy mine = policy;
            for (Action action : policy.handle(now, event)) {
                if (action instanceof Action.SetTimer wake) {
                    after(wake.dueAt().since(now), () -> {
                        if (policy == mine) {
                            on(new Event.TimerFired(wake.tag()));
                        }
                    });
                } else if (action instanceof Action.SendAttempt send) {
                    int leg = legs.merge(send.requestId(), 1, Integer::sum) - 1;
                    if (send.worker().equals(COLD) && cold != null) {
                        reached.add(now);
                    }
                    boolean stood = !standing.computeIfAbsent(send.worker(), id -> new HashSet<>())
                            .add(functions.get(send.requestId()));
                    TimeSpan took = stood ? TAKES : TAKES.plus(LOADS);
                    after(took, () -> {
                        if (policy == mine) {
                            boolean down = lost.contains(send.worker());
                            on(new Event.AttemptEnded(
                                    send.requestId(),
                                    leg,
                                    send.worker(),
                                    down ? Outcome.UNREACHABLE : Outcome.SUCCESS,
                                    took,
                                    !down,
                                    stood ? InstanceStatus.STOOD : InstanceStatus.LOAD_BEGUN,
                                    0,
                                    new Event.WorkerLoadReport(Double.NaN, 1, Double.NaN, 0.2, Double.NaN)));
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
    private final List<MonotonicTime> reached = new ArrayList<>();
    private RoutingSettings facts;
    private MonotonicTime now = BEGUN;
    private MonotonicTime cold;
    private long numbered;

    private void after(TimeSpan span, Runnable what) {
        due.add(new Due(now.plus(span.atLeast(TimeSpan.ZERO)), numbered++, what));
    }

    private void until(MonotonicTime until) {
        while (!due.isEmpty() && due.peek().at().isBefore(until)) {
            Due next = due.poll();
            now = next.at();
            next.what().run();
        }
        now = until;
    }

    private Event.EndpointsUpdated listed(EndpointUpdateKind kind) {
        List<Endpoint> listings = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            String id = "w" + i;
            listings.add(Rig.listing(
                    id,
                    "a",
                    lost.contains(id) ? EndpointState.GONE : EndpointState.IN_SERVICE,
                    id.equals(COLD) ? cold : null));
        }
        return new Event.EndpointsUpdated(kind, listings);
    }

    private void traffic(List<Router> routers, Random chance, double perSecond) {
        after(TimeSpan.seconds(-Math.log(1 - chance.nextDouble()) / perSecond), () -> {
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
                    .on(new Event.RequestArrived(
                            id,
                            functions.get(id),
                            Rig.RETRIABLE.name(),
                            null,
                            TimeSpan.seconds(4),
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
        until(BEGUN.plus(TimeSpan.seconds(12)));
        cold = now;
        standing.remove(COLD);
        for (int i = 0; i < count; i++) {
            Router router = routers.get(i);
            after(TimeSpan.millis(chance.nextInt(300)), () -> router.on(listed(EndpointUpdateKind.DELTA)));
            if (i % 7 == 2) {
                after(TimeSpan.millis(500), () -> router.begin(chance.nextLong()));
            }
        }
        until(cold.plus(TimeSpan.seconds(lostAfterSeconds)));
        // a third of the others go at once, so that their calls look for room everywhere
        for (int i = 1; i <= WORKERS / 3; i++) {
            lost.add("w" + i);
        }
        routers.forEach(router -> router.on(listed(EndpointUpdateKind.DELTA)));
        until(cold.plus(facts.slowStart().warmUpTime()));

        RoutingSettings.SlowStartSettings rule = facts.slowStart();
        double worst = 0;
        String story = "";
        ArrayDeque<MonotonicTime> window = new ArrayDeque<>();
        for (MonotonicTime at : reached) {
            window.add(at);
            while (at.since(window.peek()).isLongerThan(rule.overloadTime())) {
                window.poll();
            }
            double present = rule.initialCapacityShare()
                    + (1 - rule.initialCapacityShare()) * at.since(cold).dividedBy(rule.warmUpTime());
            double allowed = rule.overloadFactor()
                    * present
                    * PER_WORKER
                    * rule.overloadTime().toSeconds();
            double bound = allowed + 2 * Math.sqrt(allowed) + 2;
            if (window.size() / bound > worst) {
                worst = window.size() / bound;
                story = String.format(
                        "%.1f s after its start: %d calls, %.1f are allowed, %.1f with chance; %d in all",
                        at.since(cold).toSeconds(), window.size(), allowed, bound, reached.size());
            }
        }
        assertTrue(worst <= 1, story);
        assertTrue(reached.size() > PER_WORKER, "it gets work all the same: " + reached.size());
    }
}
