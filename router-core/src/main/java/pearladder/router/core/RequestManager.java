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
 * The calls that a router holds: each is told to the module, its legs go out as the module says, and it gets its one final
 * answer. What the module decides is done here and nowhere else.
 */
public final class RequestManager implements PolicyDriver.ActionHandler {
    /**
     * A call as it was understood at the door.
     *
     * @param named the name that workers see
     * @param mark against repeats, or null
     * @param account null where there are none
     * @param lanes calls that a loaded copy runs at once
     * @param usualLoad null where it is not known
     * @param hint of its work, or null
     * @param ending hears how it ended
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

    /** Hears how a call ended: whoever chose its function wants to know. */
    public interface CompletionListener {
        /** Hears nothing. */
        CompletionListener NONE = new CompletionListener() {
            @Override
            public void onCompleted(boolean well, List<String> engines) {
                // nobody asked
            }

            @Override
            public void onClientDisconnected() {
                // nobody asked
            }
        };

        /** @param well settled, without a worker's error, within its expected time */
        void onCompleted(boolean well, List<String> engines);

        /** Its client left before its answer. */
        void onClientDisconnected();
    }

    /** Hears for what share of the load wanted ahead copies of a function stand. */
    public interface PrewarmListener {
        void onProgress(String function, double share);
    }

    private static final Logger LOG = LoggerFactory.getLogger(RequestManager.class);

    private final RoutingSettings facts;
    private final Timers timers;
    private final WorkerClient engines;
    private final RouterMetrics tally;
    private final EventListener chronicle;
    private final PolicyDriver conductor;
    private final Map<String, ActiveRequest> open = new HashMap<>();
    private PrewarmListener standings = (function, share) -> {};
    private long numbered;
    private Runnable emptied;

    /** @param chronicle hears what happens */
    public RequestManager(
            RoutingSettings facts,
            Timers timers,
            RoutingPolicy module,
            WorkerClient engines,
            RouterMetrics tally,
            EventListener chronicle) {
        this.chronicle = chronicle;
        this.facts = facts;
        this.timers = timers;
        this.engines = engines;
        this.tally = tally;
        this.conductor = new PolicyDriver(timers, module, tally, this);
    }

    /** Who wants copies ahead; told once, before the first call. */
    public void onPrewarmProgress(PrewarmListener wanted) {
        standings = wanted;
    }

    /** Tells the module of something that happened. */
    public void dispatch(Event event) {
        conductor.dispatch(event);
    }

    /** Calls that are held now. */
    public int inFlight() {
        return open.size();
    }

    /** Nothing more reaches the module. */
    public void stop() {
        conductor.stop();
    }

    /** Runs something once no call is held. */
    public void whenEmpty(Runnable what) {
        if (open.isEmpty()) {
            what.run();
        } else {
            emptied = what;
        }
    }

    /** Gives every call that is held its answer: terminated. */
    public void failAll() {
        List.copyOf(open.values()).forEach(call -> fail(new Action.Fail(call.id)));
    }

    /** Takes a call; from here on it gets one final answer. */
    public ActiveRequest accept(ParsedRequest asked, ResponseHandler reply) {
        String id = Long.toString(++numbered);
        ActiveRequest call = new ActiveRequest(
                id,
                asked.clientRequestId(),
                asked.function(),
                asked.completionListener(),
                asked.idempotencyKey(),
                asked.tenant() == null ? "" : asked.tenant(),
                reply,
                asked.receivedAt(),
                asked.receivedAt().plus(asked.requestClass().latencyObjective()));
        open.put(id, call);
        conductor.dispatch(new Event.RequestArrived(
                id,
                call.function,
                asked.requestClass().name(),
                asked.tenant(),
                asked.timeLeft(),
                asked.concurrency(),
                asked.memoryMb(),
                asked.typicalLoadTime(),
                asked.workEstimate(),
                asked.clientRetry(),
                false));
        return call;
    }

    /** The client is gone: nothing is owed any more, and what still runs for it is called off. */
    public void clientDisconnected(ActiveRequest call) {
        if (call.completed) {
            return;
        }
        call.completed = true;
        tally.onClientDisconnected();
        chronicle.onRequestEnded(call, "left", timers.now().since(call.admittedAt));
        call.completionListener.onClientDisconnected();
        conductor.dispatch(new Event.ClientDisconnected(call.id));
        List.copyOf(call.attempts).forEach(facts.attemptLimits().cancel() ? this::cancel : this::takeBack);
        forget(call);
    }

    private void forget(ActiveRequest call) {
        if (call.completed && call.attemptsInFlight == 0 && open.remove(call.id) != null) {
            call.responseHandler.released();
            if (emptied != null && open.isEmpty()) {
                Runnable then = emptied;
                emptied = null;
                then.run();
            }
        }
    }

    /** Whether a call still gets its one final answer, which is given now; false where it had one before. */
    private boolean answers(ActiveRequest call, CompletionStatus state) {
        if (call == null || call.completed) {
            return false;
        }
        call.completed = true;
        MonotonicTime now = timers.now();
        tally.onResponse(state, now.since(call.admittedAt).nanos());
        chronicle.onRequestEnded(call, state.code(), now.since(call.admittedAt));
        call.completionListener.onCompleted(
                state == CompletionStatus.SUCCEEDED && !call.workerFailed && now.isBefore(call.objectiveAt),
                call.attempts.stream().map(leg -> leg.worker).distinct().toList());
        return true;
    }

