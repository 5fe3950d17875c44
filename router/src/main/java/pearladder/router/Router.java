package pearladder.router;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.api.Action;
import pearladder.api.Dispatcher;
import pearladder.api.Event;
import pearladder.api.Facts;
import pearladder.api.Moment;
import pearladder.api.Outcome;
import pearladder.api.Span;
import pearladder.kserve.Bodies;
import pearladder.kserve.FinalState;
import pearladder.kserve.Headers;
import pearladder.kserve.ListLine;
import pearladder.kserve.Route;

/**
 * One router: its door, its engines, its list and one instance of the module, all on one event loop. It is made, started,
 * stopped once.
 */
public final class Router implements Door.House, Conductor.Hands, ListWatch.Listener, Legs.Ended {
    /** Makes the module's instance. */
    public interface Maker {
        Dispatcher make(long seed, Facts facts);
    }

    private static final Logger LOG = LoggerFactory.getLogger(Router.class);

    private final Articles articles;
    private final Vertx vertx;
    private final Context loop;
    private final Meters meters;
    private final Conductor conductor;
    private final Legs legs;
    private final Door door;
    private final ListWatch watch;
    private final Roster roster;
    private final Pulse pulse;
    private final ReleaseDesk releases;
    private final Learning learning;
    private final Map<String, OpenCall> calls = new HashMap<>();
    private long numbered;
    private boolean stopping;
    private boolean warm;
    private Promise<Void> emptied;
    private Promise<Void> stopped;
    private int port;
    private int adminPort;

    private Router(Articles articles, Maker maker, long seed) throws IOException {
        this.articles = articles;
        this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1).setFileSystemOptions(new FileSystemOptions()
                        .setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
        this.loop = vertx.getOrCreateContext();
        this.roster = new Roster(vertx, articles);
        this.pulse = new Pulse(vertx);
        this.meters = new Meters(calls::size, roster::size);
        this.conductor = new Conductor(vertx, maker.make(seed, articles.facts()), meters, this);
        this.legs = new Legs(vertx, articles.name(), articles.limits().answer(), this);
        this.door = new Door(vertx, articles, this, meters);
        this.watch = new ListWatch(vertx, articles.list(), articles.name(), this);
        try {
            this.releases = new ReleaseDesk(vertx, articles, conductor::tell);
            this.learning = new Learning(vertx, releases, articles.others());
        } catch (IOException unopened) {
            vertx.close();
            throw unopened;
        }
    }

    /**
     * Starts a router; the future brings it once it listens, or fails with the cause in words.
     *
     * @param seed of the module's chance; a fresh one at every start
     */
    public static Future<Router> start(Articles articles, Maker maker, long seed) {
        Router router;
        try {
            router = new Router(articles, maker, seed);
        } catch (IOException unopened) {
            return Future.failedFuture(unopened);
        }
        Promise<Router> started = Promise.promise();
        router.loop.runOnContext(run -> {
            router.begin();
            Future<Integer> admin = articles.admin() == null ? Future.succeededFuture(0)
                    : new AdminDoor(router.vertx, articles, router.releases).listen();
            admin.compose(port -> {
                router.adminPort = port;
                return router.door.listen();
            }).onComplete(port -> {
                router.port = port;
                router.pulse.begin();
                long begun = System.nanoTime();
                WarmUp.run(router.vertx, articles, maker, port).onComplete(warm -> {
                    router.warm = true;
                    LOG.atInfo().addKeyValue("ms", (System.nanoTime() - begun) / 1_000_000).log("warmed up");
                });
                LOG.atInfo().addKeyValue("router", articles.name()).addKeyValue("port", port)
                        .addKeyValue("engines", router.roster.size()).log("listening");
                started.complete(router);
            }, failed -> {
                router.releases.end();
                router.vertx.close();
                started.fail(new IOException(articles.host() + ":" + articles.port() + (articles.admin() == null ? ""
                        : " or " + articles.admin().host() + ":" + articles.admin().port()) + " can't be listened on: "
                        + failed.getMessage() + "; is another router running there?", failed));
            });
        });
        return started.future();
    }

    public int port() {
        return port;
    }

    /** The port of the operators' door; 0 where there is none. */
    public int adminPort() {
        return adminPort;
    }

    private void begin() {
        conductor.tell(roster.remembered());
        releases.begin();
        learning.begin();
        watch.watch();
    }

