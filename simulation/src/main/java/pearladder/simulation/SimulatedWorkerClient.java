package pearladder.simulation;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import pearladder.emulator.PendingRequest;
import pearladder.emulator.WorkerModel;
import pearladder.emulator.WorkerOutcome;
import pearladder.emulator.WorkerReply;
import pearladder.emulator.WorkerRequest;
import pearladder.router.core.ActiveAttempt;
import pearladder.router.core.WorkerClient;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/**
 * Worker client of one router on the virtual network. It behaves like the HTTP client on sockets: connections are
 * reused or opened, and an outcome is reported only if it is certain.
 */
final class SimulatedWorkerClient implements WorkerClient {
    private final SimulatedRouter router;
    private final String routerName;
    private final long networkDelayNanos;
    private final long connectTimeoutNanos;
    private final Consumer<String> onOverloadCrash;
    private final Map<String, SimulatedConnectionPool> poolsByWorker = new HashMap<>();
    private final Set<SimulatedExchange> exchanges = new LinkedHashSet<>();

    /** @param onOverloadCrash called with the id of a worker that crashed on a request */
    SimulatedWorkerClient(
            SimulatedRouter router,
            String routerName,
            long networkDelayNanos,
            long connectTimeoutNanos,
            Consumer<String> onOverloadCrash) {
        this.router = router;
        this.routerName = routerName;
        this.networkDelayNanos = networkDelayNanos;
        this.connectTimeoutNanos = connectTimeoutNanos;
        this.onOverloadCrash = onOverloadCrash;
    }

    SimulatedRouter router() {
        return router;
    }

    long networkDelayNanos() {
        return networkDelayNanos;
    }

    long connectTimeoutNanos() {
        return connectTimeoutNanos;
    }

    void onOverloadCrash(String worker) {
        onOverloadCrash.accept(worker);
    }

    void add(SimulatedExchange exchange) {
        exchanges.add(exchange);
    }

    void remove(SimulatedExchange exchange) {
        exchanges.remove(exchange);
    }

    /** Handles a new or changed entry of the endpoint list. */
    void onWorkerListed(String worker, SimulatedNetworkPath path) {
        SimulatedConnectionPool pool = poolsByWorker.get(worker);
        if (pool == null || pool.path() != path) {
            poolsByWorker.put(worker, new SimulatedConnectionPool(path));
        }
    }

    /** Handles the removal of a worker from the endpoint list. */
    void onWorkerRemoved(String worker) {
        poolsByWorker.remove(worker);
    }

    /** Closes all connections when the router dies. */
    void closeAll() {
        List.copyOf(exchanges).forEach(SimulatedExchange::closeSilently);
    }

    private SimulatedExchange start(
            SimulatedConnectionPool pool,
            TimeSpan limit,
            SimulatedExchange.Operation operation,
            SimulatedExchange.Listener listener) {
        return new SimulatedExchange(this, pool, operation, listener).start(limit);
    }

    @Override
    public PendingSend send(ActiveAttempt attempt, TimeSpan limit, AttemptListener listener) {
        SimulatedConnectionPool pool = poolsByWorker.get(attempt.worker);
        if (pool == null) {
            listener.onEnded(Outcome.VOID, null);
            return PendingSend.NONE;
        }
        SimulatedNetworkPath path = pool.path();
        WorkerRequest request = requestOf(attempt);
        return start(
                pool,
                limit,
                replyTo -> path.worker.submit(request, replyTo),
                (outcome, reply) -> onAttemptEnded(path, outcome, reply, listener));
    }

    private WorkerRequest requestOf(ActiveAttempt attempt) {
        ClientExchange clientExchange = (ClientExchange) attempt.request.responseHandler;
        String idempotencyKey = attempt.request.idempotencyKey;
        return new WorkerRequest(
                routerName,
                attempt.request.clientRequestId,
                attempt.number,
                attempt.request.function,
                idempotencyKey == null ? "" : idempotencyKey,
                clientExchange.workNanos());
    }

    private static void onAttemptEnded(
            SimulatedNetworkPath path, Outcome outcome, WorkerReply reply, AttemptListener listener) {
        SimulatedResponse response = reply == null ? null : SimulatedResponse.of(reply);
        if (outcome == Outcome.SUCCESS && path.isMisnamingModels()) {
            listener.onEnded(Outcome.ERROR, response.asError());
        } else {
            listener.onEnded(outcome, response);
        }
    }

    @Override
    public void loadInstances(
            String worker,
            String function,
            int instances,
            TimeSpan limit,
            BooleanSupplier permission,
            LoadListener listener) {
        SimulatedConnectionPool pool = poolsByWorker.get(worker);
        if (pool == null) {
            listener.onEnded(Outcome.UNREACHABLE, 0);
            return;
        }
        WorkerModel model = pool.path().worker;
        start(
                pool,
                limit,
                replyTo -> loadOrReportReady(model, function, instances, replyTo),
                (outcome, reply) -> listener.onEnded(outcome, reply == null ? 0 : reply.readyInstances()));
    }

    /** Loads instances, or only reports the number of ready ones if 0 instances are requested. */
    private PendingRequest loadOrReportReady(
            WorkerModel worker, String function, int instances, Consumer<WorkerReply> replyTo) {
        if (instances == 0) {
            replyTo.accept(WorkerReply.ofLoad(WorkerOutcome.OK, worker.readyInstances(function), worker.report()));
        } else {
            worker.loadInstances(routerName, function, instances, replyTo);
        }
        return null;
    }

    @Override
    public void unloadInstances(String worker, String function, TimeSpan limit) {
        SimulatedConnectionPool pool = poolsByWorker.get(worker);
        if (pool == null) {
            return;
        }
        WorkerModel model = pool.path().worker;
        start(
                pool,
                limit,
                replyTo -> {
                    model.unload(function);
                    return replyOk(model, replyTo);
                },
                (outcome, reply) -> {});
    }

    @Override
    public void checkHealth(String worker, TimeSpan limit, AttemptListener listener) {
        SimulatedConnectionPool pool = poolsByWorker.get(worker);
        if (pool == null) {
            listener.onEnded(Outcome.UNREACHABLE, null);
            return;
        }
        WorkerModel model = pool.path().worker;
        start(
                pool,
                limit,
                replyTo -> replyOk(model, replyTo),
                (outcome, reply) -> listener.onEnded(outcome, reply == null ? null : SimulatedResponse.of(reply)));
    }

    private static PendingRequest replyOk(WorkerModel worker, Consumer<WorkerReply> replyTo) {
        replyTo.accept(WorkerReply.of(WorkerOutcome.OK, worker.report()));
        return null;
    }

    @Override
    public void closeIdleConnections(String worker) {
        SimulatedConnectionPool pool = poolsByWorker.get(worker);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    @Override
    public void watchEndpoints() {
        router.watchEndpoints();
    }
}
