package pearladder.router.kserve;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.WorkerExecutor;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.background.JobClasses;
import pearladder.background.ResourceCost;
import pearladder.eventlog.EventLog;
import pearladder.eventlog.LogEntry;
import pearladder.eventlog.LogEntryType;
import pearladder.kserve.DiscoveryMessage;
import pearladder.router.core.ActiveAttempt;
import pearladder.router.core.ActiveRequest;
import pearladder.router.core.EventListener;
import pearladder.router.core.Timers;
import pearladder.router.core.WorkerResponse;
import pearladder.routing.api.Event;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/**
 * Records requests, attempts, loads and changes of workers in the router's event log. Confined to the event loop; the
 * log is written on another thread.
 */
final class EventRecorder implements EventListener {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.records");
    private static final String DIRECTORY_NAME = "records";
    private static final TimeSpan USAGE_INTERVAL = TimeSpan.seconds(2);
    private static final TimeSpan RETENTION_INTERVAL = TimeSpan.seconds(600);
    private static final int FILES_PER_COMPACTION = 1;
    private static final int NANOS_PER_MICRO = 1000;
    /** The note of a {@link LogEntryType#LOADED} entry whose load failed. */
    private static final String LOAD_FAILED = "failed";
    /** The note of a {@link LogEntryType#LOADING} entry whose load was begun by a load request. */
    private static final String LOAD_REQUESTED = "ordered";

    /** The function and tenant of executed requests, and the worker that executed them. */
    private record UsageKey(String worker, String function, String tenant) {}

    private static final class Usage {
        private long micros;
        private long lastUsedAt;
    }

    private final Timers timers;
    private final BackgroundWork backgroundWork;
    private final LongSupplier wallClock;
    private final RouterConfig config;
    private final EventLog log;
    private final WorkerExecutor executor;
    private final EventLogWriter writer;
    /** Usage since the last usage entries were written. */
    private final Map<UsageKey, Usage> usages = new LinkedHashMap<>();

    private final Set<String> recordedFunctions = new HashSet<>();
    /** The start time of each listed worker, in milliseconds since 1970. */
    private final Map<String, Long> workerStarts = new HashMap<>();

    /**
     * Opens the event log.
     *
     * @param wallClock returns the current time in milliseconds since 1970
     * @throws IOException where the log's directory can't be opened
     */
    EventRecorder(
            Vertx vertx, Timers timers, BackgroundWork backgroundWork, RouterConfig config, LongSupplier wallClock)
            throws IOException {
        this.timers = timers;
        this.backgroundWork = backgroundWork;
        this.wallClock = wallClock;
        this.config = config;
        this.log = EventLog.open(directory(config), config.retention(), LOG::warn);
        this.executor = vertx.createSharedWorkerExecutor("records", 1);
        this.writer = new EventLogWriter(timers, backgroundWork, wallClock, log, executor);
    }

    private static Path directory(RouterConfig config) {
        return config.dataDirectory().resolve(DIRECTORY_NAME);
    }

    /** Returns the load requests of earlier processes within a window; must be called before {@link #start}. */
    LoadRequestHistory loadRequests(TimeSpan window) {
        return LoadRequestHistory.read(log, directory(config), window, wallClock.getAsLong());
    }

    /** Records the start and schedules the periodic jobs. */
    void start() {
        long idleTimeoutMillis =
                config.routingSettings().instances().idleTimeout().toMillis();
        writer.append(LogEntry.of(
                wallClock.getAsLong(), LogEntryType.STARTED, "", "", "", config.name(), idleTimeoutMillis, 0));
        repeat(USAGE_INTERVAL, this::submitUsage);
        repeat(RETENTION_INTERVAL, this::submitRetention);
    }

    private void repeat(TimeSpan interval, Supplier<Future<Void>> job) {
        timers.after(interval, () -> {
            if (!writer.isClosed()) {
                job.get().onComplete(done -> repeat(interval, job));
            }
        });
    }

