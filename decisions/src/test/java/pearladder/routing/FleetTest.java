package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
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
import pearladder.routing.api.RoutingSettings.SlowStartSettings;
import pearladder.routing.api.TimeSpan;

/** Tests the combined load of many routers, each of which knows only its own traffic, on one fleet of workers. */
class FleetTest {
    private static final int WORKERS = 40;
    /** Requests per second at a warm worker. */
    private static final double RATE_PER_WORKER = 8;

    private static final int FUNCTIONS = 120;
    private static final TimeSpan REQUEST_TIME = TimeSpan.millis(120);
    private static final TimeSpan LOAD_TIME = TimeSpan.millis(800);
    private static final MonotonicTime STARTED_AT = new MonotonicTime(1_000_000_000_000L);
    /** The worker that is restarted. */
    private static final String COLD_WORKER = "w0";

    /** @param number the position in the order of scheduling, which decides between tasks at the same time */
    private record ScheduledTask(MonotonicTime at, long number, Runnable task) {}

    private final PriorityQueue<ScheduledTask> tasks =
            new PriorityQueue<>(Comparator.comparing(ScheduledTask::at).thenComparingLong(ScheduledTask::number));
    private final Map<String, Integer> attemptCounts = new HashMap<>();
    private final Map<String, String> functionByRequest = new HashMap<>();
    private final Map<String, Set<String>> loadedFunctions = new HashMap<>();
    private final Set<String> lostWorkers = new HashSet<>();
    private final List<MonotonicTime> sentToColdAt = new ArrayList<>();
    private RoutingSettings settings;
    private MonotonicTime now = STARTED_AT;
    /** When the cold worker was restarted; null before that. */
    private MonotonicTime coldSince;

    private long nextNumber;

    private final class Router {
        /** Weight of this router's traffic relative to the other routers. */
        final double trafficWeight;

        StickyFirstFitPolicy policy;

        Router(double trafficWeight) {
            this.trafficWeight = trafficWeight;
        }

        /** Starts a new process, which knows only the endpoint list. */
        void start(long seed) {
            policy = new StickyFirstFitPolicy(seed, settings);
            on(endpointsUpdated(EndpointUpdateKind.CACHED));
        }

        void on(Event event) {
            for (Action action : policy.handle(now, event)) {
                if (action instanceof Action.SetTimer timer) {
                    scheduleInProcess(timer.dueAt().since(now), () -> on(new Event.TimerFired(timer.tag())));
                } else if (action instanceof Action.SendAttempt send) {
                    send(send);
                }
            }
        }

        /** Runs a task after a delay, unless this router has been restarted by then. */
        private void scheduleInProcess(TimeSpan delay, Runnable task) {
            StickyFirstFitPolicy process = policy;
            schedule(delay, () -> {
                if (policy == process) {
                    task.run();
                }
            });
        }

        private void send(Action.SendAttempt send) {
            int attempt = attemptCounts.merge(send.requestId(), 1, Integer::sum) - 1;
            if (send.worker().equals(COLD_WORKER) && coldSince != null) {
                sentToColdAt.add(now);
            }
            boolean wasLoaded = !loadedFunctions
                    .computeIfAbsent(send.worker(), worker -> new HashSet<>())
                    .add(functionByRequest.get(send.requestId()));
            TimeSpan elapsed = wasLoaded ? REQUEST_TIME : REQUEST_TIME.plus(LOAD_TIME);
            scheduleInProcess(elapsed, () -> on(attemptEnded(send, attempt, wasLoaded, elapsed)));
        }

        private Event attemptEnded(Action.SendAttempt send, int attempt, boolean wasLoaded, TimeSpan elapsed) {
            boolean isLost = lostWorkers.contains(send.worker());
            return new Event.AttemptEnded(
                    send.requestId(),
                    attempt,
                    send.worker(),
                    isLost ? Outcome.UNREACHABLE : Outcome.SUCCESS,
                    elapsed,
                    !isLost,
                    wasLoaded ? InstanceStatus.STOOD : InstanceStatus.LOAD_BEGUN,
                    0,
                    new Event.WorkerLoadReport(Double.NaN, 1, Double.NaN, 0.2, Double.NaN));
        }
    }

    private void schedule(TimeSpan delay, Runnable task) {
        tasks.add(new ScheduledTask(now.plus(delay.atLeast(TimeSpan.ZERO)), nextNumber++, task));
    }

    private void runUntil(MonotonicTime until) {
        while (!tasks.isEmpty() && tasks.peek().at().isBefore(until)) {
            ScheduledTask next = tasks.poll();
            now = next.at();
            next.task().run();
        }
        now = until;
    }

