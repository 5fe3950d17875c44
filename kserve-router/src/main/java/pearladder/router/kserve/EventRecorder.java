package pearladder.router.kserve;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.WorkerExecutor;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.background.JobClasses;
import pearladder.background.ResourceCost;
import pearladder.eventlog.EventLog;
import pearladder.eventlog.EventLogReader;
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
import pearladder.writebuffer.WriteBuffer;
import pearladder.writebuffer.WriteBufferAction;
import pearladder.writebuffer.WriteBufferEvent;

/**
 * Keeps the record of what this router does: entries are made on the event loop and written off it, when the backlog module
 * says so. It does what that says and decides nothing.
 */
final class EventRecorder implements EventListener {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.records");
    private static final TimeSpan GATHER = TimeSpan.millis(20);
    private static final TimeSpan WINDOW = TimeSpan.millis(50);
    private static final int MOST = 200_000;
    private static final int AT_ONCE = 5_000;
    private static final TimeSpan CUT = TimeSpan.seconds(2);
    private static final TimeSpan TIDY = TimeSpan.seconds(600);
    /** Bytes of an entry on disk, about. */
    private static final double ENTRY = 30;
    /** Entries looked through for orders at a start, at first. */
    private static final long FIRST_TAIL = 2_000;

    private static final long LAST_TAIL = 250_000;

    /** Whose calls worked where. */
    private record Worker(String engine, String model, String account) {}

    private static final class Work {
        private long micros;
        private long last;
    }

    private final Vertx vertx;
    private final Timers timers;
    private final BackgroundWork work;
    private final LongSupplier wall;
    private final RouterConfig articles;
    private final EventLog records;
    private final WorkerExecutor writer;
    private final WriteBuffer backlog = new WriteBuffer(GATHER, WINDOW, MOST, AT_ONCE);
    private final ArrayDeque<LogEntry> queue = new ArrayDeque<>();
    private final Map<String, Consumer<String>> orders = new HashMap<>();
    private final Map<Worker, Work> cut = new LinkedHashMap<>();
    private final Set<String> models = new HashSet<>();
    private final Map<String, Long> starts = new HashMap<>();
    private Promise<Void> emptied;
    private long numbered;
    private boolean closed;

    /** @throws IOException where the folder can't be opened */
    EventRecorder(Vertx vertx, Timers timers, BackgroundWork work, RouterConfig articles, LongSupplier wall)
            throws IOException {
        this.vertx = vertx;
        this.timers = timers;
        this.work = work;
        this.wall = wall;
        this.articles = articles;
        this.records = EventLog.open(folder(articles), articles.records(), LOG::warn);
        this.writer = vertx.createSharedWorkerExecutor("records", 1);
    }

    /** The orders' ages that the records tell, by the wall clock. */
    record Orders(List<TimeSpan> ages, boolean whole) {}

    /** Orders of the last window, read before anything is written: from the end, as far back as the window reaches. */
    Orders orders(TimeSpan window) {
        long now = wall.getAsLong();
        List<TimeSpan> ages = new ArrayList<>();
        boolean whole = false;
        try {
            for (long tail = FIRST_TAIL; !whole && tail <= LAST_TAIL; tail *= 5) {
                ages.clear();
                whole = read(Math.max(1, records.next() - tail), window, now, ages);
            }
        } catch (IOException unreadable) {
            LOG.atWarn().addKeyValue("cause", unreadable.getMessage()).log("the orders of the last life can't be read");
        }
        return new Orders(ages, whole && records.whole());
    }

    /** Whether the window is covered from an entry on. */
    private boolean read(long from, TimeSpan window, long now, List<TimeSpan> ages) throws IOException {
        boolean[] whole = {from == 1};
        new EventLogReader(folder(articles)).read(from, (number, entry) -> {
            if (entry.kind() == LogEntryType.ORDERED) {
                ages.add(TimeSpan.millis(now - entry.at()));
            }
            whole[0] |= entry.at() <= now - window.toMillis();
        });
        return whole[0];
    }

    private static Path folder(RouterConfig articles) {
        return articles.data().resolve("records");
    }