    private Future<Void> submitUsage() {
        return backgroundWork.submit(JobClasses.METER, "", ResourceCost.NONE, null, () -> {
            appendUsage();
            return Future.succeededFuture(ResourceCost.NONE);
        });
    }

    private Future<Void> submitRetention() {
        ResourceCost expected = new ResourceCost(0, config.retention().segmentBytes(), 0);
        return backgroundWork.submit(
                JobClasses.COMPACT, "", expected, null, () -> executor.executeBlocking(this::applyRetention));
    }

    /** Runs off the event loop, on the thread that writes the log. */
    private ResourceCost applyRetention() throws IOException {
        int deleted = log.deleteExpiredSegments();
        EventLog.CompactionResult compacted = log.compact(FILES_PER_COMPACTION);
        if (deleted + compacted.files() > 0) {
            LOG.atInfo()
                    .addKeyValue("gone", deleted)
                    .addKeyValue("compacted", compacted.files())
                    .addKeyValue("details", compacted.deletedDetails())
                    .log("event log files were deleted or compacted");
        }
        return new ResourceCost(0, compacted.bytesBefore() + compacted.bytesAfter(), 0);
    }

    // ---- recorded events

    @Override
    public void onRequestEnded(ActiveRequest request, String ending, TimeSpan duration) {
        writer.append(new LogEntry(
                wallClock.getAsLong(),
                LogEntryType.ENDED,
                request.clientRequestId,
                request.function,
                request.tenant,
                "",
                ending,
                0,
                micros(duration)));
    }

    @Override
    public void onAttemptEnded(ActiveAttempt attempt, Outcome outcome, WorkerResponse response, TimeSpan duration) {
        long now = wallClock.getAsLong();
        Event.InstanceStatus status = response == null ? Event.InstanceStatus.UNTOLD : response.instanceStatus();
        appendFunction(now, attempt.request.function);
        appendLoad(now, attempt, status, duration);
        if (outcome == Outcome.SUCCESS) {
            addUsage(now, attempt, status, duration);
        }
        writer.append(new LogEntry(
                now,
                LogEntryType.LEG,
                attempt.request.clientRequestId,
                attempt.request.function,
                attempt.request.tenant,
                attempt.worker,
                outcome.name(),
                status.ordinal(),
                micros(duration)));
    }

    /** Records the load that an attempt began, and its failure. */
    private void appendLoad(long now, ActiveAttempt attempt, Event.InstanceStatus status, TimeSpan duration) {
        ActiveRequest request = attempt.request;
        boolean failed = status == Event.InstanceStatus.LOAD_FAILED;
        if (failed || status == Event.InstanceStatus.LOAD_BEGUN) {
            writer.append(LogEntry.of(
                    now - duration.toMillis(),
                    LogEntryType.LOADING,
                    request.function,
                    request.tenant,
                    attempt.worker,
                    "",
                    1,
                    micros(duration)));
        }
        if (failed) {
            writer.append(LogEntry.of(
                    now, LogEntryType.LOADED, request.function, "", attempt.worker, LOAD_FAILED, 0, micros(duration)));
        }
    }

    /**
     * Adds an attempt to the usage. The execution time of a request that waited for a load is unknown, so the request
     * counts as a use of zero duration.
     */
    private void addUsage(long now, ActiveAttempt attempt, Event.InstanceStatus status, TimeSpan duration) {
        boolean waitedForLoad = status == Event.InstanceStatus.LOAD_BEGUN || status == Event.InstanceStatus.LOAD_JOINED;
        ActiveRequest request = attempt.request;
        UsageKey key = new UsageKey(attempt.worker, request.function, request.tenant);
        Usage usage = usages.computeIfAbsent(key, absent -> new Usage());
        usage.micros += waitedForLoad ? 0 : micros(duration);
        usage.lastUsedAt = now;
    }

    private void appendUsage() {
        usages.forEach((key, usage) -> writer.append(LogEntry.of(
                usage.lastUsedAt,
                LogEntryType.WORK,
                key.function(),
                key.tenant(),
                key.worker(),
                "",
                usage.micros,
                micros(USAGE_INTERVAL))));
        usages.clear();
    }

