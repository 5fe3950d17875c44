package pearladder.router.kserve;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.rollout.RolloutProgress;
import pearladder.rollout.RolloutTarget;

/** Writes a {@link RolloutJournal} off the event loop, one write at a time. */
final class AsyncRolloutJournal implements RolloutManager.Journal {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.releases");

    private interface WriteTask {
        void run() throws IOException;
    }

    private final Vertx vertx;
    private final RolloutJournal journal;

    AsyncRolloutJournal(Vertx vertx, RolloutJournal journal) {
        this.vertx = vertx;
        this.journal = journal;
    }

    @Override
    public List<RolloutTarget> targets() {
        return journal.targets();
    }

    @Override
    public List<RolloutProgress> progress() {
        return journal.progress();
    }

    @Override
    public void write(List<RolloutTarget> targets, Consumer<String> onWritten) {
        write(
                () -> {
                    List<RolloutTarget> written = journal.targets();
                    journal.append(targets.stream()
                            .filter(target -> !written.contains(target))
                            .toList());
                },
                onWritten);
    }

    @Override
    public void write(RolloutProgress progress, Consumer<String> onWritten) {
        write(() -> journal.append(progress), onWritten);
    }

    private void write(WriteTask task, Consumer<String> onWritten) {
        vertx.<Void>executeBlocking(() -> {
                    task.run();
                    return null;
                })
                .onComplete(
                        written -> onWritten.accept(null),
                        cause -> onWritten.accept(String.valueOf(cause.getMessage())));
    }

    /** Returns a future that completes once every write that was begun before has ended. */
    Future<Void> flush() {
        return vertx.executeBlocking(() -> null);
    }

    void close() {
        try {
            journal.close();
        } catch (IOException failure) {
            LOG.warn("the rollout journal can't be closed: {}", failure.getMessage());
        }
    }
}
