package pearladder.testbed;

import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;

/**
 * Measures the cost of a request in the routing policy alone, without sockets: microseconds and allocated bytes for its
 * arrival, the ends of its attempts and its share of the ticks, by fleet size. Time is simulated; attempts succeed
 * after 20 ms on a loaded instance.
 */
public final class DecisionCost {
    /** Creates instances of a policy. */
    public interface PolicyFactory {
        /** Creates an instance with the given settings, whose random choices are derived from the seed. */
        RoutingPolicy make(long seed, RoutingSettings settings);
    }

    private static final int MODELS = 400;
    private static final int REQUESTS = 60_000;
    private static final double REQUESTS_PER_SECOND_AND_WORKER = 12;
    private static final TimeSpan LATENCY = TimeSpan.millis(20);
    private static final MonotonicTime START = new MonotonicTime(1_000_000_000_000L);
    /** The policy's name for its periodic timer. */
    private static final String TICK = "beat";

    private static final long POLICY_SEED = 1;
    private static final long LOAD_SEED = 5;

    private record PendingAttempt(MonotonicTime dueAt, Event.AttemptEnded end) {}

    /** The cost measured in one round, for each request. */
    private record Cost(double micros, double bytes, double rejectedShare) {}

    private final RoutingPolicy policy;
    private final com.sun.management.ThreadMXBean threads =
            (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
    private final long threadId = Thread.currentThread().getId();
    private final Deque<PendingAttempt> attempts = new ArrayDeque<>();
    private final Deque<MonotonicTime> ticks = new ArrayDeque<>();
    private long rejected;
    private long spentNanos;
    private long allocatedBytes;

    private DecisionCost(RoutingPolicy policy) {
        this.policy = policy;
    }

    /**
     * Measures a policy.
     *
     * @param sizes numbers of workers
     * @return lines of a table: a row for each size, medians over the rounds
     */
    public static List<String> run(PolicyFactory factory, int rounds, int... sizes) {
        List<String> rows = new ArrayList<>();
        rows.add(String.format(
                Locale.ROOT,
                "%-10s %26s %12s %12s %14s",
                "engines",
                "us a call",
                "bytes a call",
                "dismissed",
                "calls a round"));
        for (int size : sizes) {
            rows.add(row(factory, rounds, size));
        }
        return rows;
    }

    /** Returns the median over the rounds of the cost of a request, in microseconds, with {@code size} workers. */
    public static double micros(PolicyFactory factory, int rounds, int size) {
        measure(factory, size);
        double[] micros = new double[rounds];
        for (int i = 0; i < rounds; i++) {
            micros[i] = measure(factory, size).micros();
        }
        Arrays.sort(micros);
        return micros[rounds / 2];
    }

    private static String row(PolicyFactory factory, int rounds, int size) {
        measure(factory, size);
        double[] micros = new double[rounds];
        double[] bytes = new double[rounds];
        double rejectedShare = 0;
        for (int i = 0; i < rounds; i++) {
            Cost cost = measure(factory, size);
            micros[i] = cost.micros();
            bytes[i] = cost.bytes();
            rejectedShare = cost.rejectedShare();
        }
        Arrays.sort(micros);
        Arrays.sort(bytes);
        String range =
                String.format(Locale.ROOT, "%.1f (%.1f to %.1f)", micros[rounds / 2], micros[0], micros[rounds - 1]);
        return String.format(
                Locale.ROOT,
                "%-10d %26s %12.0f %11.1f%% %14d",
                size,
                range,
                bytes[rounds / 2],
                100 * rejectedShare,
                REQUESTS);
    }

    private static Cost measure(PolicyFactory factory, int workers) {
        return new DecisionCost(factory.make(POLICY_SEED, settings())).run(workers);
    }

    private static RoutingSettings settings() {
        return new RoutingSettings(
                0,
                3,
                "east",
                TimeSpan.millis(5),
                List.of(requestClass()),
                List.of(),
                new RoutingSettings.AttemptLimits(
                        3, false, true, false, false, true, TimeSpan.seconds(2), 1, false, TimeSpan.millis(250)),
                new RoutingSettings.ResponseGrace(TimeSpan.millis(15), TimeSpan.seconds(1)),
                new RoutingSettings.SlowStartSettings(0.25, TimeSpan.seconds(15), 2, TimeSpan.millis(1500)),
                new RoutingSettings.LoadQuota(0, 0, TimeSpan.ZERO),
                new RoutingSettings.InstanceSettings(
                        TimeSpan.seconds(10), true, true, TimeSpan.seconds(10), true, true, List.of(6000.0)),
                new RoutingSettings.LoadReportSettings(List.of("waiting", "loads"), true),
                new RoutingSettings.DiscoverySettings(false, TimeSpan.ZERO),
                new RoutingSettings.CostModel(0, 0, 0, 0, 0, 0));
    }

    private static RoutingSettings.RequestClass requestClass() {
        return new RoutingSettings.RequestClass(
                "draft",
                TimeSpan.seconds(1),
                TimeSpan.seconds(3),
                1,
                0,
                RoutingSettings.Idempotency.RETRIABLE,
                RoutingSettings.DeduplicationScope.ALL,
                TimeSpan.ZERO,
                false,
                0);
    }

    /** Runs one round; the request rate is proportional to the number of workers. */
    private Cost run(int workers) {
        SplittableRandom random = new SplittableRandom(LOAD_SEED);
        TimeSpan interval = TimeSpan.seconds(1.0 / (REQUESTS_PER_SECOND_AND_WORKER * workers));
        MonotonicTime now = START;
        List<Event> events = new ArrayList<>();
        events.add(new Event.EndpointsUpdated(Event.EndpointUpdateKind.SNAPSHOT, endpoints(workers)));
        for (int request = 0; request < REQUESTS; request++) {
            now = now.plus(interval);
            addDue(events, now);
            // The cube skews the distribution: a few models get most of the requests.
            int model = (int) (MODELS * Math.pow(random.nextDouble(), 3));
            events.add(arrival(request, model));
            for (Event event : events) {
                handle(now, event);
            }
            events.clear();
        }
        return new Cost(spentNanos / 1e3 / REQUESTS, (double) allocatedBytes / REQUESTS, (double) rejected / REQUESTS);
    }

    private static List<Event.Endpoint> endpoints(int workers) {
        List<Event.Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            endpoints.add(new Event.Endpoint("engine-" + i, "east", "std", 0, Event.EndpointState.IN_SERVICE, 1, null));
        }
        return endpoints;
    }

