package pearladder.router.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;

/**
 * Manages the requests that a router has in flight: reports each one to the routing policy, sends its attempts as the
 * policy decides, and gives its client exactly one final answer.
 */
public final class RequestManager implements PolicyDriver.ActionHandler {
    /**
     * A request as the server has parsed it.
     *
     * @param clientRequestId the request id that is sent to workers
     * @param function the function to be executed
     * @param idempotencyKey key for deduplication, or null
     * @param receivedAt time at which the first bytes were read
     * @param timeLeft time from admission to the deadline
     * @param requestClass request class with latency objective and idempotency
     * @param tenant null if tenants are not distinguished
     * @param concurrency number of requests that an instance of the function executes at once
     * @param memoryMb memory of an instance
     * @param typicalLoadTime load time of an instance; null if not known
     * @param workEstimate the client's estimate of the work, or null
     * @param clientRetry whether the client has marked the request as a retry
     * @param completionListener receives the end of the request
     */
    public record ParsedRequest(
            String clientRequestId,
            String function,
            String idempotencyKey,
            MonotonicTime receivedAt,
            TimeSpan timeLeft,
            RoutingSettings.RequestClass requestClass,
            String tenant,
            int concurrency,
            double memoryMb,
            TimeSpan typicalLoadTime,
            TimeSpan workEstimate,
            boolean clientRetry,
            CompletionListener completionListener) {}

    /** Receives the progress of prewarming. */
    public interface PrewarmListener {
        /** @param share share of the function's load that the loaded instances can serve */
        void onProgress(String function, double share);
    }

    private static final Logger LOG = LoggerFactory.getLogger(RequestManager.class);

    private final RoutingSettings settings;
    private final Timers timers;
    private final WorkerClient workerClient;
    private final RouterMetrics metrics;
    private final EventListener eventListener;
    private final DeliveryGate gate;
    private final PolicyDriver policyDriver;
    private final Map<String, ActiveRequest> activeRequests = new HashMap<>();
    private PrewarmListener prewarmListener = (function, share) -> {};
    private long requestCount;
    /** The task to run once no request is in flight, or null. */
    private Runnable whenEmpty;

    /**
     * Creates a manager without requests.
     *
     * @param settings the settings that the policy was created with
     * @param eventListener receives events; may refuse load requests
     */
    public RequestManager(
            RoutingSettings settings,
            Timers timers,
            RoutingPolicy policy,
            WorkerClient workerClient,
            RouterMetrics metrics,
            EventListener eventListener) {
        this.settings = settings;
        this.timers = timers;
        this.workerClient = workerClient;
        this.metrics = metrics;
        this.eventListener = eventListener;
        this.gate = new DeliveryGate(timers, settings.attemptLimits().maxAttempts());
        this.policyDriver = new PolicyDriver(timers, policy, metrics, this);
    }

    /** Sets the listener for the progress of prewarming; called before the first request. */
    public void onPrewarmProgress(PrewarmListener listener) {
        prewarmListener = listener;
    }

    /** Returns the gate that is checked before a request is sent and before a resource with open requests is closed. */
    public DeliveryGate gate() {
        return gate;
    }

    /** Passes an event to the policy. */
    public void dispatch(Event event) {
        policyDriver.dispatch(event);
    }

    /** Returns the number of requests that are not answered yet or have an attempt in flight. */
    public int inFlight() {
        return activeRequests.size();
    }

    /** Stops the policy: its timers are cancelled and later events are not passed to it. */
    public void stop() {
        policyDriver.stop();
    }

    /** Runs a task once no request is in flight. */
    public void whenEmpty(Runnable task) {
        if (activeRequests.isEmpty()) {
            task.run();
        } else {
            whenEmpty = task;
        }
    }

    /** Answers every request in flight as failed. */
    public void failAll() {
        List.copyOf(activeRequests.values()).forEach(request -> fail(new Action.Fail(request.id)));
    }

    /** Admits a request, which from then on gets exactly one final answer. */
    public ActiveRequest accept(ParsedRequest parsed, ResponseHandler responseHandler) {
        String id = Long.toString(++requestCount);
        ActiveRequest request = new ActiveRequest(id, parsed, responseHandler, timers.now());
        activeRequests.put(id, request);
        policyDriver.dispatch(new Event.RequestArrived(
                id,
                parsed.function(),
                parsed.requestClass().name(),
                parsed.tenant(),
                parsed.timeLeft(),
                parsed.concurrency(),
                parsed.memoryMb(),
                parsed.typicalLoadTime(),
                parsed.workEstimate(),
                parsed.clientRetry(),
                false));
        return request;
    }

