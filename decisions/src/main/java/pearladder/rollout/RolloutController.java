package pearladder.rollout;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;
import pearladder.rollout.RolloutTarget.Mode;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * All releases of one router. It is called through on(now, event): what happened goes in, what is to be done comes out.
 *
 * A key's place is a hash of model and key, the same at every router. At a share s the keys below s get the new version, so
 * a step up only adds keys and a rollback takes all of them back. A call keeps the version that it was first given, and
 * so does a mark while it is remembered: a client's repeat meets the version of its first leg.
 *
 * A router steps up by itself when the step was held, enough calls ended, the gate finds the version no worse and copies
 * stand for the next share. It pauses or rolls back by itself on a breach. An order with a higher epoch overrides both.
 */
public final class RolloutController {
    private static final TimeSpan BEAT = TimeSpan.millis(250);

    private final class Release {
        RolloutTarget target;
        int step;
        MonotonicTime since;
        boolean broken;
        double standing;
        VersionComparison doubt;
        boolean prepared;
        boolean warm;

        /** The share of keys that get the new version now. */
        double share() {
            boolean off = target.mode() == Mode.ROLLED_BACK
                    || broken && target.plan().onBreach() == RolloutPlan.Breach.ROLL_BACK;
            return off ? 0 : step < 0 ? 0 : target.plan().steps().get(step);
        }

        boolean moves() {
            return target.mode() == Mode.RUNNING
                    && !broken
                    && step < target.plan().steps().size() - 1;
        }

        /** All have the new version and the hold is over: the old copies may go. */
        boolean over(MonotonicTime at) {
            return warm
                    && target.mode() == Mode.RUNNING
                    && step == target.plan().steps().size() - 1
                    && !target.plan().hold().isLongerThan(at.since(since));
        }

        double nextShare() {
            return target.plan().steps().get(step + 1);
        }
    }

    private record Given(Release release, RolloutTarget of, boolean toNew) {}

    private record Marked(String version, MonotonicTime until) {}

    private final TimeSpan remembered;
    private final Map<String, Release> releases = new LinkedHashMap<>();
    private final Map<String, Given> calls = new LinkedHashMap<>();
    private final Map<String, Marked> marks = new LinkedHashMap<>();
    private MonotonicTime now;
    private List<RolloutAction> todo;
    private boolean awake;

    /** @param remembered the longest time for which engines remember a mark */
    public RolloutController(TimeSpan remembered) {
        this.remembered = remembered;
    }

    /** What happened at a moment, and what is to be done. */
    public List<RolloutAction> on(MonotonicTime at, RolloutEvent event) {
        now = at;
        todo = new ArrayList<>();
        if (event instanceof RolloutEvent.CallCame came) {
            choose(came);
        } else if (event instanceof RolloutEvent.CallEnded ended) {
            ended(ended);
        } else if (event instanceof RolloutEvent.Ordered ordered) {
            ordered(ordered.target());
        } else if (event instanceof RolloutEvent.Kept kept) {
            kept(kept.target());
        } else if (event instanceof RolloutEvent.Heard heard) {
            heard(heard.target());
        } else if (event instanceof RolloutEvent.Restored restored) {
            restore(restored);
        } else if (event instanceof RolloutEvent.Standing standing) {
            Release release = releases.get(standing.model());
            if (release != null && release.target.plan().to().equals(standing.version())) {
                release.standing = standing.share();
            }
        } else if (event instanceof RolloutEvent.CallLeft left) {
            calls.remove(left.call());
        } else if (event instanceof RolloutEvent.Due) {
            awake = false;
            beat();
        }
        wake();
        return todo;
    }

    /** How each release stands, a line a model. */
    public List<String> status() {
        return releases.values().stream()
                .map(release -> String.format(
                        "%s %s -> %s: epoch %d, %s, share %.2f, copies for %.2f, %s",
                        release.target.plan().model(),
                        name(release.target.plan().from()),
                        name(release.target.plan().to()),
                        release.target.epoch(),
                        release.broken ? "broken" : release.target.mode().name().toLowerCase(java.util.Locale.ROOT),
                        release.share(),
                        release.standing,
                        release.doubt.figures()))
                .toList();
    }

    /** The newest target of each model, for a journal to be made short. */
    public List<RolloutTarget> targets() {
        return releases.values().stream().map(release -> release.target).toList();
    }

    private static String name(String version) {
        return version.isEmpty() ? "(none)" : version;
    }

    // ---- a call comes and ends

