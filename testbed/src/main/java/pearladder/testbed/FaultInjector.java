package pearladder.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import pearladder.testbed.ScenarioPlan.Fault;

/**
 * Turns the faults and rollout orders of a script into timed actions. Which workers, routers or models a fault
 * affects is drawn from the scenario's seed when it starts, among those that run then. Not thread-safe.
 */
public final class FaultInjector {
    /** What faults are injected into: real processes, or a simulation. */
    public interface FaultTarget {
        /** The ids of the workers that run, of a zone or of all where it is empty. */
        List<String> runningWorkers(String zone);

        /** The names of the routers of a zone, or of all where it is empty. */
        List<String> routers(String zone);

        /**
         * Sends a command to the workers' control.
         *
         * @param what a word of the control endpoint
         * @param model the models that it concerns, or empty
         * @param figure its meaning is the command's
         */
        void commandWorkers(String what, List<String> workers, String model, double figure);

        /** Kills a router outright. */
        void killRouter(String router);

        /** Starts a router that was killed. */
        void startRouter(String router);

        /** Begins a fault of routers, or ends it where the figure is 0. */
        void injectIntoRouters(ScenarioPlan.FaultKind what, List<String> routers, double figure);

        /** Whether clients retry at once, whatever Retry-After says. */
        void ignoreRetryAfter(boolean on);

        /** Gives an order on rollouts to the routers. */
        void giveRolloutOrder(RolloutScript.Order order);

        /** Reports what happens, for people and for the observation log. */
        void report(String what);
    }

    /** Commands of the workers' control; further ones are in {@link TimedFault}. */
    private static final String KILL = "kill";

    private static final String RESTART = "restart";
    private static final String REPLACE = "replace";
    private static final String RELEASE = "release";
    private static final String SLOW = "slow";
    private static final String RESET_CONNECTIONS = "cable-reset";
    private static final String CUT_REGISTRY = "list-cut";
    private static final String SPLIT_REGISTRY = "list-split";

    /** More workers than this are reported by their number, not by their names. */
    private static final int MAX_NAMED_WORKERS = 12;
    /** The share of all workers that a rolling deployment replaces at a time. */
    private static final double DEPLOYMENT_STEP_SHARE = 0.2;

    private static final int AGEING_STEPS = 10;
    private static final long AGED_RESTART_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Sets the random sequence of faults apart from those of the load. */
    private static final long SEED_FACTOR = 131;

    private static final long SEED_OFFSET = 3;

    private final ScenarioPlan plan;
    private final FaultTarget world;
    private final SplittableRandom random;
    private final TreeMap<Long, List<Runnable>> actions = new TreeMap<>();

    /** Plans the faults and orders of a script; nothing happens before {@link #runDue}. */
    public FaultInjector(ScenarioPlan plan, FaultTarget world) {
        this.plan = plan;
        this.world = world;
        this.random = new SplittableRandom(plan.seed() * SEED_FACTOR + SEED_OFFSET);
        for (Fault fault : plan.faults()) {
            at(fault.startAt(), () -> begin(fault));
        }
        for (RolloutScript.Order order : plan.rolloutOrders()) {
            at(order.at(), () -> give(order));
        }
    }

    private void at(long moment, Runnable action) {
        actions.computeIfAbsent(moment, key -> new ArrayList<>()).add(action);
    }

    /**
     * Does what is due.
     *
     * @param now nanoseconds since the start of the scenario
     * @return when the next action is due, or -1
     */
    public long runDue(long now) {
        while (!actions.isEmpty() && actions.firstKey() <= now) {
            actions.pollFirstEntry().getValue().forEach(Runnable::run);
        }
        return actions.isEmpty() ? -1 : actions.firstKey();
    }

    private void give(RolloutScript.Order order) {
        world.report("order " + order.type().name().toLowerCase(Locale.ROOT) + " " + order.modelPrefix() + " x "
                + order.modelCount());
        world.giveRolloutOrder(order);
    }

    /** Draws a share of some items, one at the least unless the share is 0. */
    private <T> List<T> draw(List<T> from, double share) {
        List<T> left = new ArrayList<>(from);
        List<T> drawn = new ArrayList<>();
        int count = share <= 0 ? 0 : (int) Math.max(1, Math.round(from.size() * share));
        while (drawn.size() < count && !left.isEmpty()) {
            drawn.add(left.remove(random.nextInt(left.size())));
        }
        return drawn;
    }

    private void begin(Fault fault) {
        List<String> workers = draw(world.runningWorkers(fault.zone()), fault.share());
        world.report(fault.kind().code() + details(fault, workers));
        TimedFault timed = TimedFault.of(fault.kind());
        if (timed != null) {
            injectTimed(timed, fault, workers);
        } else {
            inject(fault, workers);
        }
    }

    private String details(Fault fault, List<String> workers) {
        return switch (fault.kind()) {
            case BURST -> " times " + fault.factor();
            case HALL_LOST -> " " + fault.zone() + ": "
                    + world.runningWorkers(fault.zone()).size() + " engines and its routers";
            case ONE_OFFS, HEAVY -> " for " + fault.share() + " of the calls";
            case SLOW_SHELF,
                    REFUSING_SHELF,
                    LIST_SILENT,
                    LIST_CUT,
                    LIST_LAG,
                    ROUTERS_KILLED,
                    RELEASE,
                    DAMAGED_IMAGES,
                    HEEDLESS,
                    ROUTERS_PAUSED,
                    CLOCK_JUMP -> "";
            default -> workers.size() > MAX_NAMED_WORKERS
                    ? ": " + workers.size() + " engines"
                    : " " + String.join(" ", workers);
        };
    }

