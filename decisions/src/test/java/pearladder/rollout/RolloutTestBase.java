package pearladder.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import pearladder.rollout.RolloutTarget.Mode;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/** A controller of one rollout of the model "pair" from version 1 to version 2. */
abstract class RolloutTestBase {
    static final RolloutPlan.Gate GATE = new RolloutPlan.Gate(0.05, 0.01, 0.05);
    static final RolloutPlan PLAN = new RolloutPlan(
            "pair", "1", "2", List.of(0.05, 0.25, 1.0), TimeSpan.seconds(10), 50, GATE, RolloutPlan.Breach.ROLL_BACK);

    final RolloutController controller = newController();
    MonotonicTime now = new MonotonicTime(5_000_000_000L);
    private int requestCount;

    static RolloutController newController() {
        return new RolloutController(TimeSpan.seconds(8));
    }

    static RolloutTarget target(long epoch, RolloutPlan plan, Mode mode, int step) {
        return new RolloutTarget(epoch, plan, mode, step, "ops", 0);
    }

    List<RolloutAction> on(RolloutEvent event) {
        return controller.on(now, event);
    }

    List<RolloutAction> tick() {
        return on(new RolloutEvent.Tick());
    }

    void advance(TimeSpan span) {
        now = now.plus(span);
    }

    List<RolloutAction> order(long epoch, Mode mode, int step) {
        return order(controller, now, target(epoch, PLAN, mode, step));
    }

    /** Orders the target, and reports as persisted what the controller asks to persist. */
    static List<RolloutAction> order(RolloutController controller, MonotonicTime now, RolloutTarget target) {
        List<RolloutAction> actions = new ArrayList<>(controller.on(now, new RolloutEvent.TargetOrdered(target)));
        for (RolloutAction.PersistTarget persist : only(actions, RolloutAction.PersistTarget.class)) {
            actions.addAll(controller.on(now, new RolloutEvent.TargetPersisted(persist.target())));
        }
        return actions;
    }

    static <T extends RolloutAction> List<T> only(List<RolloutAction> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    String nextRequestId() {
        return "c" + requestCount++;
    }

    String version(String routingKey, String idempotencyKey) {
        return version(nextRequestId(), routingKey, idempotencyKey);
    }

    String version(String requestId, String routingKey, String idempotencyKey) {
        List<RolloutAction.UseVersion> uses = only(
                on(new RolloutEvent.RequestReceived(requestId, "pair", routingKey, idempotencyKey)),
                RolloutAction.UseVersion.class);
        assertEquals(1, uses.size());
        return uses.get(0).version();
    }

    /** Returns those of 2000 routing keys that get version 2 now. */
    Set<String> keysOnNewVersion() {
        Set<String> keys = new HashSet<>();
        for (int i = 0; i < 2000; i++) {
            if (version("key-" + i, "").equals("2")) {
                keys.add("key-" + i);
            }
        }
        return keys;
    }

    void instancesReady(double share) {
        on(new RolloutEvent.InstancesReady("pair", "2", share));
        tick();
    }

    void completeRequests(int count, double badShareOfOld, double badShareOfNew, SplittableRandom random) {
        for (int i = 0; i < count; i++) {
            String requestId = nextRequestId();
            double badShare = version(requestId, requestId, "").equals("2") ? badShareOfNew : badShareOfOld;
            boolean isGood = random.nextDouble() >= badShare;
            on(new RolloutEvent.RequestCompleted(requestId, isGood, List.of("e" + random.nextInt(4))));
        }
    }

    String status() {
        return controller.status().get(0);
    }

    void assertStatusContains(String text) {
        assertTrue(status().contains(text), status());
    }
}
