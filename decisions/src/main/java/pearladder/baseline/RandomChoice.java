package pearladder.baseline;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;

/**
 * A baseline only, to compare the module with: each call goes to a worker drawn at random among those in service, once;
 * a leg that is known not to have run is sent once more. No router serves with it.
 */
public final class RandomChoice implements RoutingPolicy {
    private static final class Call {
        final MonotonicTime until;
        final RoutingSettings.Idempotency effect;
        int legs;

        Call(MonotonicTime until, RoutingSettings.Idempotency effect) {
            this.until = until;
            this.effect = effect;
        }
    }

    private final long seed;
    private final RoutingSettings facts;
    private final Map<String, Event.Endpoint> workers = new TreeMap<>();
    private final Map<String, Call> calls = new HashMap<>();
    private List<String> inService = List.of();
    private long drawn;

    public RandomChoice(long seed, RoutingSettings facts) {
        this.seed = seed;
        this.facts = facts;
    }

    @Override
    public List<Action> handle(MonotonicTime now, Event event) {
        List<Action> todo = new ArrayList<>();
        if (event instanceof Event.RequestArrived came) {
            RoutingSettings.Idempotency effect = facts.requestClasses().stream()
                    .filter(c -> c.name().equals(came.requestClass()))
                    .findFirst()
                    .orElseThrow()
                    .idempotency();
            Call call = new Call(now.plus(came.timeLeft()), effect);
            calls.put(came.requestId(), call);
            send(now, came.requestId(), call, todo);
        } else if (event instanceof Event.AttemptEnded ended && calls.containsKey(ended.requestId())) {
            ended(now, ended, calls.get(ended.requestId()), todo);
        } else if (event instanceof Event.ClientDisconnected left) {
            calls.remove(left.requestId());
        } else if (event instanceof Event.EndpointsUpdated listed) {
            follow(listed, now, todo);
        } else if (event instanceof Event.TimerFired) {
            todo.add(new Action.WatchEndpoints(true));
        }
        return todo;
    }

    private void ended(MonotonicTime now, Event.AttemptEnded ended, Call call, List<Action> todo) {
        if (ended.requestCompleted() || ended.outcome() == Outcome.SUCCESS) {
            calls.remove(ended.requestId());
        } else if (ended.outcome().neverExecuted
                && call.legs < Math.min(2, facts.attemptLimits().maxAttempts())) {
            send(now, ended.requestId(), call, todo);
        } else {
            calls.remove(ended.requestId());
            todo.add(
                    ended.outcome().neverExecuted || call.effect == RoutingSettings.Idempotency.RETRIABLE
                            ? new Action.Reject(ended.requestId(), TimeSpan.ZERO)
                            : new Action.Fail(ended.requestId()));
        }
    }

    private void send(MonotonicTime now, String id, Call call, List<Action> todo) {
        TimeSpan left = call.until.since(now).minus(facts.quantum().times(2));
        if (inService.isEmpty() || left.nanos() <= 0) {
            calls.remove(id);
            todo.add(new Action.Reject(id, TimeSpan.ZERO));
            return;
        }
        call.legs++;
        todo.add(new Action.SendAttempt(id, inService.get((int) (chance() * inService.size())), left));
    }

    private void follow(Event.EndpointsUpdated listed, MonotonicTime now, List<Action> todo) {
        if (listed.kind() == Event.EndpointUpdateKind.FAILED) {
            todo.add(new Action.SetTimer(now.plus(TimeSpan.millis(300)), "list"));
            return;
        }
        if (listed.kind() != Event.EndpointUpdateKind.DELTA) {
            workers.clear();
        }
        listed.endpoints().forEach(listing -> workers.put(listing.worker(), listing));
        inService = workers.values().stream()
                .filter(w -> w.state() == Event.EndpointState.IN_SERVICE)
                .map(Event.Endpoint::worker)
                .toList();
    }

    private double chance() {
        CRC32 crc = new CRC32();
        crc.update((seed + ":" + drawn++).getBytes(StandardCharsets.UTF_8));
        return crc.getValue() / 4294967296.0;
    }
}