    private void injectTimed(TimedFault timed, Fault fault, List<String> selected) {
        List<String> zone = timed.scope() == TimedFault.Scope.ZONE ? world.runningWorkers(fault.zone()) : List.of();
        List<String> workers = timed.workers(selected, zone);
        world.commandWorkers(timed.command(), workers, "", timed.figure().applyAsDouble(fault));
        double usual = timed.usual().applyAsDouble(plan);
        at(endOf(fault), () -> world.commandWorkers(timed.command(), workers, "", usual));
    }

    private static long endOf(Fault fault) {
        return fault.startAt() + fault.duration();
    }

    private void inject(Fault fault, List<String> workers) {
        switch (fault.kind()) {
            case BURST, ONE_OFFS, HEAVY -> {
                // the load itself brings these
            }
            case ROLLING_DEPLOY -> deploy(fault, workers);
            case RELEASE -> release(fault);
            case HALL_LOST -> {
                killWorkers(fault, world.runningWorkers(fault.zone()));
                killRouters(fault, world.routers(fault.zone()));
            }
            case ROUTERS_KILLED -> killRouters(fault, draw(world.routers(fault.zone()), fault.share()));
            case ENGINES_KILLED, MASS_RESTART -> killWorkers(fault, workers);
            case AGEING -> age(fault, workers);
            case RESET -> world.commandWorkers(RESET_CONNECTIONS, workers, "", 0);
            case LIST_CUT -> world.commandWorkers(CUT_REGISTRY, List.of(), "", 0);
            case SPLIT_LIST -> splitRegistry(fault, workers);
            case HEEDLESS -> {
                world.ignoreRetryAfter(true);
                at(endOf(fault), () -> world.ignoreRetryAfter(false));
            }
            case ROUTERS_PAUSED, CLOCK_JUMP -> {
                List<String> routers = draw(world.routers(fault.zone()), fault.share());
                world.injectIntoRouters(fault.kind(), routers, fault.factor());
                at(endOf(fault), () -> world.injectIntoRouters(fault.kind(), routers, 0));
            }
            default -> throw new IllegalStateException("no way to inject " + fault.kind());
        }
    }

    /** Kills workers outright and restarts them at the end of the fault. */
    private void killWorkers(Fault fault, List<String> workers) {
        world.commandWorkers(KILL, workers, "", 0);
        at(endOf(fault), () -> world.commandWorkers(RESTART, workers, "", 0));
    }

    /** Kills routers outright and restarts them at the end of the fault. */
    private void killRouters(Fault fault, List<String> routers) {
        routers.forEach(world::killRouter);
        at(endOf(fault), () -> routers.forEach(world::startRouter));
    }

    /** Every second router gets an endpoint list without the workers. */
    private void splitRegistry(Fault fault, List<String> workers) {
        List<String> routers = world.routers("");
        List<String> misled = new ArrayList<>();
        for (int i = 1; i < routers.size(); i += 2) {
            misled.add(routers.get(i));
        }
        world.commandWorkers(SPLIT_REGISTRY, workers, String.join(",", misled), 1);
        at(endOf(fault), () -> world.commandWorkers(SPLIT_REGISTRY, workers, "", 0));
    }

    /** Replaces workers in steps; each drains for half a step, which the command is given in milliseconds. */
    private void deploy(Fault fault, List<String> workers) {
        int atOnce = (int) Math.max(1, Math.floor(world.runningWorkers("").size() * DEPLOYMENT_STEP_SHARE));
        int steps = (workers.size() + atOnce - 1) / atOnce;
        long stepNanos = fault.duration() / Math.max(1, steps);
        double drainMillis = stepNanos / 2e6;
        for (int i = 0; i < steps; i++) {
            int end = Math.min(workers.size(), (i + 1) * atOnce);
            List<String> replaced = List.copyOf(workers.subList(i * atOnce, end));
            at(fault.startAt() + i * stepNanos + 1, () -> world.commandWorkers(REPLACE, replaced, "", drainMillis));
        }
    }

    private void release(Fault fault) {
        List<String> models = new ArrayList<>();
        for (ScenarioPlan.Flow flow : plan.flows()) {
            for (int i = 0; i < flow.modelCount(); i++) {
                models.add(flow.modelPrefix() + i);
            }
        }
        world.commandWorkers(RELEASE, List.of(), String.join(",", draw(models, fault.share())), 0);
    }

    /** Workers get slower in equal steps, die at the end and restart a little later. */
    private void age(Fault fault, List<String> workers) {
        for (int i = 1; i <= AGEING_STEPS; i++) {
            double factor = 1 + (fault.factor() - 1) * i / AGEING_STEPS;
            long moment = fault.startAt() + fault.duration() * i / (AGEING_STEPS + 1);
            at(moment, () -> world.commandWorkers(SLOW, workers, "", factor));
        }
        at(endOf(fault), () -> world.commandWorkers(KILL, workers, "", 0));
        at(endOf(fault) + AGED_RESTART_NANOS, () -> world.commandWorkers(RESTART, workers, "", 0));
    }
}