    void begin() {
        add(
                LogEntry.of(
                        wall.getAsLong(),
                        LogEntryType.STARTED,
                        "",
                        "",
                        "",
                        articles.name(),
                        articles.facts().instances().idleTimeout().toMillis(),
                        0),
                "");
        every(
                CUT,
                () -> work.ask(JobClasses.METER, "", ResourceCost.NONE, null, () -> {
                    cut();
                    return Future.succeededFuture(ResourceCost.NONE);
                }));
        every(
                TIDY,
                () -> work.ask(
                        JobClasses.COMPACT,
                        "",
                        new ResourceCost(0, articles.records().segmentBytes(), 0),
                        null,
                        () -> writer.executeBlocking(() -> {
                            int gone = records.retain();
                            EventLog.Compacted done = records.compact(1);
                            if (gone + done.files() > 0) {
                                LOG.atInfo()
                                        .addKeyValue("gone", gone)
                                        .addKeyValue("compacted", done.files())
                                        .addKeyValue("details", done.details())
                                        .log("records tidied up");
                            }
                            return new ResourceCost(0, done.before() + done.after(), 0);
                        })));
    }

    private void every(TimeSpan span, java.util.function.Supplier<Future<Void>> what) {
        timers.after(span, () -> {
            if (!closed) {
                what.get().onComplete(done -> every(span, what));
            }
        });
    }

    // ---- what happens

    @Override
    public void onRequestEnded(ActiveRequest call, String how, TimeSpan took) {
        add(
                new LogEntry(
                        wall.getAsLong(),
                        LogEntryType.ENDED,
                        call.clientRequestId,
                        call.function,
                        call.tenant,
                        "",
                        how,
                        0,
                        took.nanos() / 1000),
                "");
    }

    @Override
    public void onAttemptEnded(ActiveAttempt leg, Outcome outcome, WorkerResponse said, TimeSpan took) {
        long now = wall.getAsLong();
        ActiveRequest call = leg.request;
        Event.InstanceStatus copy = said == null ? Event.InstanceStatus.UNTOLD : said.instanceStatus();
        model(now, call.function);
        if (copy == Event.InstanceStatus.LOAD_BEGUN || copy == Event.InstanceStatus.LOAD_FAILED) {
            add(
                    LogEntry.of(
                            now - took.toMillis(),
                            LogEntryType.LOADING,
                            call.function,
                            call.tenant,
                            leg.worker,
                            "",
                            1,
                            took.nanos() / 1000),
                    "");
        }
        if (copy == Event.InstanceStatus.LOAD_FAILED) {
            add(
                    LogEntry.of(
                            now, LogEntryType.LOADED, call.function, "", leg.worker, "failed", 0, took.nanos() / 1000),
                    "");
        }
        if (outcome == Outcome.SUCCESS) {
            // a call that waited for a load worked for an unknown part of its time; it renews the copy and weighs
            // nothing
            boolean warm = copy != Event.InstanceStatus.LOAD_BEGUN && copy != Event.InstanceStatus.LOAD_JOINED;
            Work one = cut.computeIfAbsent(new Worker(leg.worker, call.function, call.tenant), key -> new Work());
            one.micros += warm ? took.nanos() / 1000 : 0;
            one.last = now;
        }
        add(
                new LogEntry(
                        now,
                        LogEntryType.LEG,
                        call.clientRequestId,
                        call.function,
                        call.tenant,
                        leg.worker,
                        outcome.name(),
                        copy.ordinal(),
                        took.nanos() / 1000),
                "");
    }

    @Override
    public void beforeLoadRequest(String engine, String function, int copies, Consumer<String> answer) {
        long now = wall.getAsLong();
        String id = Long.toString(++numbered);
        orders.put(id, answer);
        model(now, function);
        add(LogEntry.of(now, LogEntryType.ORDERED, function, "", engine, "", copies, 0), id);
    }

    @Override
    public void onLoadRequestEnded(String engine, String function, Outcome outcome, int copies, TimeSpan took) {
        long now = wall.getAsLong();
        if (outcome == Outcome.SUCCESS || copies > 0) {
            add(
                    LogEntry.of(
                            now - took.toMillis(),
                            LogEntryType.LOADING,
                            function,
                            "",
                            engine,
                            "ordered",
                            copies,
                            took.nanos() / 1000),
                    "");
            add(
                    LogEntry.of(
                            now,
                            LogEntryType.COPIES,
                            function,
                            "",
                            engine,
                            outcome.name(),
                            copies,
                            took.nanos() / 1000),
                    "");
        }
    }

