package pearladder.testbed;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pearladder.emulator.Observation;
import pearladder.testbed.VersionShares.VersionedModel;

/**
 * For each rollback of a model and each router, the time from the rollback order to the last request that the router
 * still sent to the version that was rolled back.
 */
final class RollbackDelays {
    /** How the fault injector reports an order: "order WHAT PREFIX x COUNT". */
    private static final String ORDER_PREFIX = "order ";

    private static final String ROLLBACK = "rollback";
    private static final double NANOS_PER_MILLI = 1e6;

    /** A request as its client sent it. */
    private record Sent(long at, String router) {}

    /** A rollback at a router. */
    private record Rollback(String model, long orderedAt, String router) {}

    private final Map<String, String> newVersions = new HashMap<>();
    private final Map<String, Sent> requests = new HashMap<>();
    private final Set<String> routers = new HashSet<>();
    /** Whether each order was a rollback, by model and time of the order. */
    private final Map<String, TreeMap<Long, Boolean>> orderTimes = new HashMap<>();

    private final Map<Rollback, Long> lastSent = new HashMap<>();

    RollbackDelays(List<Observation> observations, List<RolloutScript.Order> orders) {
        for (RolloutScript.Order order : orders) {
            if (order.plan() != null) {
                order.models().forEach(model -> newVersions.put(model, VersionShares.newVersion(order)));
            }
        }
        observations.forEach(this::addSentOrOrder);
        orderTimes.forEach((model, times) -> times.forEach((at, rollback) -> {
            if (rollback) {
                routers.forEach(router -> lastSent.put(new Rollback(model, at, router), at));
            }
        }));
        observations.forEach(this::addAnswer);
    }

    private void addSentOrOrder(Observation seen) {
        if (seen.event().equals(Observation.SENT)) {
            requests.put(seen.requestId(), new Sent(seen.at(), seen.router()));
            routers.add(seen.router());
        } else if (seen.event().equals(Observation.FAULT_INJECTED)
                && seen.note().startsWith(ORDER_PREFIX)) {
            String[] words = seen.note().split(" ");
            boolean rollback = words[1].equals(ROLLBACK);
            String prefix = words[2];
            int count = Integer.parseInt(words[4]);
            for (int i = 0; i < count; i++) {
                orderTimes.computeIfAbsent(prefix + i, model -> new TreeMap<>()).put(seen.at(), rollback);
            }
        }
    }

    private void addAnswer(Observation seen) {
        Sent sent = requests.get(seen.requestId());
        if (!seen.event().equals(Observation.ANSWERED)
                || sent == null
                || !seen.model().contains("@")) {
            return;
        }
        VersionedModel answered = VersionedModel.of(seen);
        String model = answered.model();
        Map.Entry<Long, Boolean> lastOrder =
                orderTimes.getOrDefault(model, new TreeMap<>()).floorEntry(sent.at());
        boolean afterRollback = lastOrder != null && lastOrder.getValue();
        if (afterRollback && answered.version().equals(newVersions.get(model))) {
            lastSent.merge(new Rollback(model, lastOrder.getKey(), sent.router()), sent.at(), Math::max);
        }
    }

    /** Returns a line for the table of a scenario, or no line if there was no rollback. */
    List<String> lines() {
        if (lastSent.isEmpty()) {
            return List.of();
        }
        List<Double> millis = lastSent.entrySet().stream()
                .map(each -> (each.getValue() - each.getKey().orderedAt()) / NANOS_PER_MILLI)
                .sorted()
                .toList();
        return List.of(String.format(
                Locale.ROOT,
                "old traffic restored after a rollback, %d of models at routers: p50 %.0f ms, "
                        + "p99 %.0f ms, longest %.0f ms",
                millis.size(),
                millis.get(millis.size() / 2),
                millis.get((int) Math.ceil(millis.size() * 0.99) - 1),
                millis.get(millis.size() - 1)));
    }
}
