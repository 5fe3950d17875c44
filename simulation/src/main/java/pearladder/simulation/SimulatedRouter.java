package pearladder.simulation;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import pearladder.emulator.Timeline;
import pearladder.kserve.DiscoveryMessage;
import pearladder.rollout.RolloutTarget;
import pearladder.router.core.ActiveRequest;
import pearladder.router.core.CompletionStatus;
import pearladder.router.core.EventListener;
import pearladder.router.core.RequestManager;
import pearladder.router.core.RouterMetrics;
import pearladder.router.core.SnapshotLoader;
import pearladder.router.core.Timers;
import pearladder.router.kserve.EndpointList;
import pearladder.router.kserve.RolloutManager;
import pearladder.router.kserve.RouterConfig;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;
import pearladder.testbed.LoadGenerator;

/** One router process from start to exit: the production router core on the virtual clock and network. */
final class SimulatedRouter implements Timers, RouterMetrics {
    private static final long SNAPSHOT_INTERVAL_NANOS = 1_000_000_000L;
    private static final long PEER_SYNC_INTERVAL_NANOS = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private final SimulatedHost host;
    private final RouterConfig config;
    private final RoutingPolicy policy;
    private final Timeline time;
    private final long networkDelayNanos;
    private final Consumer<String> log;
    private final SimulatedWorkerClient workerClient;
    private final EndpointList endpoints;
    private final RequestManager requests;
    private final RolloutManager rollouts;
    private final DiscoveryWatch discovery;
    private final Set<ClientExchange> openExchanges = new LinkedHashSet<>();
    /** Tasks that became due during a pause, in order; they run when the process resumes. */
    private final ArrayDeque<Runnable> tasksHeldWhilePaused = new ArrayDeque<>();

    private boolean paused;
    private long clockOffsetNanos;
    private boolean dead;

    SimulatedRouter(SimulatedHost host, RouterConfig config, RoutingPolicy policy, RouterEnvironment environment) {
        this.host = host;
        this.config = config;
        this.policy = policy;
        this.time = environment.time();
        this.networkDelayNanos = environment.networkDelayNanos();
        this.log = environment.log();
        SimulatedFleet fleet = environment.fleet();
        long connectTimeoutNanos = config.connections().connectTimeout().nanos();
        this.workerClient =
                new SimulatedWorkerClient(this, config.name(), networkDelayNanos, connectTimeoutNanos, fleet::kill);
        long silenceTimeoutNanos = config.discovery().silenceTimeout().nanos();
        this.discovery =
                new DiscoveryWatch(this, config.name(), environment, silenceTimeoutNanos, new EndpointListener());
        this.endpoints = new EndpointList(
                0,
                entry -> workerClient.onWorkerListed(entry.worker(), fleet.pathTo(entry.worker())),
                workerClient::onWorkerRemoved);
        EventListener events = config.retention() == null ? EventListener.NONE : new LoadRequestRecorder(this, host);
        this.requests = new RequestManager(config.routingSettings(), this, policy, workerClient, this, events);
        this.rollouts = new RolloutManager(this, config, host.rolloutJournal(), requests::dispatch);
        this.requests.onPrewarmProgress(rollouts::onPrewarmProgress);
    }

    /**
     * Starts in the order of a production router: cached endpoints, snapshot, rollout journal, peers, then discovery.
     */
    void start() {
        Event.EndpointsUpdated cached = endpoints.restore(host.cachedEndpoints());
        requests.dispatch(cached);
        if (config.retention() != null) {
            requests.dispatch(SnapshotLoader.restoredEvent(
                    config.routingSettings(),
                    host.snapshot(),
                    host.snapshotAge(),
                    host.loadRequestAges(),
                    true,
                    cached,
                    now(),
                    state -> log.accept("starting from restored state: " + state)));
            scheduleSnapshot();
        }
        rollouts.start();
        syncWithPeers();
        watchEndpoints();
        schedulePeerSync();
    }

    private void scheduleSnapshot() {
        after(SNAPSHOT_INTERVAL_NANOS, () -> {
            host.saveSnapshot(policy.snapshot(now()));
            scheduleSnapshot();
        });
    }

    private void schedulePeerSync() {
        after(PEER_SYNC_INTERVAL_NANOS, () -> {
            syncWithPeers();
            schedulePeerSync();
        });
    }

    private void syncWithPeers() {
        host.peerTargets().forEach(rollouts::onPeerTarget);
    }

    /** Returns the rollout targets that this router knows. */
    List<RolloutTarget> rolloutTargets() {
        return rollouts.targets();
    }

    /** Sets rollout targets, as an operator would. */
    void order(List<RolloutTarget> targets, Consumer<List<String>> onRefusals) {
        run(() -> rollouts.setTargets(targets, onRefusals));
    }

    @Override
    public MonotonicTime now() {
        return new MonotonicTime(time.now() + clockOffsetNanos);
    }

    @Override
    public Timer after(TimeSpan span, Runnable task) {
        Timeline.ScheduledTask scheduled = after(Timers.millis(span) * NANOS_PER_MILLI, task);
        return scheduled::cancel;
    }