    /** Completes a request whose client has disconnected, without an answer; cancels its attempts where allowed. */
    public void clientDisconnected(ActiveRequest request) {
        if (request.completed) {
            return;
        }
        request.completed = true;
        RequestLog.onEnded(request, EventListener.CLIENT_DISCONNECTED, timers.now());
        metrics.onClientDisconnected();
        eventListener.onRequestEnded(
                request, EventListener.CLIENT_DISCONNECTED, timers.now().since(request.admittedAt));
        request.completionListener.onClientDisconnected();
        policyDriver.dispatch(new Event.ClientDisconnected(request.id));
        cancelAttempts(request);
        removeIfFinished(request);
    }

    /**
     * Answers a request as failed because the router is about to close the client's connection, and cancels its
     * attempts as for a client that disconnects.
     */
    public void failBeforeClose(ActiveRequest request) {
        if (complete(request, CompletionStatus.FAILED)) {
            request.responseHandler.onFailure();
            policyDriver.dispatch(new Event.ClientDisconnected(request.id));
            cancelAttempts(request);
            removeIfFinished(request);
        }
    }

    private void cancelAttempts(ActiveRequest request) {
        boolean cancelsSent = settings.attemptLimits().cancel();
        request.attemptsSoFar().forEach(cancelsSent ? ActiveAttempt::cancel : ActiveAttempt::cancelUnsent);
    }

    private void removeIfFinished(ActiveRequest request) {
        if (request.isFinished() && activeRequests.remove(request.id) != null) {
            request.responseHandler.onReleased(request.mayHaveBeenExecuted());
            runWhenEmpty();
        }
    }

    private void runWhenEmpty() {
        if (whenEmpty != null && activeRequests.isEmpty()) {
            Runnable task = whenEmpty;
            whenEmpty = null;
            task.run();
        }
    }

    /**
     * Marks a request as answered and reports its completion.
     *
     * @return whether the caller has to send the answer; false if there is no such request or it was answered before
     */
    private boolean complete(ActiveRequest request, CompletionStatus status) {
        if (request == null || !gate.mayAnswer(request)) {
            return false;
        }
        request.completed = true;
        MonotonicTime now = timers.now();
        TimeSpan duration = now.since(request.admittedAt);
        RequestLog.onEnded(request, status.code(), now);
        metrics.onResponse(status, duration.nanos());
        eventListener.onRequestEnded(request, status.code(), duration);
        boolean successful =
                status == CompletionStatus.SUCCEEDED && !request.workerFailed && now.isBefore(request.objectiveAt);
        request.completionListener.onCompleted(successful, request.workers());
        return true;
    }

    // ---- ActionHandler

    @Override
    public void send(Action.SendAttempt action) {
        ActiveRequest request = activeRequests.get(action.requestId());
        if (request == null) {
            LOG.error("the policy sent an attempt for request {}, which is not in flight", action.requestId());
            return;
        }
        boolean allowed = gate.mayStartAttempt(request);
        ActiveAttempt attempt = new ActiveAttempt(request, action, timers.now(), gate);
        if (attempt.number > 0) {
            metrics.onRetry(request.attempts.get(attempt.number - 1).outcome);
        }
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        if (!allowed) {
            onAttemptEnded(attempt, Outcome.VOID, null);
        } else {
            sendToWorker(attempt, action.timeout());
        }
    }

    /** Passes an attempt to the worker client; an attempt on which the client throws may have been executed. */
    private void sendToWorker(ActiveAttempt attempt, TimeSpan timeout) {
        try {
            attempt.pendingSend = workerClient.send(
                    attempt, timeout, (outcome, response) -> onAttemptEnded(attempt, outcome, response));
        } catch (RuntimeException failure) {
            LOG.error("failed to send an attempt of request {}", attempt.request.clientRequestId, failure);
            if (!attempt.ended) {
                onAttemptEnded(attempt, Outcome.BROKEN, null);
            }
        }
    }

    private void onAttemptEnded(ActiveAttempt attempt, Outcome outcome, WorkerResponse response) {
        ActiveRequest request = attempt.request;
        attempt.onEnded(outcome, timers.now());
        request.attemptsInFlight--;
        metrics.onAttemptEnded(outcome);
        eventListener.onAttemptEnded(attempt, outcome, response, timers.now().since(attempt.sentAt));
        request.workerFailed |= isWorkerFailure(outcome, response);
        if (outcome == Outcome.SUCCESS && complete(request, CompletionStatus.SUCCEEDED)) {
            request.responseHandler.onSuccess(response);
            request.attemptsSoFar().forEach(ActiveAttempt::cancelUnsent);
        }
        policyDriver.dispatch(attemptEnded(attempt, outcome, response));
        removeIfFinished(request);
    }

