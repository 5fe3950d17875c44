package pearladder.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Turns the troubles of a script into deeds at moments. What a trouble meets (which engines, routers, models) is drawn
 * from the day's seed at its start, among those that stand then.
 */
public final class FaultInjector {
    /** The world that troubles are brought on. */
    public interface World {
        /** Engines that stand, of a hall or of all where it is empty. */
        List<String> engines(String hall);

        List<String> routers(String hall);

        void toEngines(String what, List<String> engines, String model, double figure);

        void killRouter(String router);

        void startRouter(String router);

        /** Something befalls routers: see the trouble's kind; the figure is 0 at its end. */
        void toRouters(ScenarioPlan.Kind what, List<String> routers, double figure);

        /** Clients come back at once, whatever they are told, or heed it again. */
        void heedless(boolean on);

        /** An operator gives an order on releases. */
        void order(ReleaseScript.Order order);

        void say(String what);
    }

    /** More engines than so many are told by their number. */
    private static final int NAMED = 12;

    private final ScenarioPlan plan;
    private final World world;
    private final SplittableRandom chance;
    private final TreeMap<Long, List<Runnable>> deeds = new TreeMap<>();

    public FaultInjector(ScenarioPlan plan, World world) {
        this.plan = plan;
        this.world = world;
        this.chance = new SplittableRandom(plan.seed() * 131 + 3);
        for (ScenarioPlan.Trouble trouble : plan.troubles()) {
            at(trouble.at(), () -> begin(trouble));
        }
        for (ReleaseScript.Order order : plan.releases()) {
            at(order.at(), () -> {
                world.say("order " + order.what().name().toLowerCase(java.util.Locale.ROOT) + " " + order.prefix()
                        + " x " + order.count());
                world.order(order);
            });
        }
    }

    private void at(long when, Runnable deed) {
        deeds.computeIfAbsent(when, w -> new ArrayList<>()).add(deed);
    }

    /** Does what is due at a moment of the day; returns when the next thing is due, or -1. */
    public long due(long now) {
        while (!deeds.isEmpty() && deeds.firstKey() <= now) {
            deeds.pollFirstEntry().getValue().forEach(Runnable::run);
        }
        return deeds.isEmpty() ? -1 : deeds.firstKey();
    }

    private <T> List<T> some(List<T> of, double share) {
        List<T> left = new ArrayList<>(of);
        List<T> picked = new ArrayList<>();
        int count = share <= 0 ? 0 : (int) Math.max(1, Math.round(of.size() * share));
        while (picked.size() < count && !left.isEmpty()) {
            picked.add(left.remove(chance.nextInt(left.size())));
        }
        return picked;
    }