    /** Runs a task of this router after a delay, by the rules of {@link #run}. */
    Timeline.ScheduledTask after(long nanos, Runnable task) {
        return time.after(nanos, () -> run(task));
    }

    /** Runs a task of this router now, or on resume if the router is paused. Drops it if the router is dead. */
    void run(Runnable task) {
        if (dead) {
            return;
        }
        if (paused) {
            tasksHeldWhilePaused.add(task);
        } else {
            task.run();
        }
    }

    /** Pauses or resumes the process. */
    void setPaused(boolean on) {
        paused = on;
        while (!paused && !tasksHeldWhilePaused.isEmpty()) {
            tasksHeldWhilePaused.poll().run();
        }
    }

    /** Moves the router's clock forward permanently. */
    void jumpClock(long nanos) {
        clockOffsetNanos += nanos;
    }

    /** Kills the process: its connections to clients and workers break, and none of its tasks runs afterwards. */
    void kill() {
        dead = true;
        workerClient.closeAll();
        List.copyOf(openExchanges).forEach(ClientExchange::onRouterDied);
        openExchanges.clear();
        discovery.closeSilently();
    }

    /** Receives a client's request after the network delay. */
    ClientExchange receive(LoadGenerator.Request request, LoadGenerator.ResponseListener client) {
        ClientExchange exchange = new ClientExchange(this, time, networkDelayNanos, request, client);
        time.after(networkDelayNanos, () -> onArrived(exchange));
        return exchange;
    }

    private void onArrived(ClientExchange exchange) {
        if (dead) {
            exchange.refuseConnection();
            return;
        }
        openExchanges.add(exchange);
        run(() -> handle(exchange));
    }

    /** Applies the checks of the HTTP request handler and accepts the request if they pass. */
    private void handle(ClientExchange exchange) {
        if (exchange.hasEnded()) {
            return;
        }
        LoadGenerator.Request request = exchange.request();
        RoutingSettings.RequestClass requestClass =
                config.requestClass(request.terms().name());
        RouterConfig.ModelSettings model =
                config.modelSettings(request.scheduled().model());
        if (requestClass == null) {
            exchange.respond(null, BAD_REQUEST, 0);
        } else if (model == null) {
            exchange.respond(null, NOT_FOUND, 0);
        } else if (requests.inFlight() >= config.limits().maxRequestsInFlight()) {
            exchange.onRejected(config.routingSettings().attemptLimits().maxRetryAfter());
        } else {
            accept(exchange, requestClass, model);
        }
    }

    private void accept(
            ClientExchange exchange, RoutingSettings.RequestClass requestClass, RouterConfig.ModelSettings model) {
        LoadGenerator.Request request = exchange.request();
        TimeSpan deadline = new TimeSpan(request.timeToDeadline()).atMost(requestClass.deadline());
        String idempotencyKey = request.idempotencyKey().isEmpty() ? null : request.idempotencyKey();
        boolean hasTenants = !config.routingSettings().tenants().isEmpty();
        String tenant = hasTenants ? request.scheduled().tenant() : null;
        RolloutManager.ChosenVersion chosen = rollouts.choose(new RolloutManager.VersionRequest(
                request.id(), request.scheduled().model(), null, null, tenant, idempotencyKey));
        exchange.setVersion(chosen.version());
        exchange.setAccepted(requests.accept(
                new RequestManager.ParsedRequest(
                        request.id(),
                        chosen.function(),
                        idempotencyKey,
                        now(),
                        deadline,
                        requestClass,
                        tenant,
                        model.concurrency(),
                        model.memoryMb(),
                        model.typicalLoadTime(),
                        null,
                        request.isRetry(),
                        chosen.completionListener()),
                exchange));
    }

    void onExchangeEnded(ClientExchange exchange) {
        openExchanges.remove(exchange);
    }

    void onClientDisconnected(ActiveRequest request) {
        requests.clientDisconnected(request);
    }

    /** Connects to the discovery service unless connected already. */
    void watchEndpoints() {
        if (!dead) {
            discovery.connect();
        }
    }

    /** Handles a connection reset by the discovery service. */
    void resetDiscovery() {
        discovery.reset();
    }

    /** Passes discovery messages to the policy and caches the endpoint list on the host's disk. */
    private final class EndpointListener implements DiscoveryWatch.Listener {
        @Override
        public void onMessage(DiscoveryMessage message) {
            requests.dispatch(endpoints.apply(message));
            host.cacheEndpoints(endpoints::snapshot);
        }

        @Override
        public void onDisconnected() {
            requests.dispatch(new Event.EndpointsUpdated(Event.EndpointUpdateKind.FAILED, List.of()));
        }
    }

    @Override
    public void onResponse(CompletionStatus status, long nanos) {
        // Counted at the clients.
    }

    @Override
    public void onAttemptEnded(Outcome outcome) {
        // Recorded as an observation.
    }

    @Override
    public void onDecision(long nanos) {
        host.recordDecision(nanos);
    }

    @Override
    public void onModeChange(String text) {
        log.accept(text);
    }

    @Override
    public void onClientDisconnected() {
        // Recorded as an observation.
    }

    @Override
    public void onLoadRequest() {
        // Recorded as an observation.
    }
}
