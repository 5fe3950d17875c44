package pearladder.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import pearladder.rollout.RolloutProgress;
import pearladder.rollout.RolloutTarget;
import pearladder.router.kserve.RolloutManager;

/** Rollout journal that outlives its router's process; each write succeeds immediately. */
final class InMemoryRolloutJournal implements RolloutManager.Journal {
    private final List<RolloutTarget> targets = new ArrayList<>();
    private final List<RolloutProgress> progress = new ArrayList<>();

    @Override
    public List<RolloutTarget> targets() {
        return List.copyOf(targets);
    }

    @Override
    public List<RolloutProgress> progress() {
        return List.copyOf(progress);
    }

    @Override
    public void write(List<RolloutTarget> newTargets, Consumer<String> onWritten) {
        targets.addAll(newTargets);
        onWritten.accept(null);
    }

    @Override
    public void write(RolloutProgress newProgress, Consumer<String> onWritten) {
        progress.add(newProgress);
        onWritten.accept(null);
    }
}
