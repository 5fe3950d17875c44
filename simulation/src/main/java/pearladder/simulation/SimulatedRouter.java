package pearladder.simulation;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import pearladder.emulator.EndpointRegistry;
import pearladder.emulator.Timeline;
import pearladder.kserve.DiscoveryMessage;
import pearladder.kserve.RequestOutcome;
import pearladder.rollout.RolloutTarget;
import pearladder.router.core.ActiveAttempt;
import pearladder.router.core.ActiveRequest;
import pearladder.router.core.EndpointList;
import pearladder.router.core.EventListener;
import pearladder.router.core.RequestManager;
import pearladder.router.core.ResponseHandler;
import pearladder.router.core.RolloutManager;
import pearladder.router.core.RouterConfig;
import pearladder.router.core.RouterMetrics;
import pearladder.router.core.SnapshotLoader;
import pearladder.router.core.Timers;
import pearladder.router.core.WorkerResponse;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;
import pearladder.testbed.LoadGenerator;

/** One router from its start to its death: the router's own code on the virtual clock and network. */
final class SimulatedRouter implements Timers, RouterMetrics {
    /** One client's try at this router, and where its answer goes. */
    final class Carried implements ResponseHandler, LoadGenerator.Wire.Out {
        private final LoadGenerator.Request request;
        private final LoadGenerator.Heard heard;
        private ActiveRequest call;
        private String version = "";
        private boolean over;

        Carried(LoadGenerator.Request request, LoadGenerator.Heard heard) {
            this.request = request;
            this.heard = heard;
        }

        /** Nanoseconds on a standard core. */
        long work() {
            return request.drawn().work();
        }

        @Override
        public void succeeded(WorkerResponse said) {
            answer(RequestOutcome.SETTLED, RequestOutcome.SETTLED.status, 0);
        }

        @Override
        public void rejected(TimeSpan retryAfter) {
            answer(RequestOutcome.DISMISSED, RequestOutcome.DISMISSED.status, retryAfter.toMillis() * 1_000_000);
        }

        @Override
        public void failed() {
            answer(RequestOutcome.TERMINATED, RequestOutcome.TERMINATED.status, 0);
        }

        void answer(RequestOutcome state, int status, long wait) {
            if (!over) {
                over = true;
                open.remove(this);
                time.after(delay, () -> heard.answered(state, status, version, wait));
            }
        }

        private void cut() {
            over = true;
            time.after(delay, () -> heard.unanswered("cut"));
        }

        @Override
        public void drop() {
            time.after(
                    delay,
                    () -> run(() -> {
                        over = true;
                        open.remove(this);
                        if (call != null) {
                            calls.clientDisconnected(call);
                        }
                    }));
        }
    }

    /** What a router's records keep that its next life asks for: here only the orders, each safe after the gathering time. */
    private final class Kept implements EventListener {
        @Override
        public void onRequestEnded(ActiveRequest ended, String how, TimeSpan took) {
            // the tape has it
        }

        @Override
        public void onAttemptEnded(ActiveAttempt leg, Outcome outcome, WorkerResponse said, TimeSpan took) {
            // the tape has it
        }

        @Override
        public void beforeLoadRequest(String engine, String function, int copies, Consumer<String> answer) {
            after(KEPT_AFTER, () -> {
                station.ordered(time.now());
                answer.accept("");
            });
        }

        @Override
        public void onLoadRequestEnded(String engine, String function, Outcome outcome, int copies, TimeSpan took) {
            // the tape has it
        }
    }

    /** A record is safe after so long, as over sockets. */
    private static final long KEPT_AFTER = 25_000_000L;

    private static final long SNAPSHOT = 1_000_000_000L;

    private final RoutingPolicy module;
    private final SimulatedHost station;
    private final Consumer<String> logged;
    private final Timeline time;
    private final RouterConfig articles;
    private final SimulatedFleet fleet;
    private final long delay;
    private final SimulatedWorkerClient engines;
    private final EndpointList list;
    private final RequestManager calls;
    private final RolloutManager desk;
    private final Set<Carried> open = new LinkedHashSet<>();
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private EndpointRegistry.Watcher watcher;
    private Timeline.Planned silence;
    private long version;
    private int attempt;
    private boolean watching;
    private boolean paused;
    private long ahead;
    private boolean dead;

    SimulatedRouter(
            SimulatedHost station,
            Timeline time,
            RouterConfig articles,
            SimulatedFleet fleet,
            long delay,
            Consumer<String> logged,
            RoutingPolicy module,
            Consumer<String> fell) {
        this.logged = logged;
        this.station = station;
        this.time = time;
        this.articles = articles;
        this.fleet = fleet;
        this.delay = delay;
        this.engines = new SimulatedWorkerClient(
                this, articles.name(), delay, articles.connections().dial().nanos(), fell);
        this.list =
                new EndpointList(0, entry -> engines.came(entry.engine(), fleet.pathTo(entry.engine())), engines::went);
        this.module = module;
        this.calls = new RequestManager(
                articles.facts(),
                this,
                module,
                engines,
                this,
                articles.records() == null ? EventListener.NONE : new Kept());
        this.desk = new RolloutManager(this, articles, station.journal(), calls::dispatch);
        this.calls.onPrewarmProgress(desk::standing);
    }