    // ---- what the module asks for

    @Override
    public void send(Action.SendAttempt send) {
        ActiveRequest call = open.get(send.requestId());
        if (call == null) {
            LOG.error("a leg for a call that is not held: {}", send.requestId());
            return;
        }
        ActiveAttempt leg = new ActiveAttempt(call, call.attempts.size(), send.worker(), timers.now());
        call.attempts.add(leg);
        call.attemptsInFlight++;
        if (call.completed) {
            ended(leg, Outcome.VOID, null);
        } else {
            leg.pendingSend = engines.send(leg, send.timeout(), (outcome, said) -> ended(leg, outcome, said));
        }
    }

    private void ended(ActiveAttempt leg, Outcome outcome, WorkerResponse said) {
        ActiveRequest call = leg.request;
        leg.ended = true;
        call.attemptsInFlight--;
        tally.onAttemptEnded(outcome);
        chronicle.onAttemptEnded(leg, outcome, said, timers.now().since(leg.sentAt));
        call.workerFailed |=
                outcome == Outcome.ERROR || said != null && said.instanceStatus() == Event.InstanceStatus.LOAD_FAILED;
        if (outcome == Outcome.SUCCESS && answers(call, CompletionStatus.SUCCEEDED)) {
            call.responseHandler.succeeded(said);
            List.copyOf(call.attempts).forEach(this::takeBack);
        }
        conductor.dispatch(new Event.AttemptEnded(
                call.id,
                leg.number,
                leg.worker,
                outcome,
                timers.now().since(leg.sentAt),
                call.completed,
                said == null ? Event.InstanceStatus.UNTOLD : said.instanceStatus(),
                said == null ? -1 : said.concurrentRequests(),
                said == null ? null : said.loadReport()));
        forget(call);
    }

    /**
     * Guards against a leg that leaves after its call has ended, because its connection came up late: no allowance is needed
     * for what no engine has heard of.
     */
    private void takeBack(ActiveAttempt leg) {
        if (!leg.ended && leg.pendingSend != null) {
            leg.pendingSend.takeBack();
        }
    }

    private void cancel(ActiveAttempt leg) {
        if (!leg.ended && leg.pendingSend != null) {
            leg.pendingSend.cancel();
        }
    }

    @Override
    public void cancel(Action.CancelAttempt cancel) {
        ActiveRequest call = open.get(cancel.requestId());
        if (call != null && cancel.attempt() < call.attempts.size()) {
            cancel(call.attempts.get(cancel.attempt()));
        }
    }

    @Override
    public void reject(Action.Reject dismiss) {
        ActiveRequest call = open.get(dismiss.requestId());
        if (answers(call, CompletionStatus.REJECTED)) {
            call.responseHandler.rejected(dismiss.retryAfter());
        }
        if (call != null) {
            forget(call);
        }
    }

    @Override
    public void fail(Action.Fail terminate) {
        ActiveRequest call = open.get(terminate.requestId());
        if (answers(call, CompletionStatus.FAILED)) {
            call.responseHandler.failed();
            List.copyOf(call.attempts).forEach(this::takeBack);
        }
        if (call != null) {
            forget(call);
        }
    }

    @Override
    public void loadInstances(Action.LoadInstances hold) {
        chronicle.beforeLoadRequest(hold.worker(), hold.function(), hold.instances(), refusal -> {
            if (refusal.isEmpty()) {
                order(hold);
            } else {
                conductor.dispatch(
                        new Event.LoadCompleted(hold.worker(), hold.function(), Outcome.VOID, 0, TimeSpan.ZERO));
            }
        });
    }

    private void order(Action.LoadInstances hold) {
        MonotonicTime sent = timers.now();
        tally.onLoadRequest();
        engines.loadInstances(
                hold.worker(),
                hold.function(),
                hold.instances(),
                facts.instances().loadRequestTimeout(),
                (outcome, copies) -> {
                    TimeSpan took = timers.now().since(sent);
                    chronicle.onLoadRequestEnded(hold.worker(), hold.function(), outcome, copies, took);
                    conductor.dispatch(new Event.LoadCompleted(hold.worker(), hold.function(), outcome, copies, took));
                });
    }

    @Override
    public void unloadInstances(Action.UnloadInstances unload) {
        engines.unloadInstances(
                unload.worker(), unload.function(), facts.instances().loadRequestTimeout());
    }

    @Override
    public void checkHealth(Action.CheckHealth probe) {
        MonotonicTime sent = timers.now();
        engines.checkHealth(
                probe.worker(),
                facts.instances().loadRequestTimeout(),
                (outcome, said) -> conductor.dispatch(new Event.HealthCheckCompleted(
                        probe.worker(), outcome, timers.now().since(sent), said == null ? null : said.loadReport())));
    }

    @Override
    public void closeIdleConnections(Action.CloseIdleConnections close) {
        engines.closeIdleConnections(close.worker());
    }

    @Override
    public void watchEndpoints(Action.WatchEndpoints subscribe) {
        if (subscribe.enabled()) {
            engines.watchEndpoints();
        }
    }

    @Override
    public void reportPrewarmProgress(Action.PrewarmProgress standing) {
        standings.onProgress(standing.function(), standing.share());
    }

    @Override
    public void pollEndpoints() {
        engines.watchEndpoints();
    }
}
