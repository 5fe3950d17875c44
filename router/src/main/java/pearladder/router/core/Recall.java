package pearladder.router.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pearladder.api.Event;
import pearladder.api.Facts;
import pearladder.api.Moment;
import pearladder.api.Span;
import pearladder.recovery.Beliefs;
import pearladder.state.Known;

/** Asks the recovery module what of an earlier life the policy may start from. */
public final class Recall {
    private Recall() {}

    /**
     * What the policy is told after the remembered list.
     *
     * @param then the snapshot, or null
     * @param gap since it was taken, by the wall clock
     * @param orders the ages of load orders that records tell
     * @param whole whether the records tell all of them
     * @param list the remembered list
     * @param log gets one line with figures
     */
    public static Event.Recalled event(
            Facts facts,
            Known then,
            Span gap,
            List<Span> orders,
            boolean whole,
            Event.Listed list,
            Moment now,
            Consumer<String> log) {
        Map<String, Span> up = new HashMap<>();
        list.listings()
                .forEach(listing ->
                        up.put(listing.worker(), listing.since() == null ? null : now.since(listing.since())));
        Beliefs.Believed believed = new Beliefs(
                        facts.copies().kept(),
                        facts.ration().window(),
                        facts.ration().free())
                .after(new Beliefs.Found(then, gap, orders, whole, up));
        log.accept(believed.why());
        return new Event.Recalled(believed.known());
    }
}
