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
 * affects is drawn at random, from the scenario's seed, among those that run when the fault starts. Not thread-safe.
 */
public final class FaultInjector {
    /** The system into which faults are injected: real processes or a simulation. */
    public interface FaultTarget {
        /** Returns the ids of the running workers of a zone, or of all zones if it is empty. */
        List<String> runningWorkers(String zone);

        /** Returns the names of the routers of a zone, or of all zones if it is empty. */
        List<String> routers(String zone);

        /**
         * Sends a command to the control endpoint of the workers.
         *
         * @param command name of the command, as the control endpoint defines it
         * @param model the models that the command concerns, or empty
         * @param value argument of the command; its meaning depends on the command
         */
        void commandWorkers(String command, List<String> workers, String model, double value);

        /** Kills a router without a graceful shutdown. */
        void killRouter(String router);

        /** Starts a router that was killed. */
        void startRouter(String router);

        /** Begins a fault of routers, or ends it if the value is 0. */
        void injectIntoRouters(ScenarioPlan.FaultKind kind, List<String> routers, double value);

        /** Sets whether clients ignore Retry-After and retry at once. */
        void ignoreRetryAfter(boolean on);

        /** Sends a rollout order to the routers. */
        void giveRolloutOrder(RolloutScript.Order order);

        /** Reports an event to the console and the observation log. */
        void report(String event);
    }

    /** Commands of the workers' control endpoint; further ones are in {@link TimedFault}. */
    private static final String KILL = "kill";

    private static final String RESTART = "restart";
    private static final String REPLACE = "replace";
    private static final String RELEASE = "release";
    private static final String SLOW = "slow";
    private static final String RESET_CONNECTIONS = "cable-reset";
    private static final String CUT_REGISTRY = "list-cut";
    private static final String SPLIT_REGISTRY = "list-split";

    /** Up to this number, the affected workers are reported by name; above it, only their count is reported. */
    private static final int MAX_NAMED_WORKERS = 12;
    /** The share of all workers that a rolling deployment replaces at a time. */
    private static final double DEPLOYMENT_STEP_SHARE = 0.2;

    private static final int AGEING_STEPS = 10;
    private static final long AGED_RESTART_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Separates the random sequence of the faults from those of the load. */
    private static final long SEED_FACTOR = 131;

    private static final long SEED_OFFSET = 3;

    private final ScenarioPlan plan;
    private final FaultTarget target;
    private final SplittableRandom random;
    private final TreeMap<Long, List<Runnable>> actions = new TreeMap<>();

    /** Schedules the faults and rollout orders of a script; none is executed before {@link #runDue}. */
    public FaultInjector(ScenarioPlan plan, FaultTarget target) {
        this.plan = plan;
        this.target = target;
        this.random = new SplittableRandom(plan.seed() * SEED_FACTOR + SEED_OFFSET);
        for (Fault fault : plan.faults()) {
            at(fault.startAt(), () -> begin(fault));
        }
        for (RolloutScript.Order order : plan.rolloutOrders()) {
            at(order.at(), () -> give(order));
        }
    }

    private void at(long dueAt, Runnable action) {
        actions.computeIfAbsent(dueAt, key -> new ArrayList<>()).add(action);
    }

    /**
     * Runs the actions that are due.
     *
     * @param now nanoseconds since the start of the scenario
     * @return when the next action is due, in nanoseconds since the start of the scenario; -1 if there is none
     */
    public long runDue(long now) {
        while (!actions.isEmpty() && actions.firstKey() <= now) {
            actions.pollFirstEntry().getValue().forEach(Runnable::run);
        }
        return actions.isEmpty() ? -1 : actions.firstKey();
    }

    private void give(RolloutScript.Order order) {
        target.report("order " + order.type().name().toLowerCase(Locale.ROOT) + " " + order.modelPrefix() + " x "
                + order.modelCount());
        target.giveRolloutOrder(order);
    }