    private void choose(RolloutEvent.CallCame came) {
        Release release = releases.get(came.model());
        if (release == null) {
            todo.add(new RolloutAction.Use(came.call(), ""));
            return;
        }
        String to = release.target.plan().to();
        String version = place(came.model(), came.key()) < release.share()
                ? to
                : release.target.plan().from();
        if (!came.mark().isEmpty()) {
            // a repeat of a marked call meets the version that it met first, or its effect could happen in both
            String mark = came.model() + "\n" + came.mark();
            Marked before = marks.get(mark);
            if (before != null && now.isBefore(before.until())) {
                version = before.version();
            } else {
                marks.remove(mark);
                marks.put(mark, new Marked(version, now.plus(remembered)));
            }
        }
        calls.put(came.call(), new Given(release, release.target, version.equals(to)));
        todo.add(new RolloutAction.Use(came.call(), version));
    }

    /** Where a key stands between 0 and 1; a key of another model stands elsewhere. */
    private static double place(String model, String key) {
        CRC32 crc = new CRC32();
        crc.update((model + "\n" + key).getBytes(StandardCharsets.UTF_8));
        long mixed = (crc.getValue() + 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return ((mixed ^ (mixed >>> 31)) >>> 11) / (double) (1L << 53);
    }

    private void ended(RolloutEvent.CallEnded ended) {
        Given given = calls.remove(ended.call());
        if (given == null || given.of().epoch() != given.release().target.epoch()) {
            return;
        }
        Release release = given.release();
        if (given.toNew()) {
            release.doubt.newEnded(ended.well(), ended.engines());
        } else {
            release.doubt.oldEnded(ended.well());
        }
        if (release.doubt.foundWorse() && !release.broken && release.target.mode() != Mode.ROLLED_BACK) {
            breach(release);
        }
    }

    private void breach(Release release) {
        release.broken = true;
        note(release);
        RolloutPlan plan = release.target.plan();
        boolean back = plan.onBreach() == RolloutPlan.Breach.ROLL_BACK;
        todo.add(new RolloutAction.Log(String.format(
                "%s %s at %s: %s",
                back ? "rolled back" : "paused", plan.model(), name(plan.to()), release.doubt.figures())));
        if (back) {
            todo.add(new RolloutAction.Withdraw(plan.model(), plan.to()));
        }
    }

    // ---- orders

    private void ordered(RolloutTarget target) {
        Release release = releases.get(target.plan().model());
        if (release != null && release.target.equals(target)) {
            // the same order again: its answer was lost, or it came by two ways
            todo.add(new RolloutAction.Keep(target));
            return;
        }
        if (release != null && target.epoch() <= release.target.epoch()) {
            refuse(target, release);
            return;
        }
        String fault = fault(target);
        todo.add(fault == null ? new RolloutAction.Keep(target) : new RolloutAction.Refuse(target, fault));
    }

    private static String fault(RolloutTarget target) {
        List<RolloutPlan.Fault> faults = target.plan().faults();
        return !faults.isEmpty()
                ? faults.get(0).key() + ": " + faults.get(0).what() + "; "
                        + faults.get(0).mend()
                : target.step() < 0 || target.step() >= target.plan().steps().size()
                        ? "there is no step " + target.step()
                        : null;
    }

    private void heard(RolloutTarget target) {
        Release release = releases.get(target.plan().model());
        if ((release == null || target.epoch() > release.target.epoch()) && fault(target) == null) {
            todo.add(new RolloutAction.Keep(target));
        }
    }

    private void refuse(RolloutTarget target, Release release) {
        todo.add(new RolloutAction.Refuse(
                target,
                "epoch " + target.epoch() + " is not after " + release.target.epoch() + ", ordered by "
                        + release.target.by() + "; look at the status and order again"));
    }

    /** Two operators' orders may be on their way to the journal at once: the one that was kept first holds. */
    private void kept(RolloutTarget target) {
        Release release = releases.get(target.plan().model());
        if (release == null || target.epoch() > release.target.epoch()) {
            follow(target);
        } else if (!release.target.equals(target)) {
            refuse(target, release);
        }
    }

    /**
     * What the journal tells holds without being kept again; of two of a model the higher epoch. A step that was reached
     * is stood at again at once, since keys never move back, and a version that was found worse stays taken back.
     */
    private void restore(RolloutEvent.Restored restored) {
        Map<String, RolloutTarget> newest = new LinkedHashMap<>();
        restored.targets().forEach(target -> newest.merge(target.plan().model(), target, RolloutTarget::newer));
        Map<String, RolloutProgress> furthest = new LinkedHashMap<>();
        restored.reached().forEach(reached -> furthest.merge(reached.model(), reached, RolloutController::further));
        for (RolloutTarget target : newest.values()) {
            Release release = releases.get(target.plan().model());
            if (release != null && target.epoch() <= release.target.epoch()) {
                continue;
            }
            RolloutProgress reached = furthest.get(target.plan().model());
            boolean known = reached != null && reached.epoch() == target.epoch() && target.mode() != Mode.ROLLED_BACK;
            follow(
                    target,
                    known
                            ? Math.max(
                                    -1,
                                    Math.min(
                                            reached.step(),
                                            target.plan().steps().size() - 1))
                            : -1,
                    known && reached.broken());
        }
    }

    private static RolloutProgress further(RolloutProgress a, RolloutProgress b) {
        return a.epoch() != b.epoch()
                ? a.epoch() > b.epoch() ? a : b
                : new RolloutProgress(a.model(), a.epoch(), Math.max(a.step(), b.step()), a.broken() || b.broken());
    }

    private void follow(RolloutTarget target) {
        follow(target, -1, false);
    }

    private void follow(RolloutTarget target, int reached, boolean broken) {
        RolloutPlan plan = target.plan();
        Release before = releases.get(plan.model());
        Release release = before != null && before.target.plan().equals(plan) ? before : new Release();
        boolean fresh = release != before;
        release.target = target;
        release.broken = broken;
        release.doubt = fresh ? new VersionComparison(plan.gate()) : release.doubt.anew();
        // the first step too waits until copies stand; a step that was reached is never gone back on but by a rollback
        release.step = fresh ? reached : Math.max(release.step, reached);
        release.since = now;
        release.prepared = false;
        release.warm |= release.step >= 0;
        releases.put(plan.model(), release);
        if (target.mode() == Mode.ROLLED_BACK) {
            release.step = -1;
            todo.add(new RolloutAction.Withdraw(plan.model(), plan.to()));
        }
        todo.add(new RolloutAction.Log(String.format(
                "release of %s at %s: epoch %d, %s, by %s",
                plan.model(),
                name(plan.to()),
                target.epoch(),
                target.mode().name().toLowerCase(java.util.Locale.ROOT),
                target.by())));
        if (target.mode() != Mode.ROLLED_BACK && release.step >= 0 && reached < 0) {
            note(release);
        }
        if (target.mode() == Mode.RUNNING) {
            advance(release);
        }
    }

    private void note(Release release) {
        todo.add(new RolloutAction.Note(new RolloutProgress(
                release.target.plan().model(), release.target.epoch(), release.step, release.broken)));
    }

    // ---- steps

    private void beat() {
        releases.values().forEach(this::advance);
        while (!marks.isEmpty()) {
            Map.Entry<String, Marked> oldest = marks.entrySet().iterator().next();
            if (now.isBefore(oldest.getValue().until())) {
                return;
            }
            marks.remove(oldest.getKey());
        }
    }

    /** Asks for the copies of the next share, and steps up once all that a step asks for is there. */
    private void advance(Release release) {
        RolloutPlan plan = release.target.plan();
        if (release.over(now)) {
            release.warm = false;
            todo.add(new RolloutAction.Withdraw(plan.model(), plan.from()));
            todo.add(new RolloutAction.Withdraw(plan.model(), plan.to()));
        }
        if (!release.moves()) {
            return;
        }
        if (!release.prepared) {
            release.prepared = true;
            release.warm = true;
            todo.add(new RolloutAction.Prepare(plan.model(), plan.to(), plan.from(), release.nextShare()));
            // what serves now is kept as it stands until the release is over, so that a way back is warm
            todo.add(new RolloutAction.Prepare(plan.model(), plan.from(), plan.from(), 1));
        }
        boolean ordered = release.step < release.target.step();
        boolean held = release.step < 0
                || ordered
                || !plan.hold().isLongerThan(now.since(release.since))
                        && release.doubt.calls() >= plan.leastCalls()
                        && release.doubt.foundNoWorse();
        if (held && release.standing >= release.nextShare()) {
            release.step++;
            release.since = now;
            release.prepared = false;
            note(release);
            todo.add(new RolloutAction.Log(String.format(
                    "%s at %s: share %.2f, copies for %.2f, %s",
                    plan.model(), name(plan.to()), release.share(), release.standing, release.doubt.figures())));
            release.doubt = release.doubt.anew();
            advance(release);
        }
    }

    private void wake() {
        if (!awake && (!marks.isEmpty() || releases.values().stream().anyMatch(r -> r.moves() || r.warm))) {
            awake = true;
            todo.add(new RolloutAction.Wake(BEAT));
        }
    }
}
