package pearladder.router;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.release.Reached;
import pearladder.release.Target;
import pearladder.router.core.ReleaseDesk;

/** The journal, written off the event loop, one thing after the other. */
final class JournalOffLoop implements ReleaseDesk.Journal {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.releases");

    private interface Writing {
        void write() throws IOException;
    }

    private final Vertx vertx;
    private final ReleaseJournal journal;

    JournalOffLoop(Vertx vertx, ReleaseJournal journal) {
        this.vertx = vertx;
        this.journal = journal;
    }

    @Override
    public List<Target> orders() {
        return journal.orders();
    }

    @Override
    public List<Reached> reached() {
        return journal.reached();
    }

    @Override
    public void keep(List<Target> orders, Consumer<String> failure) {
        write(
                () -> {
                    List<Target> there = journal.orders();
                    journal.append(orders.stream()
                            .filter(order -> !there.contains(order))
                            .toList());
                },
                failure);
    }

    @Override
    public void keep(Reached reached, Consumer<String> failure) {
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