    private static boolean isWorkerFailure(Outcome outcome, WorkerResponse response) {
        return outcome == Outcome.ERROR
                || response != null && response.instanceStatus() == Event.InstanceStatus.LOAD_FAILED;
    }

    private Event.AttemptEnded attemptEnded(ActiveAttempt attempt, Outcome outcome, WorkerResponse response) {
        return new Event.AttemptEnded(
                attempt.request.id,
                attempt.number,
                attempt.worker,
                outcome,
                timers.now().since(attempt.sentAt),
                attempt.request.completed,
                response == null ? Event.InstanceStatus.UNTOLD : response.instanceStatus(),
                response == null ? -1 : response.concurrentRequests(),
                response == null ? null : response.loadReport());
    }

    @Override
    public void cancel(Action.CancelAttempt action) {
        ActiveRequest request = activeRequests.get(action.requestId());
        if (request != null && action.attempt() < request.attempts.size()) {
            request.attempts.get(action.attempt()).cancel();
        }
    }

    @Override
    public void reject(Action.Reject action) {
        ActiveRequest request = activeRequests.get(action.requestId());
        if (complete(request, CompletionStatus.REJECTED)) {
            request.responseHandler.onRejected(action.retryAfter());
        }
        if (request != null) {
            removeIfFinished(request);
        }
    }

    @Override
    public void fail(Action.Fail action) {
        ActiveRequest request = activeRequests.get(action.requestId());
        if (complete(request, CompletionStatus.FAILED)) {
            request.responseHandler.onFailure();
            request.attemptsSoFar().forEach(ActiveAttempt::cancelUnsent);
        }
        if (request != null) {
            removeIfFinished(request);
        }
    }

    @Override
    public void loadInstances(Action.LoadInstances action) {
        eventListener.beforeLoadRequest(action.worker(), action.function(), action.instances(), refusal -> {
            if (refusal.isEmpty() && gate.mayLoad(action, workerClient)) {
                sendLoadRequest(action);
            } else {
                policyDriver.dispatch(
                        new Event.LoadCompleted(action.worker(), action.function(), Outcome.VOID, 0, TimeSpan.ZERO));
            }
        });
    }

    private void sendLoadRequest(Action.LoadInstances action) {
        MonotonicTime sentAt = timers.now();
        metrics.onLoadRequest();
        workerClient.loadInstances(
                action.worker(),
                action.function(),
                action.instances(),
                settings.instances().loadRequestTimeout(),
                () -> gate.mayLoad(action, workerClient),
                (outcome, instances) -> onLoadRequestEnded(action, sentAt, outcome, instances));
    }

    private void onLoadRequestEnded(Action.LoadInstances action, MonotonicTime sentAt, Outcome outcome, int instances) {
        TimeSpan duration = timers.now().since(sentAt);
        eventListener.onLoadRequestEnded(action.worker(), action.function(), outcome, instances, duration);
        policyDriver.dispatch(
                new Event.LoadCompleted(action.worker(), action.function(), outcome, instances, duration));
    }

    @Override
    public void unloadInstances(Action.UnloadInstances action) {
        workerClient.unloadInstances(
                action.worker(), action.function(), settings.instances().loadRequestTimeout());
    }

    @Override
    public void checkHealth(Action.CheckHealth action) {
        MonotonicTime sentAt = timers.now();
        workerClient.checkHealth(
                action.worker(),
                settings.instances().loadRequestTimeout(),
                (outcome, response) -> policyDriver.dispatch(new Event.HealthCheckCompleted(
                        action.worker(),
                        outcome,
                        timers.now().since(sentAt),
                        response == null ? null : response.loadReport())));
    }

    @Override
    public void closeIdleConnections(Action.CloseIdleConnections action) {
        workerClient.closeIdleConnections(action.worker());
    }

    @Override
    public void watchEndpoints(Action.WatchEndpoints action) {
        if (action.enabled()) {
            workerClient.watchEndpoints();
        }
    }

    @Override
    public void reportPrewarmProgress(Action.PrewarmProgress action) {
        prewarmListener.onProgress(action.function(), action.share());
    }

    @Override
    public void pollEndpoints() {
        workerClient.watchEndpoints();
    }
}