    private Event.EndpointsUpdated endpointsUpdated(EndpointUpdateKind kind) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            String worker = "w" + i;
            EndpointState state = lostWorkers.contains(worker) ? EndpointState.GONE : EndpointState.IN_SERVICE;
            MonotonicTime startedAt = worker.equals(COLD_WORKER) ? coldSince : null;
            endpoints.add(PolicyHarness.endpoint(worker, "a", state, startedAt));
        }
        return new Event.EndpointsUpdated(kind, endpoints);
    }

    /** Schedules the next request of a Poisson process; each request schedules the following one. */
    private void scheduleTraffic(List<Router> routers, Random random, double requestsPerSecond) {
        double secondsToNext = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
        schedule(TimeSpan.seconds(secondsToNext), () -> {
            Router router = randomRouter(routers, random);
            router.on(randomRequest(random));
            scheduleTraffic(routers, random, requestsPerSecond);
        });
    }

    private static Router randomRouter(List<Router> routers, Random random) {
        double totalWeight =
                routers.stream().mapToDouble(router -> router.trafficWeight).sum();
        double position = random.nextDouble() * totalWeight;
        int index = 0;
        while (index < routers.size() - 1 && (position -= routers.get(index).trafficWeight) > 0) {
            index++;
        }
        return routers.get(index);
    }

    /** Returns a request of a random function; few functions get most of the requests. */
    private Event.RequestArrived randomRequest(Random random) {
        String requestId = "call" + nextNumber;
        String function = "f" + (int) (FUNCTIONS * Math.pow(random.nextDouble(), 3));
        functionByRequest.put(requestId, function);
        return new Event.RequestArrived(
                requestId,
                function,
                TestSettings.IDEMPOTENT.name(),
                null,
                TimeSpan.seconds(4),
                2,
                100,
                LOAD_TIME,
                null,
                false,
                false);
    }

    /**
     * Guards against an overload of a cold worker by routers that all use their remaining tokens for it at the same
     * moment, when other workers are lost. Within any overload time it must not get more requests than the settings
     * allow, plus a margin for random variation. Some routers have four times the traffic of the others; some restart
     * with the worker and have no history.
     */
    @ParameterizedTest
    @CsvSource({"3, 1, 4", "20, 2, 12", "30, 1, 4", "100, 1, 4", "100, 2, 8", "100, 3, 12", "100, 4, 13"})
    void coldWorkerIsNotOverloadedByAllRoutersTogether(int routerCount, long seed, int lostAfterSeconds) {
        settings = TestSettings.withRouterCount(routerCount);
        Random random = new Random(seed);
        List<Router> routers = startRouters(routerCount, random);
        scheduleTraffic(routers, random, WORKERS * RATE_PER_WORKER);
        runUntil(STARTED_AT.plus(TimeSpan.seconds(12)));
        restartColdWorker(routers, random);
        runUntil(coldSince.plus(TimeSpan.seconds(lostAfterSeconds)));
        loseAThirdOfTheOtherWorkers(routers);
        runUntil(coldSince.plus(settings.slowStart().warmUpTime()));
        assertColdWorkerIsNeverOverloaded();
        assertTrue(sentToColdAt.size() > RATE_PER_WORKER, "too few sent to the cold worker: " + sentToColdAt.size());
    }

    private List<Router> startRouters(int routerCount, Random random) {
        List<Router> routers = new ArrayList<>();
        for (int i = 0; i < routerCount; i++) {
            routers.add(new Router(i % 10 == 3 ? 4 : 1));
        }
        routers.forEach(router -> router.start(random.nextLong()));
        return routers;
    }

    private void restartColdWorker(List<Router> routers, Random random) {
        coldSince = now;
        loadedFunctions.remove(COLD_WORKER);
        for (int i = 0; i < routers.size(); i++) {
            Router router = routers.get(i);
            TimeSpan delay = TimeSpan.millis(random.nextInt(300));
            schedule(delay, () -> router.on(endpointsUpdated(EndpointUpdateKind.DELTA)));
            if (i % 7 == 2) {
                schedule(TimeSpan.millis(500), () -> router.start(random.nextLong()));
            }
        }
    }

    /** Removes the workers at the same moment, so that their requests need capacity on all others. */
    private void loseAThirdOfTheOtherWorkers(List<Router> routers) {
        for (int i = 1; i <= WORKERS / 3; i++) {
            lostWorkers.add("w" + i);
        }
        routers.forEach(router -> router.on(endpointsUpdated(EndpointUpdateKind.DELTA)));
    }

    private void assertColdWorkerIsNeverOverloaded() {
        double worstRatio = 0;
        String worstCase = "";
        ArrayDeque<MonotonicTime> window = new ArrayDeque<>();
        for (MonotonicTime sentAt : sentToColdAt) {
            window.add(sentAt);
            while (sentAt.since(window.peek()).isLongerThan(settings.slowStart().overloadTime())) {
                window.poll();
            }
            double allowed = allowedRequests(sentAt);
            double bound = allowed + 2 * Math.sqrt(allowed) + 2;
            if (window.size() / bound > worstRatio) {
                worstRatio = window.size() / bound;
                worstCase = String.format(
                        "%.1f s after the restart: %d requests, %.1f allowed, %.1f with random variation; %d in all",
                        sentAt.since(coldSince).toSeconds(), window.size(), allowed, bound, sentToColdAt.size());
            }
        }
        assertTrue(worstRatio <= 1, worstCase);
    }

    /** Returns the requests within the overload time that the cold worker can take at a time of its warm-up. */
    private double allowedRequests(MonotonicTime at) {
        SlowStartSettings slowStart = settings.slowStart();
        double progress = at.since(coldSince).dividedBy(slowStart.warmUpTime());
        double initialShare = slowStart.initialCapacityShare();
        double capacityShare = initialShare + (1 - initialShare) * progress;
        return slowStart.overloadFactor()
                * capacityShare
                * RATE_PER_WORKER
                * slowStart.overloadTime().toSeconds();
    }
}
