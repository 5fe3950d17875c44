package pearladder.rehearsal;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import pearladder.api.Span;
import pearladder.kserve.ListLine;
import pearladder.release.Reached;
import pearladder.release.Target;
import pearladder.router.core.ReleaseDesk;
import pearladder.state.Known;

/** A router's machine: what outlives the router's death, and the life that runs on it now, if any. */
final class Station {
    final String name;
    final String hall;
    private final Supplier<List<Target>> others;
    private final LongFunction<Life> maker;
    private final List<Target> orders = new ArrayList<>();
    private final List<Reached> reached = new ArrayList<>();
    private Supplier<ListLine> lastList = () -> null;
    private final List<Long> ordered = new ArrayList<>();
    private Known known;
    private long knownAt;
    private Life life;
    private long lives;
    private long decisions;
    private long decidedNanos;

    /** @param others what the other routers know of releases; @param maker of a life, by the seed's number */
    Station(
            String name,
            String hall,
            Supplier<List<Target>> others,
            java.util.function.BiFunction<Station, Long, Life> maker) {
        this.name = name;
        this.hall = hall;
        this.others = others;
        this.maker = number -> maker.apply(this, number);
    }

    /** The life that runs now, or null. */
    Life life() {
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
    List<Target> others() {
        return others.get();
    }

    /** What the last life's module knew when it was last kept, or null. */
    Known known() {
        return known;
    }

    Span knownFor(long now) {
        return new Span(now - knownAt);
    }

    void remember(Known fresh, long now) {
        known = fresh;
        knownAt = now;
    }

    void ordered(long now) {
        ordered.add(now);
    }

    /** The ages of all orders that any life gave. */
    List<Span> orders(long now) {
        return ordered.stream().map(at -> new Span(now - at)).toList();
    }

    ListLine lastList() {
        return lastList.get();
    }

    /** What was on disk when the life ended: it is asked for by the next life only. */
    void remember(Supplier<ListLine> whole) {
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

    ReleaseDesk.Journal journal() {
        return new ReleaseDesk.Journal() {
            @Override
            public List<Target> orders() {
                return List.copyOf(orders);
            }

            @Override
            public List<Reached> reached() {
                return List.copyOf(reached);
            }

            @Override
            public void keep(List<Target> fresh, Consumer<String> failure) {
                orders.addAll(fresh);
                failure.accept(null);
            }

            @Override
            public void keep(Reached far, Consumer<String> failure) {
                reached.add(far);
                failure.accept(null);
            }
        };
    }
}