    /** Takes nothing new, finishes what it holds within its bound, and ends. */
    public synchronized Future<Void> stop() {
        if (stopped != null) {
            return stopped.future();
        }
        stopped = Promise.promise();
        loop.runOnContext(run -> {
            stopping = true;
            emptied = Promise.promise();
            LOG.atInfo().addKeyValue("calls", calls.size()).log("stopping");
            long bound = vertx.setTimer(Math.max(1, articles.stopWithin().inMillis()), late -> {
                LOG.atWarn().addKeyValue("calls", calls.size()).log("the bound is reached; terminating what is held");
                for (OpenCall call : List.copyOf(calls.values())) {
                    terminate(new Action.Terminate(call.id));
                }
                emptied.tryComplete();
            });
            if (calls.isEmpty()) {
                emptied.tryComplete();
            }
            emptied.future().onComplete(empty -> {
                vertx.cancelTimer(bound);
                conductor.end();
                learning.close();
                releases.end();
                watch.close();
                // A last answer may still be on its way out of the socket; and a future of this loop says nothing
                // once the loop is gone, so the last step is not chained.
                vertx.setTimer(50, sent -> door.close().compose(closed -> roster.written())
                        .onComplete(end -> vertx.close().onComplete(stopped)));
            });
        });
        return stopped.future();
    }

    // ---- the door

    @Override
    public boolean ready() {
        return roster.known() && warm && learning.learnt() && !stopping;
    }

    @Override
    public String closedBecause() {
        return stopping ? "this router is stopping"
                : calls.size() >= articles.limits().openCalls() ? "this router holds as many calls as it may" : null;
    }

    @Override
    public Span behind() {
        return new Span(pulse.behind());
    }

    @Override
    public void take(Door.Asked asked) {
        String id = Long.toString(++numbered);
        String named = asked.named() != null ? asked.named() : articles.name() + "-" + id;
        String model = asked.route().model();
        String version = asked.route().version() != null ? asked.route().version()
                : releases.version(id, model, key(asked, named), asked.mark() == null ? "" : asked.mark());
        String path = "/v2/models/" + model + (version.isEmpty() ? "" : "/versions/" + version) + "/infer";
        OpenCall call = new OpenCall(id, named, Route.function(model, version), path, asked.contentType(),
                asked.mark(), asked.body(), asked.response(), asked.came(), asked.came().plus(asked.category().expected()));
        call.chosen = asked.route().version() == null;
        calls.put(id, call);
        call.response.putHeader(Headers.CALL, call.named);
        if (!version.isEmpty()) {
            call.response.putHeader(Headers.VERSION, version);
        }
        call.response.closeHandler(closed -> left(call));
        conductor.tell(new Event.CallCame(id, call.function, asked.category().name(), asked.account(),
                asked.timeLeft(), asked.model().lanes(), asked.model().memoryMb(), asked.model().usualLoad(),
                asked.hint(), asked.repeat(), false));
    }

    /** What keeps together when versions shift: account and document, or the call alone. */
    private static String key(Door.Asked asked, String named) {
        return asked.key() == null ? named : (asked.account() == null ? "" : asked.account()) + "\n" + asked.key();
    }

    /** The client is gone: nothing is owed any more, and what still runs for it is called off. */
    private void left(OpenCall call) {
        if (call.over) {
            return;
        }
        call.over = true;
        meters.clientLeft();
        if (call.chosen) {
            releases.left(call.id);
        }
        conductor.tell(new Event.ClientLeft(call.id));
        if (articles.facts().allowances().cancel()) {
            for (OpenLeg leg : List.copyOf(call.legs)) {
                if (!leg.ended) {
                    legs.cancel(leg);
                }
            }
        }
        forget(call);
    }

    private void forget(OpenCall call) {
        if (call.over && call.legsOut == 0) {
            calls.remove(call.id);
            if (emptied != null && calls.isEmpty()) {
                emptied.tryComplete();
            }
        }
    }

    /** Gives a call its one final answer; false where it had one before. */
    private boolean answer(OpenCall call, FinalState state) {
        if (call == null || call.over) {
            return false;
        }
        call.over = true;
        Moment now = Conductor.now();
        meters.answered(state, now.since(call.taken).nanos());
        if (call.chosen) {
            releases.ended(call.id, state == FinalState.SETTLED && !call.erred && now.before(call.expectedBy),
                    call.legs.stream().map(leg -> leg.engine).distinct().toList());
        }
        return !call.response.ended() && !call.response.closed();
    }

    // ---- what the module asks for

