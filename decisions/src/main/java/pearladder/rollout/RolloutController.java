package pearladder.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pearladder.rollout.RolloutTarget.Mode;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Controls all rollouts of one router. Every event is passed to {@link #on}, which returns the actions to execute.
 *
 * <p>A routing key has a position from 0 to 1, a hash of model and key that is the same at every router. At a share s
 * the keys below s get the new version: a step only adds keys, and a rollback returns all keys to the old version. A
 * request keeps the version that it was first assigned; so does an idempotency key while workers remember it, so that a
 * client's retry is routed to the version of the first attempt.
 *
 * <p>A router takes the next step by itself when the present one was held long enough, enough requests were completed,
 * the gate finds the version no worse, and instances for the next share are ready. It pauses or rolls back by itself
 * when the gate finds the version worse. A target with a higher epoch overrides both.
 */
public final class RolloutController {
    /** Interval between checks whether a step may be taken; short compared with the shortest sensible hold, 1 s. */
    private static final TimeSpan TICK_INTERVAL = TimeSpan.millis(250);

    /** @param epoch epoch of the target by which the request was routed */
    private record Assignment(ModelRollout rollout, long epoch, boolean isNewVersion) {}

    private final Map<String, ModelRollout> rollouts = new LinkedHashMap<>();
    private final Map<String, Assignment> openRequests = new HashMap<>();
    private final IdempotencyKeyVersions keyVersions;
    private boolean isTickScheduled;

    /** Time of the event that is being handled. */
    private MonotonicTime now;
    /** Actions for the event that is being handled. */
    private List<RolloutAction> actions;

    /** @param keyRetention longest time for which workers remember an idempotency key */
    public RolloutController(TimeSpan keyRetention) {
        this.keyVersions = new IdempotencyKeyVersions(keyRetention);
    }

    /**
     * Handles an event.
     *
     * @return the actions to execute, in this order
     */
    public List<RolloutAction> on(MonotonicTime eventTime, RolloutEvent event) {
        now = eventTime;
        actions = new ArrayList<>();
        dispatch(event);
        scheduleTick();
        return actions;
    }

    private void dispatch(RolloutEvent event) {
        if (event instanceof RolloutEvent.RequestReceived received) {
            onRequestReceived(received);
        } else if (event instanceof RolloutEvent.RequestCompleted completed) {
            onRequestCompleted(completed);
        } else if (event instanceof RolloutEvent.ClientDisconnected disconnected) {
            openRequests.remove(disconnected.requestId());
        } else if (event instanceof RolloutEvent.TargetOrdered ordered) {
            onTargetOrdered(ordered.target());
        } else if (event instanceof RolloutEvent.TargetPersisted persisted) {
            onTargetPersisted(persisted.target());
        } else if (event instanceof RolloutEvent.TargetReceived received) {
            onTargetReceived(received.target());
        } else if (event instanceof RolloutEvent.JournalRestored restored) {
            onJournalRestored(restored);
        } else if (event instanceof RolloutEvent.InstancesReady ready) {
            onInstancesReady(ready);
        } else if (event instanceof RolloutEvent.Tick) {
            onTick();
        }
    }

    /** Returns one line about each rollout, for operators. */
    public List<String> status() {
        return rollouts.values().stream().map(ModelRollout::status).toList();
    }

    /** Returns the newest target of each model; a compacted journal needs no others. */
    public List<RolloutTarget> targets() {
        return rollouts.values().stream().map(rollout -> rollout.target).toList();
    }

    private void scheduleTick() {
        boolean isTickNeeded = !keyVersions.isEmpty()
                || rollouts.values().stream().anyMatch(rollout -> rollout.canAdvance() || rollout.keepsInstances);
        if (isTickNeeded && !isTickScheduled) {
            isTickScheduled = true;
            actions.add(new RolloutAction.ScheduleTick(TICK_INTERVAL));
        }
    }

    // ---- requests

    private void onRequestReceived(RolloutEvent.RequestReceived received) {
        ModelRollout rollout = rollouts.get(received.model());
        if (rollout == null) {
            actions.add(new RolloutAction.UseVersion(received.requestId(), ""));
            return;
        }
        String newVersion = rollout.plan().to();
        double position = RoutingKeyPosition.of(received.model(), received.routingKey());
        String version =
                position < rollout.share() ? newVersion : rollout.plan().from();
        if (!received.idempotencyKey().isEmpty()) {
            version = keyVersions.getOrRemember(version, received.model(), received.idempotencyKey(), now);
        }
        openRequests.put(
                received.requestId(), new Assignment(rollout, rollout.target.epoch(), version.equals(newVersion)));
        actions.add(new RolloutAction.UseVersion(received.requestId(), version));
    }

    /** Ignores requests that were routed by an earlier target: their results do not apply to the present one. */
    private void onRequestCompleted(RolloutEvent.RequestCompleted completed) {
        Assignment assignment = openRequests.remove(completed.requestId());
        if (assignment == null
                || assignment.epoch() != assignment.rollout().target.epoch()) {
            return;
        }
        ModelRollout rollout = assignment.rollout();
        if (assignment.isNewVersion()) {
            rollout.comparison.onNewVersionResult(completed.isGood(), completed.workers());
        } else {
            rollout.comparison.onOldVersionResult(completed.isGood());
        }
        boolean canBreak = !rollout.isBroken && rollout.target.mode() != Mode.ROLLED_BACK;
        if (canBreak && rollout.comparison.isFoundWorse()) {
            onFoundWorse(rollout);
        }
    }

    private void onFoundWorse(ModelRollout rollout) {
        rollout.isBroken = true;
        recordProgress(rollout);
        RolloutPlan plan = rollout.plan();
        boolean isRolledBack = plan.onBreach() == RolloutPlan.Breach.ROLL_BACK;
        log(
                "%s the rollout of %s to %s: %s",
                isRolledBack ? "rolled back" : "paused",
                plan.model(),
                ModelRollout.displayName(plan.to()),
                rollout.comparison.figures());
        if (isRolledBack) {
            actions.add(new RolloutAction.ReleaseInstances(plan.model(), plan.to()));
        }
    }

    // ---- targets

    private void onTargetOrdered(RolloutTarget target) {
        ModelRollout rollout = rollouts.get(target.plan().model());
        if (rollout != null && rollout.target.equals(target)) {
            // Repeated because the answer was lost, or received from two senders.
            actions.add(new RolloutAction.PersistTarget(target));
            return;
        }
        if (!isNewer(target, rollout)) {
            rejectAsOutdated(target, rollout);
            return;
        }
        String fault = findFault(target);
        actions.add(
                fault == null
                        ? new RolloutAction.PersistTarget(target)
                        : new RolloutAction.RejectTarget(target, fault));
    }

    private void onTargetReceived(RolloutTarget target) {
        boolean isNewer = isNewer(target, rollouts.get(target.plan().model()));
        if (isNewer && findFault(target) == null) {
            actions.add(new RolloutAction.PersistTarget(target));
        }
    }

    /** Targets of two operators may be written to the journal concurrently: the one written first takes effect. */
    private void onTargetPersisted(RolloutTarget target) {
        ModelRollout rollout = rollouts.get(target.plan().model());
        if (isNewer(target, rollout)) {
            follow(target, ModelRollout.BEFORE_FIRST_STEP, false);
        } else if (!rollout.target.equals(target)) {
            rejectAsOutdated(target, rollout);
        }
    }

    /** @param rollout rollout of the same model, or null if there is none yet */
    private static boolean isNewer(RolloutTarget target, ModelRollout rollout) {
        return rollout == null || target.epoch() > rollout.target.epoch();
    }

    /** Returns why a target is invalid; null if it is valid. */
    private static String findFault(RolloutTarget target) {
        List<RolloutPlan.Fault> faults = target.plan().faults();
        if (!faults.isEmpty()) {
            RolloutPlan.Fault first = faults.get(0);
            return first.key() + ": " + first.problem() + "; " + first.remedy();
        }
        boolean isStepOfPlan =
                target.step() >= 0 && target.step() < target.plan().steps().size();
        return isStepOfPlan ? null : "there is no step " + target.step();
    }

    private void rejectAsOutdated(RolloutTarget target, ModelRollout rollout) {
        RolloutTarget present = rollout.target;
        actions.add(new RolloutAction.RejectTarget(
                target,
                "epoch " + target.epoch() + " is not after " + present.epoch() + ", ordered by " + present.by()
                        + "; look at the status and order again"));
    }

    /**
     * Targets from the journal take effect without being written again; of two for one model, the one with the higher
     * epoch. A step that was reached is resumed at once, since keys never move back, and a version found worse stays
     * rolled back.
     */
    private void onJournalRestored(RolloutEvent.JournalRestored restored) {
        Map<String, RolloutTarget> newest = new LinkedHashMap<>();
        restored.targets().forEach(target -> newest.merge(target.plan().model(), target, RolloutTarget::newer));
        Map<String, RolloutProgress> furthest = new HashMap<>();
        restored.progress().forEach(progress -> furthest.merge(progress.model(), progress, RolloutController::combine));
        for (RolloutTarget target : newest.values()) {
            String model = target.plan().model();
            if (isNewer(target, rollouts.get(model))) {
                resume(target, furthest.get(model));
            }
        }
    }

    /** @param progress progress of the same model, or null if there is none */
    private void resume(RolloutTarget target, RolloutProgress progress) {
        boolean isOfTarget = progress != null && progress.epoch() == target.epoch();
        if (!isOfTarget || target.mode() == Mode.ROLLED_BACK) {
            follow(target, ModelRollout.BEFORE_FIRST_STEP, false);
            return;
        }
        int lastStep = target.plan().steps().size() - 1;
        int reachedStep = Math.max(ModelRollout.BEFORE_FIRST_STEP, Math.min(progress.step(), lastStep));
        follow(target, reachedStep, progress.broken());
    }

    /** Returns the progress of the higher epoch; for equal epochs the higher step, and broken if either one is. */
    private static RolloutProgress combine(RolloutProgress a, RolloutProgress b) {
        if (a.epoch() != b.epoch()) {
            return a.epoch() > b.epoch() ? a : b;
        }
        return new RolloutProgress(a.model(), a.epoch(), Math.max(a.step(), b.step()), a.broken() || b.broken());
    }

    /**
     * Makes a target the current one of its model. The first step, too, waits until instances are ready; a step that
     * was reached is only left by a rollback.
     *
     * @param reachedStep step that this router was at under the same target before a restart
     */
    private void follow(RolloutTarget target, int reachedStep, boolean isBroken) {
        RolloutPlan plan = target.plan();
        ModelRollout previous = rollouts.get(plan.model());
        boolean isSamePlan = previous != null && previous.plan().equals(plan);
        ModelRollout rollout = isSamePlan ? previous : new ModelRollout();
        rollout.target = target;
        rollout.isBroken = isBroken;
        rollout.comparison = isSamePlan ? rollout.comparison.restarted() : new VersionComparison(plan.gate());
        rollout.step = isSamePlan ? Math.max(rollout.step, reachedStep) : reachedStep;
        rollout.stepStartedAt = now;
        rollout.isNextStepPrepared = false;
        rollout.keepsInstances |= rollout.step >= 0;
        rollouts.put(plan.model(), rollout);
        if (target.mode() == Mode.ROLLED_BACK) {
            rollout.step = ModelRollout.BEFORE_FIRST_STEP;
            actions.add(new RolloutAction.ReleaseInstances(plan.model(), plan.to()));
        }
        log(
                "rollout of %s to %s: epoch %d, %s, ordered by %s",
                plan.model(),
                ModelRollout.displayName(plan.to()),
                target.epoch(),
                ModelRollout.displayName(target.mode()),
                target.by());
        if (rollout.step >= 0 && reachedStep < 0) {
            recordProgress(rollout);
        }
        if (target.mode() == Mode.RUNNING) {
            advance(rollout);
        }
    }

    private void recordProgress(ModelRollout rollout) {
        actions.add(new RolloutAction.PersistProgress(rollout.progress()));
    }

    private void log(String format, Object... arguments) {
        actions.add(new RolloutAction.Log(String.format(format, arguments)));
    }

    // ---- steps

    private void onInstancesReady(RolloutEvent.InstancesReady ready) {
        ModelRollout rollout = rollouts.get(ready.model());
        if (rollout != null && rollout.plan().to().equals(ready.version())) {
            rollout.readyShare = ready.readyShare();
        }
    }

    private void onTick() {
        isTickScheduled = false;
        rollouts.values().forEach(this::advance);
        keyVersions.removeExpired(now);
    }

    /** Requests the instances of the next step, and takes the step once its conditions are met. */
    private void advance(ModelRollout rollout) {
        if (rollout.isComplete(now)) {
            rollout.keepsInstances = false;
            RolloutPlan plan = rollout.plan();
            actions.add(new RolloutAction.ReleaseInstances(plan.model(), plan.from()));
            actions.add(new RolloutAction.ReleaseInstances(plan.model(), plan.to()));
        }
        if (!rollout.canAdvance()) {
            return;
        }
        if (!rollout.isNextStepPrepared) {
            prepareNextStep(rollout);
        }
        if (rollout.isNextStepDue(now)) {
            takeNextStep(rollout);
            advance(rollout);
        }
    }

    /** Keeps the old version's instances, too, until the rollout is complete, so that a rollback finds them loaded. */
    private void prepareNextStep(ModelRollout rollout) {
        RolloutPlan plan = rollout.plan();
        rollout.isNextStepPrepared = true;
        rollout.keepsInstances = true;
        actions.add(new RolloutAction.LoadInstances(plan.model(), plan.to(), plan.from(), rollout.nextShare()));
        actions.add(new RolloutAction.LoadInstances(plan.model(), plan.from(), plan.from(), 1));
    }

    private void takeNextStep(ModelRollout rollout) {
        rollout.step++;
        rollout.stepStartedAt = now;
        rollout.isNextStepPrepared = false;
        recordProgress(rollout);
        log(
                "rollout of %s to %s: share %.2f, instances ready for %.2f, %s",
                rollout.plan().model(),
                ModelRollout.displayName(rollout.plan().to()),
                rollout.share(),
                rollout.readyShare,
                rollout.comparison.figures());
        rollout.comparison = rollout.comparison.restarted();
    }
}