    private void begin(ScenarioPlan.Trouble trouble) {
        List<String> engines = some(world.engines(trouble.hall()), trouble.share());
        long end = trouble.at() + trouble.lasting();
        String word = trouble.what().name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        world.say(word
                + switch (trouble.what()) {
                    case BURST -> " times " + trouble.times();
                    case HALL_LOST -> " " + trouble.hall() + ": "
                            + world.engines(trouble.hall()).size() + " engines and its routers";
                    case ONE_OFFS, HEAVY -> " for " + trouble.share() + " of the calls";
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
                    default -> engines.size() > NAMED
                            ? ": " + engines.size() + " engines"
                            : " " + String.join(" ", engines);
                });
        switch (trouble.what()) {
            case BURST, ONE_OFFS, HEAVY -> {}
            case ROLLING_DEPLOY -> deploy(trouble, engines);
            case RELEASE -> release(trouble);
            case HALL_LOST -> {
                List<String> hall = world.engines(trouble.hall());
                List<String> routers = world.routers(trouble.hall());
                world.toEngines("kill", hall, "", 0);
                routers.forEach(world::killRouter);
                at(end, () -> {
                    world.toEngines("restart", hall, "", 0);
                    routers.forEach(world::startRouter);
                });
            }
            case ROUTERS_KILLED -> {
                List<String> routers = some(world.routers(trouble.hall()), trouble.share());
                routers.forEach(world::killRouter);
                at(end, () -> routers.forEach(world::startRouter));
            }
            case ENGINES_KILLED, MASS_RESTART -> {
                world.toEngines("kill", engines, "", 0);
                at(end, () -> world.toEngines("restart", engines, "", 0));
            }
            case FAILING -> during(engines, "failing", trouble.part(), 0, end);
            case SLOW -> during(engines, "slow", trouble.times(), 1, end);
            case AGEING -> ageing(trouble, engines, end);
            case HANG -> during(engines, "hang", 1, 0, end);
            case GARBLE -> during(engines, "garble", 1, 0, end);
            case LATE_REPORTS -> during(world.engines(trouble.hall()), "late-reports", trouble.times() * 1000, 0, end);
            case SLOW_SHELF -> during(List.of(), "shelf-slow", trouble.times(), 1, end);
            case REFUSING_SHELF -> during(List.of(), "shelf-refuse", 1, 0, end);
            case SLOW_HANDSHAKES -> during(engines, "cable-deaf", 1, 0, end);
            case CUT -> during(engines, "cable-cut", 1, 0, end);
            case RESET -> world.toEngines("cable-reset", engines, "", 0);
            case LIST_SILENT -> during(List.of(), "list-silent", 1, 0, end);
            case LIST_CUT -> world.toEngines("list-cut", List.of(), "", 0);
            case LOST_LOADS -> during(engines, "losing", trouble.part(), 0, end);
            case LEAK -> during(engines, "leak", trouble.times(), 0, end);
            case DAMAGED_IMAGES -> during(List.of(), "shelf-damage", 1, 0, end);
            case WRONG_MODEL -> during(engines, "misname", 1, 0, end);
            case SPLIT_LIST -> split(engines, end);
            case HEEDLESS -> {
                world.heedless(true);
                at(end, () -> world.heedless(false));
            }
            case ENGINES_PAUSED -> during(engines, "pause", 1, 0, end);
            case ONE_WAY_CUT -> during(engines, "cut-back", 1, 0, end);
            case ROUTERS_PAUSED, CLOCK_JUMP -> {
                List<String> routers = some(world.routers(trouble.hall()), trouble.share());
                world.toRouters(trouble.what(), routers, trouble.times());
                at(end, () -> world.toRouters(trouble.what(), routers, 0));
            }
            case LIST_LAG -> during(
                    List.of(), "list-lag", trouble.times() * 1000, plan.fleet().lagNanos() / 1e6, end);
        }
    }

    /** Every second router is told that the engines are gone. */
    private void split(List<String> engines, long end) {
        List<String> all = world.routers("");
        List<String> misled = new ArrayList<>();
        for (int i = 1; i < all.size(); i += 2) {
            misled.add(all.get(i));
        }
        world.toEngines("list-split", engines, String.join(",", misled), 1);
        at(end, () -> world.toEngines("list-split", engines, "", 0));
    }

    private void during(List<String> engines, String what, double figure, double usual, long end) {
        world.toEngines(what, engines, "", figure);
        at(end, () -> world.toEngines(what, engines, "", usual));
    }

    /** Engines are replaced in steps of a fifth of the fleet at the most; each drains for half a step. */
    private void deploy(ScenarioPlan.Trouble trouble, List<String> engines) {
        int atOnce = (int) Math.max(1, Math.floor(world.engines("").size() * 0.2));
        int steps = (engines.size() + atOnce - 1) / atOnce;
        long step = trouble.lasting() / Math.max(1, steps);
        for (int i = 0; i < steps; i++) {
            List<String> some = List.copyOf(engines.subList(i * atOnce, Math.min(engines.size(), (i + 1) * atOnce)));
            at(trouble.at() + i * step + 1, () -> world.toEngines("replace", some, "", step / 2e6));
        }
    }

    private void release(ScenarioPlan.Trouble trouble) {
        List<String> models = new ArrayList<>();
        for (ScenarioPlan.Flow flow : plan.flows()) {
            for (int i = 0; i < flow.models(); i++) {
                models.add(flow.prefix() + i);
            }
        }
        world.toEngines("release", List.of(), String.join(",", some(models, trouble.share())), 0);
    }

    /** Slower and slower in ten steps, then one death; back after two seconds. */
    private void ageing(ScenarioPlan.Trouble trouble, List<String> engines, long end) {
        for (int i = 1; i <= 10; i++) {
            double slow = 1 + (trouble.times() - 1) * i / 10;
            at(trouble.at() + trouble.lasting() * i / 11, () -> world.toEngines("slow", engines, "", slow));
        }
        at(end, () -> world.toEngines("kill", engines, "", 0));
        at(end + 2_000_000_000L, () -> world.toEngines("restart", engines, "", 0));
    }
}
