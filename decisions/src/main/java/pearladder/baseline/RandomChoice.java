package pearladder.baseline;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;
import pearladder.api.Action;
import pearladder.api.Dispatcher;
import pearladder.api.Event;
import pearladder.api.Facts;
import pearladder.api.Moment;
import pearladder.api.Outcome;
import pearladder.api.Span;

/**
 * A baseline only, to compare the module with: each call goes to a worker drawn at random among those in service, once;
 * a leg that is known not to have run is sent once more. No router serves with it.
 */
public final class RandomChoice implements Dispatcher {
    private static final class Call {
        final Moment until;
        final Facts.Effect effect;
        int legs;

        Call(Moment until, Facts.Effect effect) {
            this.until = until;
            this.effect = effect;
        }
    }

    private final long seed;
    private final Facts facts;
    private final Map<String, Event.Listing> workers = new TreeMap<>();
    private final Map<String, Call> calls = new HashMap<>();
    private List<String> inService = List.of();
    private long drawn;

    public RandomChoice(long seed, Facts facts) {
        this.seed = seed;
        this.facts = facts;
    }

    @Override
    public List<Action> on(Moment now, Event event) {
        List<Action> todo = new ArrayList<>();
        if (event instanceof Event.CallCame came) {
            Facts.Effect effect = facts.categories().stream()
                    .filter(c -> c.name().equals(came.category()))
                    .findFirst()
                    .orElseThrow()
                    .effect();
            Call call = new Call(now.plus(came.timeLeft()), effect);
            calls.put(came.call(), call);
            send(now, came.call(), call, todo);
        } else if (event instanceof Event.LegEnded ended && calls.containsKey(ended.call())) {
            ended(now, ended, calls.get(ended.call()), todo);
        } else if (event instanceof Event.ClientLeft left) {
            calls.remove(left.call());
        } else if (event instanceof Event.Listed listed) {
            follow(listed, now, todo);
        } else if (event instanceof Event.Due) {
            todo.add(new Action.Subscribe(true));
        }
        return todo;
    }

    private void ended(Moment now, Event.LegEnded ended, Call call, List<Action> todo) {
        if (ended.over() || ended.outcome() == Outcome.SUCCESS) {
            calls.remove(ended.call());
        } else if (ended.outcome().neverRan
                && call.legs < Math.min(2, facts.allowances().legs())) {
            send(now, ended.call(), call, todo);
        } else {
            calls.remove(ended.call());
            todo.add(
                    ended.outcome().neverRan || call.effect == Facts.Effect.RETRIABLE
                            ? new Action.Dismiss(ended.call(), Span.NONE)
                            : new Action.Terminate(ended.call()));
        }
    }

    private void send(Moment now, String id, Call call, List<Action> todo) {
        Span left = call.until.since(now).minus(facts.quantum().times(2));
        if (inService.isEmpty() || left.nanos() <= 0) {
            calls.remove(id);
            todo.add(new Action.Dismiss(id, Span.NONE));
            return;
        }
        call.legs++;
        todo.add(new Action.Send(id, inService.get((int) (chance() * inService.size())), left));
    }

    private void follow(Event.Listed listed, Moment now, List<Action> todo) {
        if (listed.kind() == Event.ListKind.FAILED) {
            todo.add(new Action.Wake(now.plus(Span.millis(300)), "list"));
            return;
        }
        if (listed.kind() != Event.ListKind.CHANGES) {
            workers.clear();
        }
        listed.listings().forEach(listing -> workers.put(listing.worker(), listing));
        inService = workers.values().stream()
                .filter(w -> w.standing() == Event.Standing.IN_SERVICE)
                .map(Event.Listing::worker)
                .toList();
    }

    private double chance() {
        CRC32 crc = new CRC32();
        crc.update((seed + ":" + drawn++).getBytes(StandardCharsets.UTF_8));
        return crc.getValue() / 4294967296.0;
    }
}