    @Override
    public void send(Action.Send send) {
        OpenCall call = calls.get(send.call());
        if (call == null) {
            LOG.error("a leg for a call that is not held: {}", send.call());
            return;
        }
        OpenLeg leg = new OpenLeg(call, call.legs.size(), send.worker(), Conductor.now());
        call.legs.add(leg);
        call.legsOut++;
        legs.send(leg, call.over ? null : roster.link(send.worker()), send.limit());
    }

    @Override
    public void leg(OpenLeg leg, Outcome outcome, EngineAnswer answer) {
        OpenCall call = leg.call;
        call.legsOut--;
        meters.legEnded(outcome);
        call.erred |= outcome == Outcome.ERROR || answer != null && answer.copy() == Event.Copy.LOAD_FAILED;
        if (outcome == Outcome.SUCCESS && answer(call, FinalState.SETTLED)) {
            HttpServerResponse response = call.response;
            for (String name : List.of("content-type", Headers.COPY, Headers.CROWD, Headers.REPORT)) {
                String value = answer.headers().get(name);
                if (value != null) {
                    response.putHeader(name, value);
                }
            }
            response.setStatusCode(answer.status()).putHeader(Headers.STATE, FinalState.SETTLED.word())
                    .end(answer.body());
        }
        conductor.tell(new Event.LegEnded(call.id, leg.number, leg.engine, outcome,
                Conductor.now().since(leg.sent), call.over, answer == null ? Event.Copy.UNTOLD : answer.copy(),
                answer == null ? -1 : answer.crowd(), answer == null ? null : answer.report()));
        forget(call);
    }

    @Override
    public void cancel(Action.Cancel cancel) {
        OpenCall call = calls.get(cancel.call());
        if (call != null && cancel.leg() < call.legs.size()) {
            legs.cancel(call.legs.get(cancel.leg()));
        }
    }

    @Override
    public void dismiss(Action.Dismiss dismiss) {
        OpenCall call = calls.get(dismiss.call());
        if (answer(call, FinalState.DISMISSED)) {
            Door.dismiss(call.response, "not done; trying again is harmless", dismiss.retryAfter());
        }
        if (call != null) {
            forget(call);
        }
    }

    @Override
    public void terminate(Action.Terminate terminate) {
        OpenCall call = calls.get(terminate.call());
        if (answer(call, FinalState.TERMINATED)) {
            call.response.setStatusCode(FinalState.TERMINATED.status)
                    .putHeader(Headers.STATE, FinalState.TERMINATED.word())
                    .putHeader("content-type", "application/json")
                    .end(Bodies.error("no answer; it may or may not have taken effect"));
        }
        if (call != null) {
            forget(call);
        }
    }

    @Override
    public void hold(Action.Hold hold) {
        Moment sent = Conductor.now();
        EngineLink link = roster.link(hold.worker());
        meters.ordered();
        if (link == null) {
            conductor.tell(new Event.LoadAnswered(hold.worker(), hold.function(), Outcome.UNREACHABLE, 0, Span.NONE));
            return;
        }
        legs.order(link, hold, articles.facts().copies().orderTimeout(), (outcome, copies) ->
                conductor.tell(new Event.LoadAnswered(hold.worker(), hold.function(), outcome, copies,
                        Conductor.now().since(sent))));
    }

    @Override
    public void unload(Action.Unload unload) {
        EngineLink link = roster.link(unload.worker());
        if (link != null) {
            legs.unload(link, unload.function(), articles.facts().copies().orderTimeout());
        }
    }

    @Override
    public void probe(Action.Probe probe) {
        EngineLink link = roster.link(probe.worker());
        if (link == null) {
            conductor.tell(new Event.Probed(probe.worker(), Outcome.UNREACHABLE, Span.NONE, null));
            return;
        }
        legs.probe(link, articles.facts().copies().orderTimeout(), (outcome, answer, took) ->
                conductor.tell(new Event.Probed(probe.worker(), outcome, took,
                        answer == null ? null : answer.report())));
    }

    @Override
    public void closeIdle(Action.CloseIdle close) {
        EngineLink link = roster.link(close.worker());
        if (link != null) {
            link.closeIdle();
        }
    }

    @Override
    public void subscribe(Action.Subscribe subscribe) {
        if (subscribe.on()) {
            watch.watch();
        }
    }

    @Override
    public void standing(Action.Standing standing) {
        releases.standing(standing.function(), standing.share());
    }

    @Override
    public void fetchList() {
        watch.watch();
    }

    // ---- the list

    @Override
    public void failed() {
        conductor.tell(new Event.Listed(Event.ListKind.FAILED, List.of()));
    }

    @Override
    public void line(ListLine line) {
        conductor.tell(roster.follow(line));
    }
}
