package pearladder.writebuffer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Decides when entries of the event log are written to the disk, and which of them are dropped. Every event is passed
 * to {@link #on}, which returns the actions to execute.
 *
 * <p>Entries are gathered for a short time and written in one batch, so that a crash loses at most the gathered entries
 * and one write. While the disk is too slow, details are dropped first, then all entries; a request never waits for the
 * disk. A load request under a quota is sent only when its entry is on disk, because otherwise a restart would not
 * count it; one that would wait longer than the loss window is withheld, because delayed load requests would be sent in
 * a burst that no quota allows.
 */
public final class WriteBuffer {
    /** @param position number of the last entry that must be on disk before the load request is sent */
    private record PendingLoadRequest(String id, long position, MonotonicTime expiresAt) {}

    private static final TimeSpan FIRST_RETRY_DELAY = TimeSpan.millis(100);
    private static final TimeSpan MAX_RETRY_DELAY = TimeSpan.seconds(2);
    private static final String WRITES_FAIL = "the event log can't be written";

    private final TimeSpan gatherTime;
    private final TimeSpan lossWindow;
    private final int capacity;
    private final int batchSize;
    private final WriteDelayMonitor delayMonitor;
    /** In the order of their entries. */
    private final ArrayDeque<PendingLoadRequest> pendingLoadRequests = new ArrayDeque<>();

    private long acceptedCount;
    private long writtenCount;
    /** Number of entries in the batch that is being written; 0 while none is. */
    private int writingCount;
    /** Numbers of entries dropped since the last report, and of those among them that are no details. */
    private long droppedCount;

    private long droppedNonDetails;
    /** Earliest time of the next write; null before the first entry. */
    private MonotonicTime nextWriteAt;

    private TimeSpan retryDelay = FIRST_RETRY_DELAY;
    private boolean isFailing;
    private boolean isStopping;

    /** Time of the event that is being handled. */
    private MonotonicTime now = new MonotonicTime(0);
    /** Actions for the event that is being handled. */
    private List<WriteBufferAction> actions = new ArrayList<>();

    /**
     * Creates an empty buffer.
     *
     * @param gatherTime time for which entries are gathered before they are written
     * @param lossWindow time span whose entries a crash may lose; a load request waits no longer for its entry
     * @param capacity maximum number of entries in the buffer; details are accepted only up to half of it
     * @param batchSize maximum number of entries in one write
     */
    public WriteBuffer(TimeSpan gatherTime, TimeSpan lossWindow, int capacity, int batchSize) {
        this.gatherTime = gatherTime;
        this.lossWindow = lossWindow;
        this.capacity = capacity;
        this.batchSize = batchSize;
        this.delayMonitor = new WriteDelayMonitor(gatherTime, lossWindow);
    }

    /**
     * Handles an event.
     *
     * @return the actions to execute, in this order
     */
    public List<WriteBufferAction> on(MonotonicTime eventTime, WriteBufferEvent event) {
        now = eventTime;
        actions = new ArrayList<>();
        if (event instanceof WriteBufferEvent.EntryReceived entry) {
            onEntry(entry);
        } else if (event instanceof WriteBufferEvent.Written written && writingCount > 0) {
            onWritten(written);
        } else if (event instanceof WriteBufferEvent.WriteFailed failed && writingCount > 0) {
            onFailed(failed);
        } else if (event instanceof WriteBufferEvent.Tick) {
            withholdExpired();
            writeIfDue();
        } else if (event instanceof WriteBufferEvent.ShutdownBegun) {
            isStopping = true;
            nextWriteAt = now;
            writeIfDue();
        }
        return actions;
    }

    /** Returns the number of accepted entries that are not on disk yet. */
    public int size() {
        return (int) (acceptedCount - writtenCount);
    }

    /** Returns whether the last write has failed. */
    public boolean isFailing() {
        return isFailing;
    }

    // ---- entries

    private void onEntry(WriteBufferEvent.EntryReceived entry) {
        if (mustDrop(entry)) {
            drop(entry);
            return;
        }
        actions.add(new WriteBufferAction.AcceptEntry());
        acceptedCount++;
        if (!entry.loadRequestId().isEmpty()) {
            awaitWrite(entry.loadRequestId());
        }
        if (size() == 1) {
            nextWriteAt = now.plus(gatherTime);
            actions.add(new WriteBufferAction.ScheduleTick(gatherTime));
        } else if (size() >= batchSize && !isFailing) {
            nextWriteAt = now;
            writeIfDue();
        }
    }

    private boolean mustDrop(WriteBufferEvent.EntryReceived entry) {
        return size() >= (entry.isDetail() ? capacity / 2 : capacity) || entry.isDetail() && isFailing;
    }

    private void drop(WriteBufferEvent.EntryReceived entry) {
        droppedCount++;
        droppedNonDetails += entry.isDetail() ? 0 : 1;
        actions.add(new WriteBufferAction.DropEntry());
        if (!entry.loadRequestId().isEmpty()) {
            withhold(entry.loadRequestId(), "more than " + capacity + " entries wait for the disk");
        }
    }

    /** Makes a load request wait for the entry that was just accepted. */
    private void awaitWrite(String loadRequestId) {
        if (isFailing) {
            withhold(loadRequestId, WRITES_FAIL);
            return;
        }
        pendingLoadRequests.add(new PendingLoadRequest(loadRequestId, acceptedCount, now.plus(lossWindow)));
        actions.add(new WriteBufferAction.ScheduleTick(lossWindow));
    }

    /** Withholds load requests that waited too long: the disk may hang without reporting a failure. */
    private void withholdExpired() {
        while (!pendingLoadRequests.isEmpty()
                && !now.isBefore(pendingLoadRequests.peek().expiresAt())) {
            withhold(pendingLoadRequests.poll().id(), "its event log entry was not written in time");
        }
    }

    private void withhold(String loadRequestId, String reason) {
        actions.add(new WriteBufferAction.WithholdLoadRequest(loadRequestId, reason));
    }

    // ---- writes

    private void writeIfDue() {
        if (writingCount == 0 && size() > 0 && !now.isBefore(nextWriteAt)) {
            writingCount = Math.min(batchSize, size());
            actions.add(new WriteBufferAction.WriteBatch(writingCount));
        }
    }

    private void onWritten(WriteBufferEvent.Written written) {
        writtenCount += writingCount;
        writingCount = 0;
        retryDelay = FIRST_RETRY_DELAY;
        if (isFailing) {
            isFailing = false;
            log(
                    "the event log is written again: %d entries were dropped, %d of them no details",
                    droppedCount, droppedNonDetails);
        }
        if (delayMonitor.onWritten(now, written.took())) {
            log(
                    "the event log is written %s: %d ms per batch, %d entries waiting",
                    delayMonitor.isBehind() ? "late" : "in time again",
                    written.took().toMillis(),
                    size());
        }
        withholdExpired();
        releaseLoadRequests();
        reportDropped();
        writeRest();
    }

    private void releaseLoadRequests() {
        while (!pendingLoadRequests.isEmpty() && pendingLoadRequests.peek().position() <= writtenCount) {
            actions.add(new WriteBufferAction.SendLoadRequest(
                    pendingLoadRequests.poll().id()));
        }
    }

    /** Reports dropped entries once the buffer has capacity for the entry that reports them. */
    private void reportDropped() {
        if (droppedCount > 0 && size() < capacity / 2) {
            actions.add(new WriteBufferAction.ReportDropped(droppedCount));
            droppedCount = 0;
            droppedNonDetails = 0;
        }
    }

    private void writeRest() {
        if (size() == 0) {
            return;
        }
        boolean isDueAtOnce = isStopping || delayMonitor.isBehind() || size() >= batchSize;
        nextWriteAt = isDueAtOnce ? now : now.plus(gatherTime);
        writeIfDue();
        if (!isDueAtOnce) {
            actions.add(new WriteBufferAction.ScheduleTick(gatherTime));
        }
    }

    private void onFailed(WriteBufferEvent.WriteFailed failed) {
        writingCount = 0;
        if (!isFailing) {
            isFailing = true;
            log(
                    "the event log can't be written (%s): %d entries waiting, details are dropped,"
                            + " load requests are withheld",
                    failed.reason(), size());
        }
        while (!pendingLoadRequests.isEmpty()) {
            withhold(pendingLoadRequests.poll().id(), WRITES_FAIL);
        }
        nextWriteAt = now.plus(retryDelay);
        actions.add(new WriteBufferAction.ScheduleTick(retryDelay));
        retryDelay = retryDelay.times(2).atMost(MAX_RETRY_DELAY);
    }

    private void log(String format, Object... arguments) {
        actions.add(new WriteBufferAction.Log(String.format(Locale.ROOT, format, arguments)));
    }
}
