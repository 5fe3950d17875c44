package pearladder.router.kserve;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.WorkerExecutor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.background.JobClasses;
import pearladder.background.ResourceCost;
import pearladder.eventlog.EventLog;
import pearladder.eventlog.LogEntry;
import pearladder.eventlog.LogEntryType;
import pearladder.router.core.Timers;
import pearladder.routing.api.TimeSpan;
import pearladder.writebuffer.WriteBuffer;
import pearladder.writebuffer.WriteBufferAction;
import pearladder.writebuffer.WriteBufferEvent;

/**
 * Writes entries to an {@link EventLog} off the event loop, in batches and as a {@link WriteBuffer} decides.
 * Confined to the event loop.
 */
final class EventLogWriter {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.records");
    /** Delay before an entry is written, during which further entries join its batch. */
    private static final TimeSpan BATCH_DELAY = TimeSpan.millis(20);
    /** Longest time that a load request waits for its entry to be written. */
    private static final TimeSpan MAX_LOAD_REQUEST_DELAY = TimeSpan.millis(50);

    private static final int MAX_PENDING_ENTRIES = 200_000;
    private static final int MAX_BATCH_ENTRIES = 5_000;
    private static final double BYTES_PER_ENTRY = 30;
    private static final TimeSpan DROP_REPORT_DELAY = TimeSpan.millis(1);
    /** The id of an entry that no load request waits for. */
    private static final String NO_LOAD_REQUEST = "";

    private final Timers timers;
    private final BackgroundWork backgroundWork;
    private final LongSupplier wallClock;
    private final EventLog log;
    private final WorkerExecutor executor;
    private final WriteBuffer buffer =
            new WriteBuffer(BATCH_DELAY, MAX_LOAD_REQUEST_DELAY, MAX_PENDING_ENTRIES, MAX_BATCH_ENTRIES);
    private final ArrayDeque<LogEntry> pending = new ArrayDeque<>();
    /** Callbacks of the load requests that wait for their entries, by id. */
    private final Map<String, Consumer<String>> waitingLoadRequests = new HashMap<>();

    private long loadRequestCount;
    /** Null until {@link #flush}. */
    private Promise<Void> flushCompletion;

    private boolean closed;

    EventLogWriter(
            Timers timers,
            BackgroundWork backgroundWork,
            LongSupplier wallClock,
            EventLog log,
            WorkerExecutor executor) {
        this.timers = timers;
        this.backgroundWork = backgroundWork;
        this.wallClock = wallClock;
        this.log = log;
        this.executor = executor;
    }

    void append(LogEntry entry) {
        handle(new WriteBufferEvent.EntryReceived(entry.type().isDetail(), NO_LOAD_REQUEST), entry);
    }

    /**
     * Appends the entry of a load request that waits for it.
     *
     * @param onDecision called once: with an empty text if the request may be sent, or else with the reason why not
     */
    void append(LogEntry entry, Consumer<String> onDecision) {
        String id = Long.toString(++loadRequestCount);
        waitingLoadRequests.put(id, onDecision);
        handle(new WriteBufferEvent.EntryReceived(entry.type().isDetail(), id), entry);
    }

    /** @param entry the entry of a {@link WriteBufferEvent.EntryReceived}; null for other events */
    private void handle(WriteBufferEvent event, LogEntry entry) {
        if (closed) {
            return;
        }
        for (WriteBufferAction action : buffer.on(timers.now(), event)) {
            execute(action, entry);
        }
        if (flushCompletion != null && buffer.size() == 0) {
            flushCompletion.tryComplete();
        }
    }

    private void execute(WriteBufferAction action, LogEntry entry) {
        if (action instanceof WriteBufferAction.AcceptEntry) {
            pending.add(entry);
        } else if (action instanceof WriteBufferAction.WriteBatch write) {
            write(write.entries());
        } else if (action instanceof WriteBufferAction.ReportDropped dropped) {
            timers.after(DROP_REPORT_DELAY, () -> appendDropped(dropped.entries()));
        } else if (action instanceof WriteBufferAction.SendLoadRequest send) {
            waitingLoadRequests.remove(send.loadRequestId()).accept("");
        } else if (action instanceof WriteBufferAction.WithholdLoadRequest withhold) {
            waitingLoadRequests.remove(withhold.loadRequestId()).accept(withhold.reason());
        } else if (action instanceof WriteBufferAction.ScheduleTick tick) {
            timers.after(tick.delay(), () -> handle(new WriteBufferEvent.Tick(), null));
        } else if (action instanceof WriteBufferAction.Log message) {
            LOG.info(message.text());
        }
    }

    private void appendDropped(long entries) {
        append(LogEntry.of(wallClock.getAsLong(), LogEntryType.DROPPED, "", "", "", "", entries, 0));
    }

    private void write(int count) {
        List<LogEntry> batch = new ArrayList<>(count);
        pending.stream().limit(count).forEach(batch::add);
        ResourceCost cost = new ResourceCost(0, count * BYTES_PER_ENTRY, 0);
        long startedAt = System.nanoTime();
        Future<Void> written = backgroundWork.submit(
                JobClasses.RECORD,
                "",
                cost,
                null,
                () -> executor.executeBlocking(() -> {
                    log.append(batch);
                    return cost;
                }));
        written.onComplete(
                success -> onWritten(count, startedAt),
                failure -> handle(new WriteBufferEvent.WriteFailed(String.valueOf(failure.getMessage())), null));
    }

    private void onWritten(int count, long startedAt) {
        for (int i = 0; i < count; i++) {
            pending.poll();
        }
        handle(new WriteBufferEvent.Written(new TimeSpan(System.nanoTime() - startedAt)), null);
    }

    /** Returns the number of entries that are not on disk yet. */
    int pendingCount() {
        return buffer.size();
    }

    /** Returns whether the last write failed. */
    boolean isFailing() {
        return buffer.isFailing();
    }

    /**
     * Writes all entries. The future completes once every entry is on disk; the caller sets a timeout, since writes
     * may keep failing.
     */
    Future<Void> flush() {
        flushCompletion = Promise.promise();
        handle(new WriteBufferEvent.ShutdownBegun(), null);
        return flushCompletion.future();
    }

    boolean isClosed() {
        return closed;
    }

    void close() {
        closed = true;
        log.close();
    }
}