    /** Draws a share of the items at random; at least one unless the share is 0. */
    private <T> List<T> draw(List<T> from, double share) {
        List<T> remaining = new ArrayList<>(from);
        List<T> drawn = new ArrayList<>();
        int count = share <= 0 ? 0 : (int) Math.max(1, Math.round(from.size() * share));
        while (drawn.size() < count && !remaining.isEmpty()) {
            drawn.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return drawn;
    }

    private void begin(Fault fault) {
        List<String> workers = draw(target.runningWorkers(fault.zone()), fault.share());
        target.report(fault.kind().code() + details(fault, workers));
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
                    + target.runningWorkers(fault.zone()).size() + " engines and its routers";
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
        List<String> zone = timed.scope() == TimedFault.Scope.ZONE ? target.runningWorkers(fault.zone()) : List.of();
        List<String> workers = timed.workers(selected, zone);
        target.commandWorkers(timed.command(), workers, "", timed.figure().applyAsDouble(fault));
        double usual = timed.usual().applyAsDouble(plan);
        at(endOf(fault), () -> target.commandWorkers(timed.command(), workers, "", usual));
    }

    private static long endOf(Fault fault) {
        return fault.startAt() + fault.duration();
    }

    private void inject(Fault fault, List<String> workers) {
        switch (fault.kind()) {
            case BURST, ONE_OFFS, HEAVY -> {
                // the load generator applies these faults
            }
            case ROLLING_DEPLOY -> deploy(fault, workers);
            case RELEASE -> release(fault);
            case HALL_LOST -> {
                killWorkers(fault, target.runningWorkers(fault.zone()));
                killRouters(fault, target.routers(fault.zone()));
            }
            case ROUTERS_KILLED -> killRouters(fault, draw(target.routers(fault.zone()), fault.share()));
            case ENGINES_KILLED, MASS_RESTART -> killWorkers(fault, workers);
            case AGEING -> age(fault, workers);
            case RESET -> target.commandWorkers(RESET_CONNECTIONS, workers, "", 0);
            case LIST_CUT -> target.commandWorkers(CUT_REGISTRY, List.of(), "", 0);
            case SPLIT_LIST -> splitRegistry(fault, workers);
            case HEEDLESS -> {
                target.ignoreRetryAfter(true);
                at(endOf(fault), () -> target.ignoreRetryAfter(false));
            }
            case ROUTERS_PAUSED, CLOCK_JUMP -> {
                List<String> routers = draw(target.routers(fault.zone()), fault.share());
                target.injectIntoRouters(fault.kind(), routers, fault.factor());
                at(endOf(fault), () -> target.injectIntoRouters(fault.kind(), routers, 0));
            }
            default -> throw new IllegalStateException("unsupported fault kind " + fault.kind());
        }
    }

    /** Kills workers without a graceful shutdown and restarts them at the end of the fault. */
    private void killWorkers(Fault fault, List<String> workers) {
        target.commandWorkers(KILL, workers, "", 0);
        at(endOf(fault), () -> target.commandWorkers(RESTART, workers, "", 0));
    }

    /** Kills routers without a graceful shutdown and restarts them at the end of the fault. */
    private void killRouters(Fault fault, List<String> routers) {
        routers.forEach(target::killRouter);
        at(endOf(fault), () -> routers.forEach(target::startRouter));
    }

    /** Makes every second router receive an endpoint list from which the workers are missing. */
    private void splitRegistry(Fault fault, List<String> workers) {
        List<String> routers = target.routers("");
        List<String> affectedRouters = new ArrayList<>();
        for (int i = 1; i < routers.size(); i += 2) {
            affectedRouters.add(routers.get(i));
        }
        target.commandWorkers(SPLIT_REGISTRY, workers, String.join(",", affectedRouters), 1);
        at(endOf(fault), () -> target.commandWorkers(SPLIT_REGISTRY, workers, "", 0));
    }

    /** Replaces workers in steps. Each worker drains for half a step; the command takes that time in milliseconds. */
    private void deploy(Fault fault, List<String> workers) {
        int workersPerStep =
                (int) Math.max(1, Math.floor(target.runningWorkers("").size() * DEPLOYMENT_STEP_SHARE));
        int steps = (workers.size() + workersPerStep - 1) / workersPerStep;
        long stepNanos = fault.duration() / Math.max(1, steps);
        double drainMillis = stepNanos / 2e6;
        for (int i = 0; i < steps; i++) {
            int end = Math.min(workers.size(), (i + 1) * workersPerStep);
            List<String> replaced = List.copyOf(workers.subList(i * workersPerStep, end));
            at(fault.startAt() + i * stepNanos + 1, () -> target.commandWorkers(REPLACE, replaced, "", drainMillis));
        }
    }

    private void release(Fault fault) {
        List<String> models = new ArrayList<>();
        for (ScenarioPlan.Flow flow : plan.flows()) {
            for (int i = 0; i < flow.modelCount(); i++) {
                models.add(flow.modelPrefix() + i);
            }
        }
        target.commandWorkers(RELEASE, List.of(), String.join(",", draw(models, fault.share())), 0);
    }

    /** Slows workers down in equal steps, kills them at the end of the fault and restarts them shortly afterwards. */
    private void age(Fault fault, List<String> workers) {
        for (int i = 1; i <= AGEING_STEPS; i++) {
            double factor = 1 + (fault.factor() - 1) * i / AGEING_STEPS;
            long dueAt = fault.startAt() + fault.duration() * i / (AGEING_STEPS + 1);
            at(dueAt, () -> target.commandWorkers(SLOW, workers, "", factor));
        }
        at(endOf(fault), () -> target.commandWorkers(KILL, workers, "", 0));
        at(endOf(fault) + AGED_RESTART_NANOS, () -> target.commandWorkers(RESTART, workers, "", 0));
    }
}