    /** Begins as a router does: the last list, the journal, what others know, then the list service. */
    void begin() {
        Event.EndpointsUpdated last = list.restore(station.lastList());
        calls.dispatch(last);
        if (articles.records() != null) {
            calls.dispatch(SnapshotLoader.event(
                    articles.facts(),
                    station.known(),
                    station.knownFor(time.now()),
                    station.orders(time.now()),
                    true,
                    last,
                    now(),
                    why -> logged.accept("begins with what is believed " + why)));
            snapshot();
        }
        desk.begin();
        station.others().forEach(desk::heard);
        watchList();
        learn();
    }

    private void snapshot() {
        after(SNAPSHOT, () -> {
            station.remember(module.snapshot(now()), time.now());
            snapshot();
        });
    }

    private void learn() {
        after(1_000_000_000L, () -> {
            station.others().forEach(desk::heard);
            learn();
        });
    }

    List<RolloutTarget> targets() {
        return desk.targets();
    }

    void order(List<RolloutTarget> orders, Consumer<List<String>> answers) {
        run(() -> desk.order(orders, answers));
    }

    // ---- time

    @Override
    public MonotonicTime now() {
        return new MonotonicTime(time.now() + ahead);
    }

    @Override
    public Timer after(TimeSpan span, Runnable what) {
        Timeline.Planned planned = after(Timers.millis(span) * 1_000_000, what);
        return planned::callOff;
    }

    Timeline.Planned after(long nanos, Runnable what) {
        return time.after(nanos, () -> run(what));
    }

    /** Runs something of this router's: not when it is dead, and only later while it stands still. */
    void run(Runnable what) {
        if (dead) {
            return;
        }
        if (paused) {
            waiting.add(what);
        } else {
            what.run();
        }
    }

    void pause(boolean on) {
        paused = on;
        while (!paused && !waiting.isEmpty()) {
            waiting.poll().run();
        }
    }

    /** Its clock jumps ahead by so much for good. */
    void jump(long nanos) {
        ahead += nanos;
    }

    /** Killed: clients and engines see their connections break, and nothing of it happens any more. */
    void die() {
        dead = true;
        engines.die();
        List.copyOf(open).forEach(Carried::cut);
        open.clear();
        if (watcher != null) {
            fleet.registry().removeWatcher(watcher);
        }
    }

    // ---- the door

    /** A try reaches the door; it mirrors what the real door makes of a call. */
    void take(Carried carried) {
        if (dead) {
            carried.over = true;
            time.after(delay, () -> carried.heard.unanswered("unreachable"));
            return;
        }
        open.add(carried);
        run(() -> read(carried));
    }

    private void read(Carried carried) {
        LoadGenerator.Request request = carried.request;
        RoutingSettings.RequestClass category =
                articles.category(request.terms().name());
        RouterConfig.ModelTerms terms = articles.modelOf(request.drawn().model());
        if (carried.over) {
            return;
        }
        if (category == null || terms == null) {
            carried.answer(null, category == null ? 400 : 404, 0);
        } else if (calls.inFlight() >= articles.limits().openCalls()) {
            carried.rejected(articles.facts().attemptLimits().maxRetryAfter());
        } else {
            TimeSpan left = new TimeSpan(request.patience()).atMost(category.deadline());
            String mark = request.mark().isEmpty() ? null : request.mark();
            String account = articles.facts().tenants().isEmpty()
                    ? null
                    : request.drawn().account();
            RolloutManager.Chosen chosen = desk.choose(
                    new RolloutManager.Wish(request.id(), request.drawn().model(), null, null, account, mark));
            carried.version = chosen.version();
            carried.call = calls.accept(
                    new RequestManager.ParsedRequest(
                            request.id(),
                            chosen.function(),
                            mark,
                            now(),
                            left,
                            category,
                            account,
                            terms.lanes(),
                            terms.memoryMb(),
                            terms.usualLoad(),
                            null,
                            request.repeat(),
                            chosen.ending()),
                    carried);
        }
    }

    // ---- the list

    void watchList() {
        if (watching || dead) {
            return;
        }
        watching = true;
        int mine = ++attempt;
        heard(mine);
        after(2 * delay, () -> {
            if (mine == attempt && watching) {
                watcher = fleet.registry()
                        .watch(articles.name(), version, line -> time.after(delay, () -> run(() -> line(mine, line))));
            }
        });
    }

    private void line(int mine, DiscoveryMessage line) {
        if (mine != attempt || !watching) {
            return;
        }
        heard(mine);
        if (line.kind() != DiscoveryMessage.Kind.BEAT) {
            version = line.version();
            calls.dispatch(list.apply(line));
            station.remember(list::whole);
        }
    }

    private void heard(int mine) {
        if (silence != null) {
            silence.callOff();
        }
        silence = after(articles.list().silence().nanos(), () -> broke(mine));
    }

    /** The list's connection breaks. */
    void listBroke() {
        int mine = attempt;
        time.after(delay, () -> run(() -> broke(mine)));
    }

    private void broke(int mine) {
        if (mine != attempt || !watching) {
            return;
        }
        watching = false;
        if (watcher != null) {
            fleet.registry().removeWatcher(watcher);
            watcher = null;
        }
        calls.dispatch(new Event.EndpointsUpdated(Event.EndpointUpdateKind.FAILED, List.of()));
    }

    // ---- counts

    @Override
    public void onResponse(RequestOutcome state, long nanos) {
        // the clients count answers
    }

    @Override
    public void onAttemptEnded(Outcome outcome) {
        // the tape has it
    }

    @Override
    public void onDecision(long nanos) {
        station.decided(nanos);
    }

    @Override
    public void onModeChange(String text) {
        logged.accept(text);
    }

    @Override
    public void onClientDisconnected() {
        // the tape has it
    }

    @Override
    public void onLoadRequest() {
        // the tape has it
    }
}