    /** Adds the ends of the attempts that have ended by now, and a single tick even if several are due. */
    private void addDue(List<Event> events, MonotonicTime now) {
        while (!attempts.isEmpty() && attempts.peek().dueAt().isBefore(now)) {
            events.add(attempts.poll().end());
        }
        if (!ticks.isEmpty() && ticks.peek().isBefore(now)) {
            ticks.clear();
            events.add(new Event.TimerFired(TICK));
        }
    }

    private static Event arrival(int request, int model) {
        return new Event.RequestArrived(
                "c" + request,
                "model-" + model,
                "draft",
                null,
                TimeSpan.seconds(3),
                2,
                400,
                TimeSpan.millis(600),
                null,
                false,
                false);
    }

    private void handle(MonotonicTime now, Event event) {
        long allocatedBefore = threads.getThreadAllocatedBytes(threadId);
        long startedAt = System.nanoTime();
        List<Action> actions = policy.handle(now, event);
        spentNanos += System.nanoTime() - startedAt;
        allocatedBytes += threads.getThreadAllocatedBytes(threadId) - allocatedBefore;
        for (Action action : actions) {
            perform(now, action);
        }
    }

    private void perform(MonotonicTime now, Action action) {
        if (action instanceof Action.SendAttempt send) {
            attempts.add(new PendingAttempt(now.plus(LATENCY), success(send)));
        } else if (action instanceof Action.Reject) {
            rejected++;
        } else if (action instanceof Action.SetTimer timer && timer.tag().equals(TICK)) {
            ticks.add(timer.dueAt());
        }
    }

    private static Event.AttemptEnded success(Action.SendAttempt send) {
        return new Event.AttemptEnded(
                send.requestId(),
                0,
                send.worker(),
                Outcome.SUCCESS,
                LATENCY,
                true,
                Event.InstanceStatus.STOOD,
                0,
                new Event.WorkerLoadReport(1, 0, 0.3, 0, 0.2));
    }
}
