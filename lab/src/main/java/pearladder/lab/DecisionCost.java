package pearladder.lab;

import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import pearladder.api.Action;
import pearladder.api.Dispatcher;
import pearladder.api.Event;
import pearladder.api.Facts;
import pearladder.api.Moment;
import pearladder.api.Outcome;
import pearladder.api.Span;

/**
 * What one call costs the module itself, with no socket: microseconds and bytes for a call's coming, its legs' ends and
 * its share of the beats, at a fleet's size. Time is the script's own; answers come 20 ms later, found loaded.
 */
public final class DecisionCost {
    /** Makes a module's instance. */
    public interface Maker {
        Dispatcher make(long seed, Facts facts);
    }

    private static final int MODELS = 400;

    private record Out(Moment due, Event.LegEnded end) {}

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

    private static Facts facts() {
        return new Facts(
                0,
                3,
                "east",
                Span.millis(5),
                List.of(new Facts.Terms(
                        "draft",
                        Span.seconds(1),
                        Span.seconds(3),
                        1,
                        0,
                        Facts.Effect.RETRIABLE,
                        Facts.Group.ALL,
                        Span.NONE,
                        false,
                        0)),
                List.of(),
                new Facts.Allowances(3, false, true, false, false, true, Span.seconds(2), 1, false, Span.millis(250)),
                new Facts.Answering(Span.millis(15), Span.seconds(1)),
                new Facts.ColdStart(0.25, Span.seconds(15), 2, Span.millis(1500)),
                new Facts.Ration(0, 0, Span.NONE),
                new Facts.Copies(Span.seconds(10), true, true, Span.seconds(10), true, true, List.of(6000.0)),
                new Facts.Reports(List.of("waiting", "loads"), true),
                new Facts.Roll(false, Span.NONE),
                new Facts.Prices(0, 0, 0, 0, 0, 0));
    }

    /** Microseconds a call, bytes a call, share dismissed. The rate grows with the fleet: 12 calls a second an engine. */
    private static double[] round(Maker maker, int engines, int calls) {
        Dispatcher module = maker.make(1, facts());
        SplittableRandom random = new SplittableRandom(5);
        List<Event.Listing> listings = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            listings.add(new Event.Listing("engine-" + i, "east", "std", 0, Event.Standing.IN_SERVICE, 1, null));
        }
        Moment now = new Moment(1_000_000_000_000L);
        ArrayDeque<Out> out = new ArrayDeque<>();
        ArrayDeque<Moment> beats = new ArrayDeque<>();
        long dismissed = 0;
        long spent = 0;
        long allocated = 0;
        Span gap = Span.seconds(1.0 / (12.0 * engines));
        var memory = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long thread = Thread.currentThread().getId();
        List<Event> events = new ArrayList<>();
        events.add(new Event.Listed(Event.ListKind.WHOLE, listings));
        for (int call = 0; call < calls; call++) {
            now = now.plus(gap);
            while (!out.isEmpty() && out.peek().due().before(now)) {
                events.add(out.poll().end());
            }
            if (!beats.isEmpty() && beats.peek().before(now)) {
                beats.clear();
                events.add(new Event.Due("beat"));
            }
            int model = (int) (MODELS * Math.pow(random.nextDouble(), 3));
            events.add(new Event.CallCame(
                    "c" + call,
                    "model-" + model,
                    "draft",
                    null,
                    Span.seconds(3),
                    2,
                    400,
                    Span.millis(600),
                    null,
                    false,
                    false));
            for (Event event : events) {
                long bytes = memory.getThreadAllocatedBytes(thread);
                long begun = System.nanoTime();
                List<Action> actions = module.on(now, event);
                spent += System.nanoTime() - begun;
                allocated += memory.getThreadAllocatedBytes(thread) - bytes;
                for (Action action : actions) {
                    if (action instanceof Action.Send send) {
                        out.add(new Out(
                                now.plus(Span.millis(20)),
                                new Event.LegEnded(
                                        send.call(),
                                        0,
                                        send.worker(),
                                        Outcome.SUCCESS,
                                        Span.millis(20),
                                        true,
                                        Event.Copy.STOOD,
                                        0,
                                        new Event.Report(1, 0, 0.3, 0, 0.2))));
                    } else if (action instanceof Action.Dismiss) {
                        dismissed++;
                    } else if (action instanceof Action.Wake wake && wake.tag().equals("beat")) {
                        beats.add(wake.at());
                    }
                }
            }
            events.clear();
        }
        return new double[] {spent / 1e3 / calls, (double) allocated / calls, (double) dismissed / calls};
    }
}
