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
import pearladder.router.core.EventLoopActivity;
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
 * A KServe v2 router: its servers, its connections to workers and to the discovery service, its rollouts and one
 * routing policy, all on one event loop. A router is started and stopped once. {@link RequestManager} handles its
 * requests.
 */
public final class Router implements InferenceServer.RequestHandler, EndpointWatch.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Router.class);
    /** Limits the final writes of a stop, so that a disk that hangs does not block it forever. */
    private static final int FINAL_WRITES_TIMEOUT_SECONDS = 5;
    /** Lets the last response leave its socket before the server is closed. */
    private static final long SERVER_CLOSE_DELAY_MILLIS = 50;

    private static final long SNAPSHOT_INTERVAL_MILLIS = 1000;
    private static final long LAG_REPORT_INTERVAL_MILLIS = 100;

    private final RouterConfig config;
    private final Vertx vertx;
    private final Context eventLoop;
    private final PrometheusMetrics metrics;
    private final RequestManager requestManager;
    private final InferenceServer server;
    private final EndpointWatch endpointWatch;
    private final WorkerRegistry registry;
    private final BackgroundWork backgroundWork;
    private final EventLoopLag eventLoopLag;
    private final AsyncRolloutJournal journal;
    private final RolloutManager rolloutManager;
    private final RolloutSync rolloutSync;
    private final RoutingPolicy policy;
    private final SnapshotFile snapshotFile;
    /** Null where no event log is configured. */
    private final EventRecorder recorder;

    private boolean stopping;
    private boolean warmedUp;
    /** Null until {@link #stop}. */
    private Promise<Void> stopCompletion;

    private int port;
    private int adminPort;
    private final HeldIds heldIds = new HeldIds();
    private long requestCount;

    private Router(RouterConfig config, PolicyFactory policyFactory, long seed) throws IOException {
        this.config = config;
        RolloutJournal rolloutJournal = RolloutJournal.open(config.dataDirectory());
        this.vertx = createVertx();
        this.eventLoop = vertx.getOrCreateContext();
        EventLoopActivity activity = new EventLoopActivity();
        VertxTimers timers = new VertxTimers(vertx, activity);
        this.backgroundWork = new BackgroundWork(timers, JobClasses.createScheduler(seed, timers.now()));
        this.registry = new WorkerRegistry(vertx, config, backgroundWork);
        this.eventLoopLag = new EventLoopLag(vertx, activity);
        this.metrics = new PrometheusMetrics(this::requestsInFlight, registry::size);
        this.endpointWatch = new EndpointWatch(vertx, config.discovery(), config.name(), this);
        this.policy = policyFactory.create(seed, config.routingSettings());
        this.snapshotFile = new SnapshotFile(config.dataDirectory());
        this.recorder = config.retention() == null ? null : openRecorder(timers, rolloutJournal);
        this.requestManager = new RequestManager(
                config.routingSettings(),
                timers,
                policy,
                new HttpWorkerClient(
                        vertx, config.name(), config.limits().maxResponseBytes(), registry, endpointWatch::watch),
                metrics,
                recorder == null ? EventListener.NONE : recorder);
        this.server = new InferenceServer(vertx, config, this, metrics);
        this.journal = new AsyncRolloutJournal(vertx, rolloutJournal);
        this.rolloutManager = new RolloutManager(timers, config, journal, requestManager::dispatch);
        this.requestManager.onPrewarmProgress(rolloutManager::onPrewarmProgress);
        this.rolloutSync = new RolloutSync(vertx, rolloutManager, journal, backgroundWork, config.peers());
    }

    /** Creates a Vert.x instance with one event loop and one thread for blocking code. */
    private static Vertx createVertx() {
        return Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(
                        new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
    }

    private EventRecorder openRecorder(VertxTimers timers, RolloutJournal rolloutJournal) throws IOException {
        try {
            return new EventRecorder(vertx, timers, backgroundWork, config, System::currentTimeMillis);
        } catch (IOException failure) {
            rolloutJournal.close();
            vertx.close();
            throw failure;
        }
    }

    private Number requestsInFlight() {
        return requestManager.inFlight();
    }

    // ---- start

    /**
     * Starts a router.
     *
     * @param seed seed of the policy's random numbers; a different one at each start
     * @return a future of the listening router; fails with an {@link IOException} whose message says what to do
     */
    public static Future<Router> start(RouterConfig config, PolicyFactory policyFactory, long seed) {
        Router router;
        try {
            router = new Router(config, policyFactory, seed);
        } catch (IOException failure) {
            return Future.failedFuture(failure);
        }
        Promise<Router> started = Promise.promise();
        router.eventLoop.runOnContext(run -> router.start(policyFactory, started));
        return started.future();
    }

    private void start(PolicyFactory policyFactory, Promise<Router> started) {
        restoreState();
        listen().onComplete(
                        listening -> {
                            onListening(policyFactory);
                            started.complete(this);
                        },
                        failure -> {
                            releaseResources();
                            started.fail(cannotListen(failure));
                        });
    }

    private void restoreState() {
        Event.EndpointsUpdated cachedEndpoints = registry.restore();
        requestManager.dispatch(cachedEndpoints);
        if (confirmsEndpointList()) {
            requestManager.dispatch(new Event.EndpointListUnconfirmed());
        }
        if (recorder != null) {
            restoreSnapshot(cachedEndpoints);
            startRecording();
        }
        rolloutManager.start();
        rolloutSync.start();
        endpointWatch.watch();
    }

    /** Restores the policy's state from the snapshot of the previous process, as far as it is still valid. */
    private void restoreSnapshot(Event.EndpointsUpdated cachedEndpoints) {
        LoadRequestHistory history =
                recorder.loadRequests(config.routingSettings().loadQuota().window());
        SnapshotFile.Taken taken = snapshotFile.take();
        TimeSpan age = taken == null ? TimeSpan.ZERO : TimeSpan.millis(System.currentTimeMillis() - taken.wall());
        requestManager.dispatch(SnapshotLoader.restoredEvent(
                config.routingSettings(),
                taken == null ? null : taken.known(),
                age,
                history.ages(),
                history.complete(),
                cachedEndpoints,
                VertxTimers.currentTime(),
                figures -> LOG.info("snapshot restore: " + figures)));
    }

    private void startRecording() {
        recorder.start();
        metrics.addEventLogGauges(recorder::pendingCount, () -> recorder.isFailing() ? 1 : 0);
        vertx.setPeriodic(SNAPSHOT_INTERVAL_MILLIS, timerId -> {
            if (!stopping) {
                backgroundWork.submit(JobClasses.SNAPSHOT, "", ResourceCost.NONE, null, this::writeSnapshot);
            }
        });
    }

    private Future<ResourceCost> writeSnapshot() {
        PolicySnapshot snapshot = policy.snapshot(VertxTimers.currentTime());
        long takenAtMillis = System.currentTimeMillis();
        return vertx.executeBlocking(() -> new ResourceCost(0, snapshotFile.write(takenAtMillis, snapshot), 0));
    }

    private Future<Integer> listen() {
        Future<Integer> adminListening = config.admin() == null
                ? Future.succeededFuture(0)
                : new AdminServer(vertx, config, rolloutManager).listen();
        return adminListening
                .compose(actualAdminPort -> {
                    adminPort = actualAdminPort;
                    return server.listen();
                })
                .onSuccess(actualPort -> port = actualPort);
    }

    private void onListening(PolicyFactory policyFactory) {
        eventLoopLag.start();
        vertx.setPeriodic(LAG_REPORT_INTERVAL_MILLIS, timerId -> backgroundWork.onEventLoopLag(eventLoopLag()));
        warmUp(policyFactory);
        LOG.atInfo()
                .addKeyValue("router", config.name())
                .addKeyValue("port", port)
                .addKeyValue("engines", registry.size())
                .log("listening");
    }

    private void warmUp(PolicyFactory policyFactory) {
        long startedAt = System.nanoTime();
        WarmUp.run(vertx, config, policyFactory, port).onComplete(done -> {
            warmedUp = true;
            LOG.atInfo()
                    .addKeyValue("ms", (System.nanoTime() - startedAt) / 1_000_000)
                    .log("warmed up");
        });
    }

    private IOException cannotListen(Throwable failure) {
        String addresses = config.host() + ":" + config.port();
        if (config.admin() != null) {
            addresses += " or " + config.admin().host() + ":" + config.admin().port();
        }
        return new IOException(
                addresses + " can't be listened on: " + failure.getMessage() + "; is another router running there?",
                failure);
    }

    /** Returns the port of the inference server. */
    public int port() {
        return port;
    }

    /** Returns the port of the admin server; 0 where there is none. */
    public int adminPort() {
        return adminPort;
    }

    // ---- stop

    /** Stops the router: rejects new requests, completes those in flight and fails the rest at the drain timeout. */
    public synchronized Future<Void> stop() {
        if (stopCompletion == null) {
            stopCompletion = Promise.promise();
            eventLoop.runOnContext(run -> drain());
        }
        return stopCompletion.future();
    }

    private void drain() {
        stopping = true;
        LOG.atInfo().addKeyValue("calls", requestManager.inFlight()).log("stopping");
        Promise<Void> drained = Promise.promise();
        long drainLimitMillis = Math.max(1, config.drainTimeout().toMillis());
        long limitTimer = vertx.setTimer(drainLimitMillis, timerId -> {
            LOG.atWarn()
                    .addKeyValue("calls", requestManager.inFlight())
                    .log("drain timeout reached; failing the requests in flight");
            requestManager.failAll();
            drained.tryComplete();
        });
        requestManager.whenEmpty(drained::tryComplete);
        drained.future().onComplete(done -> {
            vertx.cancelTimer(limitTimer);
            requestManager.stop();
            rolloutSync.close();
            rolloutManager.stop();
            endpointWatch.close();
            vertx.setTimer(SERVER_CLOSE_DELAY_MILLIS, timerId -> closeServerAndFiles());
        });
    }

    /**
     * Closes the server and the files. The last step is not chained, since a future of this event loop is not
     * completed once the loop has ended.
     */
    private void closeServerAndFiles() {
        server.close()
                .compose(closed -> recorder == null ? Future.<Void>succeededFuture() : writeFinalState())
                .compose(written -> backgroundWork.stop())
                .compose(stopped -> journal.flush())
                .timeout(FINAL_WRITES_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .onComplete(end -> releaseResources().onComplete(stopCompletion));
    }

    private Future<Void> writeFinalState() {
        return recorder.flush().compose(flushed -> writeSnapshot()).mapEmpty();
    }

    private Future<Void> releaseResources() {
        journal.close();
        if (recorder != null) {
            recorder.close();
        }
        return vertx.close();
    }

    // ---- requests

    @Override
    public boolean isReady() {
        return registry.isKnown() && warmedUp && rolloutSync.isSynced() && !stopping;
    }

    @Override
    public String rejectionReason() {
        if (stopping) {
            return "this router is stopping";
        }
        if (requestManager.inFlight() >= config.limits().maxRequestsInFlight()) {
            return "this router holds as many calls as it may";
        }
        return null;
    }

    @Override
    public TimeSpan eventLoopLag() {
        return new TimeSpan(eventLoopLag.lagNanos());
    }

    @Override
    public void admit(InferenceRequest inferenceRequest, HttpResponseHandler responseHandler) {
        if (!heldIds.hold(inferenceRequest, responseHandler)) {
            responseHandler.onFailure();
            return;
        }
        String defaultId = config.name() + "-" + ++requestCount;
        RequestManager.ParsedRequest parsed = inferenceRequest.withVersion(defaultId, rolloutManager, responseHandler);
        ActiveRequest request = requestManager.accept(parsed, responseHandler);
        if (!responseHandler.response.ended()) {
            responseHandler.response.closeHandler(closed -> requestManager.clientDisconnected(request));
        }
    }

    // ---- discovery

    @Override
    public void onDisconnected() {
        requestManager.dispatch(new Event.EndpointsUpdated(Event.EndpointUpdateKind.FAILED, List.of()));
    }

    @Override
    public void onMessage(DiscoveryMessage message) {
        Event.EndpointsUpdated event = registry.apply(message);
        if (recorder != null) {
            recorder.onDiscoveryMessage(message);
        }
        requestManager.dispatch(event);
    }

    @Override
    public void onMessageOrHeartbeat() {
        if (confirmsEndpointList()) {
            requestManager.dispatch(new Event.EndpointListConfirmed(VertxTimers.currentTime()));
        }
    }

    /**
     * Returns whether the policy is notified when the endpoint list is confirmed. Without health checks, idle workers
     * could not prove that they are ready during a discovery outage.
     */
    private boolean confirmsEndpointList() {
        return config.routingSettings().attemptLimits().healthChecks();
    }
}
