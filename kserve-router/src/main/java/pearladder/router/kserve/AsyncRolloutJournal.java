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

/** The journal, written off the event loop, one thing after the other. */
final class AsyncRolloutJournal implements RolloutManager.Journal {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.releases");

    private interface Writing {
        void write() throws IOException;
    }

    private final Vertx vertx;
    private final RolloutJournal journal;

    AsyncRolloutJournal(Vertx vertx, RolloutJournal journal) {
        this.vertx = vertx;
        this.journal = journal;
    }

    @Override
    public List<RolloutTarget> orders() {
        return journal.orders();
    }

    @Override
    public List<RolloutProgress> reached() {
        return journal.reached();
    }

    @Override
    public void keep(List<RolloutTarget> orders, Consumer<String> failure) {
        write(
                () -> {
                    List<RolloutTarget> there = journal.orders();
                    journal.append(orders.stream()
                            .filter(order -> !there.contains(order))
                            .toList());
                },
                failure);
    }

    @Override
    public void keep(RolloutProgress reached, Consumer<String> failure) {
        write(() -> journal.append(reached), failure);
    }

    private void write(Writing writing, Consumer<String> failure) {
        vertx.<Void>executeBlocking(() -> {
                    writing.write();
                    return null;
                })
                .onComplete(
                        kept -> failure.accept(null), failed -> failure.accept(String.valueOf(failed.getMessage())));
    }

    /** Done once everything that was handed over up to now is on disk, or has failed. */
    Future<Void> written() {
        return vertx.executeBlocking(() -> null);
    }

    void close() {
        try {
            journal.close();
        } catch (IOException lost) {
            LOG.warn("the journal could not be closed: {}", lost.getMessage());
        }
    }
}
