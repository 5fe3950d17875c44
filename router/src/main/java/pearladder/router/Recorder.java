package pearladder.router;

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
import pearladder.api.Event;
import pearladder.api.Outcome;
import pearladder.api.Span;
import pearladder.backlog.Backlog;
import pearladder.backlog.BacklogAction;
import pearladder.backlog.BacklogEvent;
import pearladder.kserve.ListLine;
import pearladder.records.Archive;
import pearladder.records.Entry;
import pearladder.records.Kind;
import pearladder.records.Records;
import pearladder.router.core.Articles;
import pearladder.router.core.Chronicle;
import pearladder.router.core.EngineSaid;
import pearladder.router.core.OpenCall;
import pearladder.router.core.OpenLeg;
import pearladder.router.core.Timers;
import pearladder.work.Duties;
import pearladder.work.Load;

/**
 * Keeps the record of what this router does: entries are made on the event loop and written off it, when the backlog module
 * says so. It does what that says and decides nothing.
 */
final class Recorder implements Chronicle {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.records");
    private static final Span GATHER = Span.millis(20);
    private static final Span WINDOW = Span.millis(50);
    private static final int MOST = 200_000;
    private static final int AT_ONCE = 5_000;
    private static final Span CUT = Span.seconds(2);
    private static final Span TIDY = Span.seconds(600);
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
    private final Articles articles;
    private final Records records;
    private final WorkerExecutor writer;
    private final Backlog backlog = new Backlog(GATHER, WINDOW, MOST, AT_ONCE);
    private final ArrayDeque<Entry> queue = new ArrayDeque<>();
    private final Map<String, Consumer<String>> orders = new HashMap<>();
    private final Map<Worker, Work> cut = new LinkedHashMap<>();
    private final Set<String> models = new HashSet<>();
    private final Map<String, Long> starts = new HashMap<>();
    private Promise<Void> emptied;
    private long numbered;
    private boolean closed;

    /** @throws IOException where the folder can't be opened */
    Recorder(Vertx vertx, Timers timers, BackgroundWork work, Articles articles, LongSupplier wall) throws IOException {
        this.vertx = vertx;
        this.timers = timers;
        this.work = work;
        this.wall = wall;
        this.articles = articles;
        this.records = Records.open(folder(articles), articles.records(), LOG::warn);
        this.writer = vertx.createSharedWorkerExecutor("records", 1);
    }

    /** The orders' ages that the records tell, by the wall clock. */
    record Orders(List<Span> ages, boolean whole) {}

