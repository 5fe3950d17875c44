package pearladder.emulator;

import java.util.List;
import java.util.function.Consumer;

/** The loads that one load request waits for; tells once, when the last of them has ended, whether all succeeded. */
final class AwaitedLoads {
    private final Consumer<Boolean> onAllEnded;
    private int remaining;
    private boolean allSucceeded = true;

    private AwaitedLoads(int count, Consumer<Boolean> onAllEnded) {
        this.remaining = count;
        this.onAllEnded = onAllEnded;
    }

    static void await(List<ModelInstance> loading, Consumer<Boolean> onAllEnded) {
        AwaitedLoads awaited = new AwaitedLoads(loading.size(), onAllEnded);
        loading.forEach(instance -> instance.loadListeners.add(awaited::onLoadEnded));
    }

    private void onLoadEnded(boolean succeeded) {
        allSucceeded &= succeeded;
        remaining--;
        if (remaining == 0) {
            onAllEnded.accept(allSucceeded);
        }
    }
}