    @Override
    public void beforeLoadRequest(String worker, String function, int instances, Consumer<String> onDecision) {
        long now = wallClock.getAsLong();
        appendFunction(now, function);
        writer.append(LogEntry.of(now, LogEntryType.ORDERED, function, "", worker, "", instances, 0), onDecision);
    }

    @Override
    public void onLoadRequestEnded(String worker, String function, Outcome outcome, int instances, TimeSpan duration) {
        if (outcome != Outcome.SUCCESS && instances <= 0) {
            return;
        }
        long now = wallClock.getAsLong();
        writer.append(LogEntry.of(
                now - duration.toMillis(),
                LogEntryType.LOADING,
                function,
                "",
                worker,
                LOAD_REQUESTED,
                instances,
                micros(duration)));
        writer.append(LogEntry.of(
                now, LogEntryType.COPIES, function, "", worker, outcome.name(), instances, micros(duration)));
    }

    /** Records the changes that a message of the discovery service contains. */
    void onDiscoveryMessage(DiscoveryMessage message) {
        long now = wallClock.getAsLong();
        boolean complete = message.kind() == DiscoveryMessage.Kind.WHOLE;
        Set<String> unlisted = complete ? new TreeSet<>(workerStarts.keySet()) : new TreeSet<>();
        for (DiscoveryMessage.Entry entry : message.entries()) {
            unlisted.remove(entry.worker());
            if (updateWorkerStart(entry)) {
                appendWorker(now, entry.worker(), entry.state(), entry.startedMillis());
            }
        }
        for (String worker : unlisted) {
            workerStarts.remove(worker);
            appendWorker(now, worker, DiscoveryMessage.WorkerState.GONE, 0);
        }
    }

    /** Updates the start time of a worker, and returns whether the worker is new, was restarted or is gone. */
    private boolean updateWorkerStart(DiscoveryMessage.Entry entry) {
        if (entry.state() == DiscoveryMessage.WorkerState.GONE) {
            return workerStarts.remove(entry.worker()) != null;
        }
        Long previous = workerStarts.put(entry.worker(), entry.startedMillis());
        return previous == null || previous != entry.startedMillis();
    }

    private void appendWorker(long now, String worker, DiscoveryMessage.WorkerState state, long startedMillis) {
        writer.append(LogEntry.of(now, LogEntryType.ENGINE, "", "", worker, noteOf(state), startedMillis, 0));
    }

    /** Returns the note for a worker's state; the notes are part of the log's format. */
    private static String noteOf(DiscoveryMessage.WorkerState state) {
        return switch (state) {
            case IN_SERVICE -> "IN_SERVICE";
            case DRAINING -> "DRAINING";
            case GONE -> "GONE";
        };
    }

    /** Records the memory of a function's instance, once per function. */
    private void appendFunction(long now, String function) {
        if (!recordedFunctions.add(function)) {
            return;
        }
        int separator = function.indexOf('@');
        RouterConfig.ModelSettings settings =
                config.modelSettings(separator < 0 ? function : function.substring(0, separator));
        long memoryMb = settings == null ? 0 : Math.round(settings.memoryMb());
        writer.append(LogEntry.of(now, LogEntryType.MODEL, function, "", "", "", memoryMb, 0));
    }

    private static long micros(TimeSpan span) {
        return span.nanos() / NANOS_PER_MICRO;
    }

    /** Returns the number of entries that are not on disk yet. */
    int pendingCount() {
        return writer.pendingCount();
    }

    /** Returns whether the last write failed. */
    boolean isFailing() {
        return writer.isFailing();
    }

    /**
     * Records the stop. The future completes once every entry is on disk; the caller sets a timeout, since writes may
     * keep failing.
     */
    Future<Void> flush() {
        appendUsage();
        writer.append(LogEntry.of(wallClock.getAsLong(), LogEntryType.STOPPED, "", "", "", config.name(), 0, 0));
        return writer.flush();
    }

    void close() {
        writer.close();
    }
}