    /** Orders of the last window, read before anything is written: from the end, as far back as the window reaches. */
    Orders orders(Span window) {
        long now = wall.getAsLong();
        List<Span> ages = new ArrayList<>();
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
    private boolean read(long from, Span window, long now, List<Span> ages) throws IOException {
        boolean[] whole = {from == 1};
        new Archive(folder(articles)).read(from, (number, entry) -> {
            if (entry.kind() == Kind.ORDERED) {
                ages.add(Span.millis(now - entry.at()));
            }
            whole[0] |= entry.at() <= now - window.inMillis();
        });
        return whole[0];
    }

    private static Path folder(Articles articles) {
        return articles.data().resolve("records");
    }

    void begin() {
        add(
                Entry.of(
                        wall.getAsLong(),
                        Kind.STARTED,
                        "",
                        "",
                        "",
                        articles.name(),
                        articles.facts().copies().kept().inMillis(),
                        0),
                "");
        every(
                CUT,
                () -> work.ask(Duties.METER, "", Load.NONE, null, () -> {
                    cut();
                    return Future.succeededFuture(Load.NONE);
                }));
        every(
                TIDY,
                () -> work.ask(
                        Duties.COMPACT,
                        "",
                        new Load(0, articles.records().segmentBytes(), 0),
                        null,
                        () -> writer.executeBlocking(() -> {
                            int gone = records.retain();
                            Records.Compacted done = records.compact(1);
                            if (gone + done.files() > 0) {
                                LOG.atInfo()
                                        .addKeyValue("gone", gone)
                                        .addKeyValue("compacted", done.files())
                                        .addKeyValue("details", done.details())
                                        .log("records tidied up");
                            }
                            return new Load(0, done.before() + done.after(), 0);
                        })));
    }

    private void every(Span span, java.util.function.Supplier<Future<Void>> what) {
        timers.after(span, () -> {
            if (!closed) {
                what.get().onComplete(done -> every(span, what));
            }
        });
    }

    // ---- what happens

    @Override
    public void ended(OpenCall call, String how, Span took) {
        add(
                new Entry(
                        wall.getAsLong(),
                        Kind.ENDED,
                        call.named,
                        call.function,
                        call.account,
                        "",
                        how,
                        0,
                        took.nanos() / 1000),
                "");
    }

    @Override
    public void legEnded(OpenLeg leg, Outcome outcome, EngineSaid said, Span took) {
        long now = wall.getAsLong();
        OpenCall call = leg.call;
        Event.Copy copy = said == null ? Event.Copy.UNTOLD : said.copy();
        model(now, call.function);
        if (copy == Event.Copy.LOAD_BEGUN || copy == Event.Copy.LOAD_FAILED) {
            add(
                    Entry.of(
                            now - took.inMillis(),
                            Kind.LOADING,
                            call.function,
                            call.account,
                            leg.engine,
                            "",
                            1,
                            took.nanos() / 1000),
                    "");
        }
        if (copy == Event.Copy.LOAD_FAILED) {
            add(Entry.of(now, Kind.LOADED, call.function, "", leg.engine, "failed", 0, took.nanos() / 1000), "");
        }
        if (outcome == Outcome.SUCCESS) {
            // a call that waited for a load worked for an unknown part of its time; it renews the copy and weighs
            // nothing
            boolean warm = copy != Event.Copy.LOAD_BEGUN && copy != Event.Copy.LOAD_JOINED;
            Work one = cut.computeIfAbsent(new Worker(leg.engine, call.function, call.account), key -> new Work());
            one.micros += warm ? took.nanos() / 1000 : 0;
            one.last = now;
        }
        add(
                new Entry(
                        now,
                        Kind.LEG,
                        call.named,
                        call.function,
                        call.account,
                        leg.engine,
                        outcome.name(),
                        copy.ordinal(),
                        took.nanos() / 1000),
                "");
    }

    @Override
    public void ordering(String engine, String function, int copies, Consumer<String> answer) {
        long now = wall.getAsLong();
        String id = Long.toString(++numbered);
        orders.put(id, answer);
        model(now, function);
        add(Entry.of(now, Kind.ORDERED, function, "", engine, "", copies, 0), id);
    }

    @Override
    public void ordered(String engine, String function, Outcome outcome, int copies, Span took) {
        long now = wall.getAsLong();
        if (outcome == Outcome.SUCCESS || copies > 0) {
            add(
                    Entry.of(
                            now - took.inMillis(),
                            Kind.LOADING,
                            function,
                            "",
                            engine,
                            "ordered",
                            copies,
                            took.nanos() / 1000),
                    "");
            add(Entry.of(now, Kind.COPIES, function, "", engine, outcome.name(), copies, took.nanos() / 1000), "");
        }
    }

    /** What the list tells of engines. */
    void listed(ListLine line) {
        long now = wall.getAsLong();
        Set<String> gone = line.kind() == ListLine.Kind.WHOLE ? new TreeSet<>(starts.keySet()) : new TreeSet<>();
        for (ListLine.Entry one : line.entries()) {
            gone.remove(one.engine());
            boolean leaves = one.standing() == ListLine.Standing.GONE;
            Long before = leaves ? starts.remove(one.engine()) : starts.put(one.engine(), one.startedMillis());
            if (before == null ? !leaves : leaves || before != one.startedMillis()) {
                add(
                        Entry.of(
                                now,
                                Kind.ENGINE,
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
            add(Entry.of(now, Kind.ENGINE, "", "", engine, ListLine.Standing.GONE.name(), 0, 0), "");
        }
    }

    private void model(long now, String function) {
        if (models.add(function)) {
            Articles.ModelTerms terms =
                    articles.modelOf(function.contains("@") ? function.substring(0, function.indexOf('@')) : function);
            add(
                    Entry.of(
                            now, Kind.MODEL, function, "", "", "", terms == null ? 0 : Math.round(terms.memoryMb()), 0),
                    "");
        }
    }

    /** What accounts' calls worked since the last cut. */
    private void cut() {
        cut.forEach((who, what) -> add(
                Entry.of(
                        what.last,
                        Kind.WORK,
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

    private void add(Entry entry, String order) {
        tell(new BacklogEvent.Came(entry.kind().detail(), order), entry);
    }

    private void tell(BacklogEvent event, Entry entry) {
        if (closed) {
            return;
        }
        for (BacklogAction action : backlog.on(timers.now(), event)) {
            if (action instanceof BacklogAction.Take) {
                queue.add(entry);
            } else if (action instanceof BacklogAction.Write write) {
                write(write.entries());
            } else if (action instanceof BacklogAction.TellLeftOut told) {
                timers.after(
                        Span.millis(1),
                        () -> add(Entry.of(wall.getAsLong(), Kind.DROPPED, "", "", "", "", told.entries(), 0), ""));
            } else if (action instanceof BacklogAction.Go go) {
                orders.remove(go.order()).accept("");
            } else if (action instanceof BacklogAction.Withhold withheld) {
                orders.remove(withheld.order()).accept(withheld.why());
            } else if (action instanceof BacklogAction.Wake wake) {
                timers.after(wake.after(), () -> tell(new BacklogEvent.Due(), null));
            } else if (action instanceof BacklogAction.Log log) {
                LOG.info(log.text());
            }
        }
        if (emptied != null && backlog.held() == 0) {
            emptied.tryComplete();
        }
    }

    private void write(int entries) {
        List<Entry> batch = new ArrayList<>(entries);
        queue.stream().limit(entries).forEach(batch::add);
        Load cost = new Load(0, entries * ENTRY, 0);
        long begun = System.nanoTime();
        work.ask(
                        Duties.RECORD,
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
                            tell(new BacklogEvent.Written(new Span(System.nanoTime() - begun)), null);
                        },
                        failed -> tell(new BacklogEvent.Failed(String.valueOf(failed.getMessage())), null));
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
        add(Entry.of(wall.getAsLong(), Kind.STOPPED, "", "", "", articles.name(), 0, 0), "");
        emptied = Promise.promise();
        tell(new BacklogEvent.Stopping(), null);
        return emptied.future();
    }

    void close() {
        closed = true;
        records.close();
    }
}