    /** What the list tells of engines. */
    void listed(DiscoveryMessage line) {
        long now = wall.getAsLong();
        Set<String> gone =
                line.kind() == DiscoveryMessage.Kind.WHOLE ? new TreeSet<>(starts.keySet()) : new TreeSet<>();
        for (DiscoveryMessage.Entry one : line.entries()) {
            gone.remove(one.engine());
            boolean leaves = one.standing() == DiscoveryMessage.Standing.GONE;
            Long before = leaves ? starts.remove(one.engine()) : starts.put(one.engine(), one.startedMillis());
            if (before == null ? !leaves : leaves || before != one.startedMillis()) {
                add(
                        LogEntry.of(
                                now,
                                LogEntryType.ENGINE,
                                "",
                                "",
                                one.engine(),
                                one.standing().name(),
                                one.startedMillis(),
                                0),
                        "");
            }
        }
        for (String engine : gone) {
            starts.remove(engine);
            add(LogEntry.of(now, LogEntryType.ENGINE, "", "", engine, DiscoveryMessage.Standing.GONE.name(), 0, 0), "");
        }
    }

    private void model(long now, String function) {
        if (models.add(function)) {
            RouterConfig.ModelTerms terms =
                    articles.modelOf(function.contains("@") ? function.substring(0, function.indexOf('@')) : function);
            add(
                    LogEntry.of(
                            now,
                            LogEntryType.MODEL,
                            function,
                            "",
                            "",
                            "",
                            terms == null ? 0 : Math.round(terms.memoryMb()),
                            0),
                    "");
        }
    }

    /** What accounts' calls worked since the last cut. */
    private void cut() {
        cut.forEach((who, what) -> add(
                LogEntry.of(
                        what.last,
                        LogEntryType.WORK,
                        who.model(),
                        who.account(),
                        who.engine(),
                        "",
                        what.micros,
                        CUT.nanos() / 1000),
                ""));
        cut.clear();
    }

    // ---- on its way to the disk

    private void add(LogEntry entry, String order) {
        tell(new WriteBufferEvent.Came(entry.kind().detail(), order), entry);
    }

    private void tell(WriteBufferEvent event, LogEntry entry) {
        if (closed) {
            return;
        }
        for (WriteBufferAction action : backlog.on(timers.now(), event)) {
            if (action instanceof WriteBufferAction.Take) {
                queue.add(entry);
            } else if (action instanceof WriteBufferAction.Write write) {
                write(write.entries());
            } else if (action instanceof WriteBufferAction.TellLeftOut told) {
                timers.after(
                        TimeSpan.millis(1),
                        () -> add(
                                LogEntry.of(wall.getAsLong(), LogEntryType.DROPPED, "", "", "", "", told.entries(), 0),
                                ""));
            } else if (action instanceof WriteBufferAction.Go go) {
                orders.remove(go.order()).accept("");
            } else if (action instanceof WriteBufferAction.Withhold withheld) {
                orders.remove(withheld.order()).accept(withheld.why());
            } else if (action instanceof WriteBufferAction.Wake wake) {
                timers.after(wake.after(), () -> tell(new WriteBufferEvent.Due(), null));
            } else if (action instanceof WriteBufferAction.Log log) {
                LOG.info(log.text());
            }
        }
        if (emptied != null && backlog.held() == 0) {
            emptied.tryComplete();
        }
    }

    private void write(int entries) {
        List<LogEntry> batch = new ArrayList<>(entries);
        queue.stream().limit(entries).forEach(batch::add);
        ResourceCost cost = new ResourceCost(0, entries * ENTRY, 0);
        long begun = System.nanoTime();
        work.ask(
                        JobClasses.RECORD,
                        "",
                        cost,
                        null,
                        () -> writer.executeBlocking(() -> {
                            records.append(batch);
                            return cost;
                        }))
                .onComplete(
                        safe -> {
                            for (int i = 0; i < entries; i++) {
                                queue.poll();
                            }
                            tell(new WriteBufferEvent.Written(new TimeSpan(System.nanoTime() - begun)), null);
                        },
                        failed -> tell(new WriteBufferEvent.Failed(String.valueOf(failed.getMessage())), null));
    }

    /** Entries that wait for the disk, for the meters. */
    int held() {
        return backlog.held();
    }

    /** Whether the disk refused the last batch. */
    boolean failing() {
        return backlog.failing();
    }

    /** Writes what is held; done once it is safe. A disk that refuses it holds up the caller until its own bound. */
    Future<Void> flush() {
        cut();
        add(LogEntry.of(wall.getAsLong(), LogEntryType.STOPPED, "", "", "", articles.name(), 0, 0), "");
        emptied = Promise.promise();
        tell(new WriteBufferEvent.Stopping(), null);
        return emptied.future();
    }

    void close() {
        closed = true;
        records.close();
    }
}
