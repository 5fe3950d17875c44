package pearladder.router.kserve;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.background.JobClasses;
import pearladder.background.ResourceCost;
import pearladder.kserve.DiscoveryMessage;
import pearladder.router.core.ActiveRequest;
import pearladder.router.core.EventListener;
import pearladder.router.core.EventLoopLag;
import pearladder.router.core.PolicyFactory;
import pearladder.router.core.RequestManager;
import pearladder.router.core.SnapshotLoader;
import pearladder.router.core.VertxTimers;
import pearladder.routing.api.Event;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.PolicySnapshot;

/**
 * One router behind real sockets: its door, its engines, its list, its releases and one instance of the module, all on one
 * event loop. It is made, started, stopped once. What it does with calls is in {@link RequestManager}.
 */
public final class Router implements InferenceServer.House, EndpointWatch.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Router.class);
    private static final int WRITING_AT_STOP_SECONDS = 5;
    private static final long SNAPSHOT_MILLIS = 1000;

    private final RouterConfig articles;
    private final Vertx vertx;
    private final Context loop;
    private final PrometheusMetrics meters;
    private final RequestManager calls;
    private final InferenceServer door;
    private final EndpointWatch watch;
    private final WorkerRegistry roster;
    private final BackgroundWork work;
    private final EventLoopLag pulse;
    private final AsyncRolloutJournal journal;
    private final RolloutManager releases;
    private final RolloutSync learning;
    private final RoutingPolicy module;
    private final SnapshotFile snapshot;
    private final EventRecorder recorder;
    private boolean stopping;
    private boolean warm;
    private Promise<Void> stopped;
    private int port;
    private int adminPort;
    private long numbered;

    private Router(RouterConfig articles, PolicyFactory policyFactory, long seed) throws IOException {
        this.articles = articles;
        RolloutJournal orders = RolloutJournal.open(articles.data());
        this.vertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(
                        new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
        this.loop = vertx.getOrCreateContext();
        VertxTimers timers = new VertxTimers(vertx);
        this.work = new BackgroundWork(timers, JobClasses.scheduler(seed, timers.now()));
        this.roster = new WorkerRegistry(vertx, articles, work);
        this.pulse = new EventLoopLag(vertx);
        this.meters = new PrometheusMetrics(this::held, roster::size);
        this.watch = new EndpointWatch(vertx, articles.list(), articles.name(), this);
        this.module = policyFactory.make(seed, articles.facts());
        this.snapshot = new SnapshotFile(articles.data());
        this.recorder = articles.records() == null ? null : recorder(timers, orders);
        this.calls = new RequestManager(
                articles.facts(),
                timers,
                module,
                new HttpWorkerClient(vertx, articles.name(), articles.limits().answer(), roster, watch::watch),
                meters,
                recorder == null ? EventListener.NONE : recorder);
        this.door = new InferenceServer(vertx, articles, this, meters);
        this.journal = new AsyncRolloutJournal(vertx, orders);
        this.releases = new RolloutManager(timers, articles, journal, calls::dispatch);
        this.calls.onPrewarmProgress(releases::standing);
        this.learning = new RolloutSync(vertx, releases, journal, work, articles.others());
    }

    private EventRecorder recorder(VertxTimers timers, RolloutJournal orders) throws IOException {
        try {
            return new EventRecorder(vertx, timers, work, articles, System::currentTimeMillis);
        } catch (IOException unopened) {
            orders.close();
            vertx.close();
            throw unopened;
        }
    }

    private Number held() {
        return calls.inFlight();
    }

    /**
     * Starts a router; the future brings it once it listens, or fails with the cause in words.
     *
     * @param seed of the module's chance; a fresh one at every start
     */
    public static Future<Router> start(RouterConfig articles, PolicyFactory policyFactory, long seed) {
        Router router;
        try {
            router = new Router(articles, policyFactory, seed);
        } catch (IOException unopened) {
            return Future.failedFuture(unopened);
        }
        Promise<Router> started = Promise.promise();
        router.loop.runOnContext(run -> {
            router.begin();
            Future<Integer> admin = articles.admin() == null
                    ? Future.succeededFuture(0)
                    : new AdminServer(router.vertx, articles, router.releases).listen();
            admin.compose(port -> {
                        router.adminPort = port;
                        return router.door.listen();
                    })
                    .onComplete(
                            port -> {
                                router.port = port;
                                router.pulse.begin();
                                router.vertx.setPeriodic(100, beat -> router.work.strained(router.behind()));
                                long begun = System.nanoTime();
                                WarmUp.run(router.vertx, articles, policyFactory, port)
                                        .onComplete(warm -> {
                                            router.warm = true;
                                            LOG.atInfo()
                                                    .addKeyValue("ms", (System.nanoTime() - begun) / 1_000_000)
                                                    .log("warmed up");
                                        });
                                LOG.atInfo()
                                        .addKeyValue("router", articles.name())
                                        .addKeyValue("port", port)
                                        .addKeyValue("engines", router.roster.size())
                                        .log("listening");
                                started.complete(router);
                            },
                            failed -> {
                                router.journal.close();
                                if (router.recorder != null) {
                                    router.recorder.close();
                                }
                                router.vertx.close();
                                started.fail(new IOException(
                                        articles.host() + ":" + articles.port()
                                                + (articles.admin() == null
                                                        ? ""
                                                        : " or "
                                                                + articles.admin()
                                                                        .host() + ":"
                                                                + articles.admin()
                                                                        .port())
                                                + " can't be listened on: "
                                                + failed.getMessage() + "; is another router running there?",
                                        failed));
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
        Event.EndpointsUpdated list = roster.remembered();
        calls.dispatch(list);
        if (recorder != null) {
            recall(list);
        }
        releases.begin();
        learning.begin();
        watch.watch();
    }

    /** What the last life knew, as far as it may be believed; then what this one knows is written once a second. */
    private void recall(Event.EndpointsUpdated list) {
        EventRecorder.Orders orders =
                recorder.orders(articles.facts().loadQuota().window());
        SnapshotFile.Taken taken = snapshot.take();
        TimeSpan gap = taken == null ? TimeSpan.ZERO : TimeSpan.millis(System.currentTimeMillis() - taken.wall());
        calls.dispatch(SnapshotLoader.event(
                articles.facts(),
                taken == null ? null : taken.known(),
                gap,
                orders.ages(),
                orders.whole(),
                list,
                VertxTimers.present(),
                why -> LOG.info("begins with what is believed " + why)));
        recorder.begin();
        meters.records(recorder::held, () -> recorder.failing() ? 1 : 0);
        vertx.setPeriodic(SNAPSHOT_MILLIS, due -> {
            if (!stopping) {
                work.ask(JobClasses.SNAPSHOT, "", ResourceCost.NONE, null, this::takeSnapshot);
            }
        });
    }

    private Future<ResourceCost> takeSnapshot() {
        PolicySnapshot known = module.snapshot(VertxTimers.present());
        long wall = System.currentTimeMillis();
        return vertx.executeBlocking(() -> new ResourceCost(0, snapshot.write(wall, known), 0));
    }

    /** Takes nothing new, finishes what it holds within its bound, and ends. */
    public synchronized Future<Void> stop() {
        if (stopped != null) {
            return stopped.future();
        }
        stopped = Promise.promise();
        loop.runOnContext(run -> {
            stopping = true;
            LOG.atInfo().addKeyValue("calls", calls.inFlight()).log("stopping");
            Promise<Void> emptied = Promise.promise();
            long bound = vertx.setTimer(Math.max(1, articles.stopWithin().toMillis()), late -> {
                LOG.atWarn()
                        .addKeyValue("calls", calls.inFlight())
                        .log("the bound is reached; terminating what is held");
                calls.failAll();
                emptied.tryComplete();
            });
            calls.whenEmpty(emptied::tryComplete);
            emptied.future().onComplete(empty -> {
                vertx.cancelTimer(bound);
                calls.stop();
                learning.close();
                releases.end();
                watch.close();
                // A last answer may still be on its way out of the socket; and a future of this loop says nothing
                // once the loop is gone, so the last step is not chained.
                vertx.setTimer(50, sent -> door.close()
                        .compose(closed -> recorder == null
                                ? Future.<Void>succeededFuture()
                                : recorder.flush()
                                        .compose(flushed -> takeSnapshot())
                                        .<Void>mapEmpty())
                        .compose(kept -> work.stop())
                        .compose(done -> journal.written())
                        // a disk that hangs holds up the last writes, but not the end
                        .timeout(WRITING_AT_STOP_SECONDS, TimeUnit.SECONDS)
                        .onComplete(end -> {
                            journal.close();
                            if (recorder != null) {
                                recorder.close();
                            }
                            vertx.close().onComplete(stopped);
                        }));
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
        return stopping
                ? "this router is stopping"
                : calls.inFlight() >= articles.limits().openCalls()
                        ? "this router holds as many calls as it may"
                        : null;
    }

    @Override
    public TimeSpan behind() {
        return new TimeSpan(pulse.behind());
    }

    @Override
    public void take(InferenceServer.Understood understood, HttpResponseHandler reply) {
        ActiveRequest call = calls.accept(understood.asked(articles.name() + "-" + ++numbered, releases, reply), reply);
        if (!reply.response.ended()) {
            reply.response.closeHandler(closed -> calls.clientDisconnected(call));
        }
    }

    // ---- the list

    @Override
    public void failed() {
        calls.dispatch(new Event.EndpointsUpdated(Event.EndpointUpdateKind.FAILED, List.of()));
    }

    @Override
    public void line(DiscoveryMessage line) {
        Event.EndpointsUpdated listed = roster.follow(line);
        if (recorder != null) {
            recorder.listed(line);
        }
        calls.dispatch(listed);
    }
}
