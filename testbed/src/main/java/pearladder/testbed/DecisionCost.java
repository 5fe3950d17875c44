package pearladder.testbed;

import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
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
 * What one call costs the module itself, with no socket: microseconds and bytes for a call's coming, its legs' ends and
 * its share of the beats, at a fleet's size. Time is the script's own; answers come 20 ms later, found loaded.
 */
public final class DecisionCost {
    /** Makes a module's instance. */
    public interface Maker {
        RoutingPolicy make(long seed, RoutingSettings facts);
    }

    private static final int MODELS = 400;

    private record Out(MonotonicTime due, Event.AttemptEnded end) {}

    private DecisionCost() {}

    /** Lines of a table: a row for each size, medians over the rounds. */
    public static List<String> run(Maker maker, int rounds, int... sizes) {
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
            double[] micros = new double[rounds];
            double[] bytes = new double[rounds];
            double dismissed = 0;
            int calls = 60_000;
            round(maker, size, calls);
            for (int i = 0; i < rounds; i++) {
                double[] figures = round(maker, size, calls);
                micros[i] = figures[0];
                bytes[i] = figures[1];
                dismissed = figures[2];
            }
            Arrays.sort(micros);
            Arrays.sort(bytes);
            rows.add(String.format(
                    Locale.ROOT,
                    "%-10d %26s %12.0f %11.1f%% %14d",
                    size,
                    String.format(
                            Locale.ROOT, "%.1f (%.1f to %.1f)", micros[rounds / 2], micros[0], micros[rounds - 1]),
                    bytes[rounds / 2],
                    100 * dismissed,
                    calls));
        }
        return rows;
    }

    private static RoutingSettings facts() {
        return new RoutingSettings(
                0,
                3,
                "east",
                TimeSpan.millis(5),
                List.of(new RoutingSettings.RequestClass(
                        "draft",
                        TimeSpan.seconds(1),
                        TimeSpan.seconds(3),
                        1,
                        0,
                        RoutingSettings.Idempotency.RETRIABLE,
                        RoutingSettings.DeduplicationScope.ALL,
                        TimeSpan.ZERO,
                        false,
                        0)),
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

    /** Microseconds a call, bytes a call, share dismissed. The rate grows with the fleet: 12 calls a second an engine. */
    private static double[] round(Maker maker, int engines, int calls) {
        RoutingPolicy module = maker.make(1, facts());
        SplittableRandom random = new SplittableRandom(5);
        List<Event.Endpoint> listings = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            listings.add(new Event.Endpoint("engine-" + i, "east", "std", 0, Event.EndpointState.IN_SERVICE, 1, null));
        }
        MonotonicTime now = new MonotonicTime(1_000_000_000_000L);
        ArrayDeque<Out> out = new ArrayDeque<>();
        ArrayDeque<MonotonicTime> beats = new ArrayDeque<>();
        long dismissed = 0;
        long spent = 0;
        long allocated = 0;
        TimeSpan gap = TimeSpan.seconds(1.0 / (12.0 * engines));
        var memory = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long thread = Thread.currentThread().getId();
        List<Event> events = new ArrayList<>();
        events.add(new Event.EndpointsUpdated(Event.EndpointUpdateKind.SNAPSHOT, listings));
        for (int call = 0; call < calls; call++) {
            now = now.plus(gap);
            while (!out.isEmpty() && out.peek().due().isBefore(now)) {
                events.add(out.poll().end());
            }
            if (!beats.isEmpty() && beats.peek().isBefore(now)) {
                beats.clear();
                events.add(new Event.TimerFired("beat"));
            }
            int model = (int) (MODELS * Math.pow(random.nextDouble(), 3));
            events.add(new Event.RequestArrived(
                    "c" + call,
                    "model-" + model,
                    "draft",
                    null,
                    TimeSpan.seconds(3),
                    2,
                    400,
                    TimeSpan.millis(600),
                    null,
                    false,
                    false));
            for (Event event : events) {
                long bytes = memory.getThreadAllocatedBytes(thread);
                long begun = System.nanoTime();
                List<Action> actions = module.handle(now, event);
                spent += System.nanoTime() - begun;
                allocated += memory.getThreadAllocatedBytes(thread) - bytes;
                for (Action action : actions) {
                    if (action instanceof Action.SendAttempt send) {
                        out.add(new Out(
                                now.plus(TimeSpan.millis(20)),
                                new Event.AttemptEnded(
                                        send.requestId(),
                                        0,
                                        send.worker(),
                                        Outcome.SUCCESS,
                                        TimeSpan.millis(20),
                                        true,
                                        Event.InstanceStatus.STOOD,
                                        0,
                                        new Event.WorkerLoadReport(1, 0, 0.3, 0, 0.2))));
                    } else if (action instanceof Action.Reject) {
                        dismissed++;
                    } else if (action instanceof Action.SetTimer wake
                            && wake.tag().equals("beat")) {
                        beats.add(wake.dueAt());
                    }
                }
            }
            events.clear();
        }
        return new double[] {spent / 1e3 / calls, (double) allocated / calls, (double) dismissed / calls};
    }
}
