package pearladder.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import pearladder.kserve.DiscoveryMessage;
import pearladder.rollout.RolloutProgress;
import pearladder.rollout.RolloutTarget;
import pearladder.router.kserve.RolloutManager;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.PolicySnapshot;

/** A router's machine: what outlives the router's death, and the life that runs on it now, if any. */
final class SimulatedHost {
    final String name;
    final String hall;
    private final Supplier<List<RolloutTarget>> others;
    private final LongFunction<SimulatedRouter> maker;
    private final List<RolloutTarget> orders = new ArrayList<>();
    private final List<RolloutProgress> reached = new ArrayList<>();
    private Supplier<DiscoveryMessage> lastList = () -> null;
    private final List<Long> ordered = new ArrayList<>();
    private PolicySnapshot known;
    private long knownAt;
    private SimulatedRouter life;
    private long lives;
    private long decisions;
    private long decidedNanos;

    /** @param others what the other routers know of releases; @param maker of a life, by the seed's number */
    SimulatedHost(
            String name,
            String hall,
            Supplier<List<RolloutTarget>> others,
            java.util.function.BiFunction<SimulatedHost, Long, SimulatedRouter> maker) {
        this.name = name;
        this.hall = hall;
        this.others = others;
        this.maker = number -> maker.apply(this, number);
    }

    /** The life that runs now, or null. */
    SimulatedRouter life() {
        return life;
    }

    void start() {
        life = maker.apply(lives++);
        life.begin();
    }

    void kill() {
        if (life != null) {
            life.die();
            life = null;
        }
    }

    /** What the other routers know of releases. */
    List<RolloutTarget> others() {
        return others.get();
    }

    /** What the last life's module knew when it was last kept, or null. */
    PolicySnapshot known() {
        return known;
    }

    TimeSpan knownFor(long now) {
        return new TimeSpan(now - knownAt);
    }

    void remember(PolicySnapshot fresh, long now) {
        known = fresh;
        knownAt = now;
    }

    void ordered(long now) {
        ordered.add(now);
    }

    /** The ages of all orders that any life gave. */
    List<TimeSpan> orders(long now) {
        return ordered.stream().map(at -> new TimeSpan(now - at)).toList();
    }

    DiscoveryMessage lastList() {
        return lastList.get();
    }

    /** What was on disk when the life ended: it is asked for by the next life only. */
    void remember(Supplier<DiscoveryMessage> whole) {
        lastList = whole;
    }

    void decided(long nanos) {
        decisions++;
        decidedNanos += nanos;
    }

    long decisions() {
        return decisions;
    }

    long decidedNanos() {
        return decidedNanos;
    }

    RolloutManager.Journal journal() {
        return new RolloutManager.Journal() {
            @Override
            public List<RolloutTarget> orders() {
                return List.copyOf(orders);
            }

            @Override
            public List<RolloutProgress> reached() {
                return List.copyOf(reached);
            }

            @Override
            public void keep(List<RolloutTarget> fresh, Consumer<String> failure) {
                orders.addAll(fresh);
                failure.accept(null);
            }

            @Override
            public void keep(RolloutProgress far, Consumer<String> failure) {
                reached.add(far);
                failure.accept(null);
            }
        };
    }
}
