package pearladder.testbed;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pearladder.emulator.Observation;
import pearladder.emulator.Timeline;
import pearladder.kserve.RequestOutcome;

/**
 * The clients of a scenario, open loop: each request goes out at its time whether or not earlier ones have ended. A
 * client gives up at its deadline, waits for Retry-After, and retries only what the request class allows. An instance
 * belongs to one thread; a scenario that sends more than one event loop can has several.
 */
public final class LoadGenerator {
    /** How a request travels to a router and its response back: sockets, or a simulated network. */
    public interface RequestTransport {
        /** A request that was sent. */
        interface SentRequest {
            /** Cancels it by closing its connection. */
            void cancel();
        }

        /** Sends a request; the listener is notified of its end once. */
        SentRequest send(Request request, ResponseListener heard);
    }

    /**
     * One attempt of a client as its router gets it.
     *
     * @param idempotencyKey the idempotency key; empty where there is none
     * @param isRetry whether an earlier attempt of the same request was sent
     * @param timeToDeadline nanoseconds until its deadline
     */
    public record Request(
            ClientLoadBalancer.Target target,
            String id,
            RequestSource.ScheduledRequest scheduled,
            RequestClassTerms terms,
            String idempotencyKey,
            boolean isRetry,
            long timeToDeadline) {}

    /** Listens for the end of an attempt; one of the two methods is called, once. */
    public interface ResponseListener {
        /**
         * The final answer came.
         *
         * @param state null where the response names none
         * @param version of the model; empty where the response names none
         * @param wait Retry-After in nanoseconds, or 0
         */
        void onAnswer(RequestOutcome state, int status, String version, long wait);

        /**
         * The attempt ended without a final answer.
         *
         * @param how "unreachable" where nothing was sent, else "cut"
         */
        void onNoAnswer(String how);
    }

    /** The notes of observations that no response came for; the checks know the first two. */
    private static final String UNREACHABLE = ObservedRequest.UNREACHABLE;

    private static final String LEFT = ObservedRequest.LEFT;
    private static final String GAVE_UP = "gave up";

    /** For how long after its deadline a client listens, only to observe what comes too late. */
    private static final long LISTEN_AFTER_DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Less time than this is not worth an attempt; also the pause of clients that ignore Retry-After. */
    private static final long SHORTEST_ATTEMPT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** A pause before a retry is multiplied by a random factor from this on, up to it plus the spread. */
    private static final double LEAST_PAUSE_FACTOR = 0.75;

    private static final double PAUSE_FACTOR_SPREAD = 0.5;
    /** Sets the random sequences of the lanes apart from each other and from those of the load and the faults. */
    private static final long SEED_FACTOR = 31;

    private static final long SEED_OFFSET = 7;
    private static final long LANE_SEED_STEP = 1_000_003;

    private final class PendingRequest {
        final RequestSource.ScheduledRequest drawn;
        final RequestClassTerms terms;
        final long dueAt;
        final String idempotencyKey;
        int attempts;

        PendingRequest(RequestSource.ScheduledRequest drawn) {
            this.drawn = drawn;
            this.terms = plan.invariantSettings().requestClasses().get(drawn.requestClass());
            this.dueAt = startedAt + drawn.dueAfter();
            this.idempotencyKey =
                    terms.idempotency() == RequestClassTerms.Idempotency.FINGERPRINTED ? "m" + drawn.number() : "";
        }

        long elapsed() {
            return time.now() - dueAt;
        }

        /** Nanoseconds from a moment until its deadline. */
        long remaining(long now) {
            return dueAt + terms.deadline() - now;
        }

        /** Whether its class allows a retry after an attempt that may have taken effect. */
        boolean mayRetry() {
            return switch (terms.idempotency()) {
                case RETRIABLE -> true;
                case FINGERPRINTED -> terms.deduplicationScope() == RequestClassTerms.DeduplicationScope.ALL
                        && elapsed() < terms.keyRetention() / 2;
                case BINDING -> false;
            };
        }
    }

    private final Timeline time;
    private final RequestTransport wire;
    private final ScenarioPlan plan;
    private final ClientLoadBalancer loadBalancer;
    private final LoadStatistics statistics;
    private final Consumer<Observation> observations;
    private final RequestSource source;
    private final SplittableRandom random;
    private boolean ignoresRetryAfter;
    private long startedAt;
    private RequestSource.ScheduledRequest next;
    private int pending;
    private Runnable onEnd;

    /**
     * Creates a generator.
     *
     * @param lane its number among those of the scenario, which sets its random sequence apart
     * @param source what it sends
     */
    public LoadGenerator(
            Timeline time,
            RequestTransport wire,
            ScenarioPlan plan,
            int lane,
            RequestSource source,
            ClientLoadBalancer loadBalancer,
            LoadStatistics statistics,
            Consumer<Observation> observations) {
        this.time = time;
        this.wire = wire;
        this.plan = plan;
        this.loadBalancer = loadBalancer;
        this.statistics = statistics;
        this.observations = observations;
        this.source = source;
        this.random = new SplittableRandom(plan.seed() * SEED_FACTOR + SEED_OFFSET + lane * LANE_SEED_STEP);
    }

    /**
     * Sends all requests of the source.
     *
     * @param startAt of the scenario, on the timeline's clock
     * @param onEnd runs when the last request has ended
     */
    public void start(long startAt, Runnable onEnd) {
        this.startedAt = startAt;
        this.onEnd = onEnd;
        next = source.next();
        sendDue();
    }

    /** Whether clients retry at once, whatever Retry-After says. */
    public void ignoreRetryAfter(boolean on) {
        ignoresRetryAfter = on;
    }

    private void sendDue() {
        long now = time.now();
        while (next != null && startedAt + next.dueAfter() <= now) {
            statistics.recordSendDelay(now - startedAt - next.dueAfter());
            pending++;
            sendAttempt(new PendingRequest(next));
            next = source.next();
        }
        if (next != null) {
            time.at(startedAt + next.dueAfter(), this::sendDue);
        } else if (pending == 0) {
            onEnd.run();
        }
    }

    private void sendAttempt(PendingRequest pendingRequest) {
        long now = time.now();
        long remaining = pendingRequest.remaining(now);
        if (remaining < SHORTEST_ATTEMPT_NANOS) {
            end(pendingRequest, LoadStatistics.End.UNANSWERED);
            return;
        }
        RequestSource.ScheduledRequest drawn = pendingRequest.drawn;
        long patience = Math.min(remaining, Math.round(pendingRequest.terms.deadline() * drawn.patience()));
        ClientLoadBalancer.Target target = loadBalancer.next(drawn.zone(), now);
        String id = "c" + drawn.number() + "." + pendingRequest.attempts++;
        statistics.recordAttempt();
        Request request = new Request(
                target,
                id,
                drawn,
                pendingRequest.terms,
                pendingRequest.idempotencyKey,
                pendingRequest.attempts > 1,
                patience);
        new Attempt(pendingRequest, request).send(now);
    }

    private final class Attempt implements ResponseListener {
        private final PendingRequest pendingRequest;
        private final Request request;
        private RequestTransport.SentRequest sent;
        private Timeline.ScheduledTask timeout;
        private boolean ended;

        Attempt(PendingRequest pendingRequest, Request request) {
            this.pendingRequest = pendingRequest;
            this.request = request;
        }

        private void observe(long at, String what, String model, String note, double figure) {
            String router = request.target().router();
            observations.accept(new Observation(at, what, router, request.id(), 0, "", model, note, figure));
        }

        void send(long now) {
            boolean leaves = random.nextDouble() < plan.clients().cancelShare();
            long listens = leaves
                    ? Math.round(request.timeToDeadline() * random.nextDouble())
                    : request.timeToDeadline() + LISTEN_AFTER_DEADLINE_NANOS;
            String model = pendingRequest.drawn.model();
            observe(now, Observation.SENT, model, pendingRequest.terms.name(), request.timeToDeadline());
            timeout = time.after(listens, () -> onNoAnswer(leaves ? LEFT : GAVE_UP));
            RequestTransport.SentRequest out = wire.send(request, this);
            if (ended) {
                out.cancel();
            }
            sent = out;
        }

        /** Ends the attempt; false where it has ended before. */
        private boolean markEnded() {
            if (ended) {
                return false;
            }
            ended = true;
            timeout.cancel();
            return true;
        }

        @Override
        public void onAnswer(RequestOutcome state, int status, String version, long wait) {
            if (!markEnded()) {
                return;
            }
            String model = pendingRequest.drawn.model() + (version.isEmpty() ? "" : "@" + version);
            String note = state == null ? "status " + status : state.code();
            observe(time.now(), Observation.ANSWERED, model, note, 0);
            if (state == RequestOutcome.SETTLED) {
                end(pendingRequest, endOfSuccess(pendingRequest));
                return;
            }
            boolean rejected = state == RequestOutcome.DISMISSED;
            boolean retryAllowed = rejected || pendingRequest.mayRetry();
            if (!retryAllowed || !retry(pendingRequest, ignoresRetryAfter ? 0 : wait)) {
                end(pendingRequest, rejected ? LoadStatistics.End.DISMISSED : LoadStatistics.End.TERMINATED);
            }
        }

        @Override
        public void onNoAnswer(String how) {
            if (!markEnded()) {
                return;
            }
            if (sent != null) {
                sent.cancel();
            }
            observe(time.now(), Observation.UNANSWERED, pendingRequest.drawn.model(), how, 0);
            boolean retryAllowed = !how.equals(LEFT) && (how.equals(UNREACHABLE) || pendingRequest.mayRetry());
            if (!retryAllowed || !retry(pendingRequest, 0)) {
                end(pendingRequest, LoadStatistics.End.UNANSWERED);
            }
        }
    }

    private static LoadStatistics.End endOfSuccess(PendingRequest pendingRequest) {
        long elapsed = pendingRequest.elapsed();
        if (elapsed <= pendingRequest.terms.latencyObjective()) {
            return LoadStatistics.End.SETTLED;
        }
        return elapsed <= pendingRequest.terms.deadline() ? LoadStatistics.End.LATE : LoadStatistics.End.UNANSWERED;
    }

    /** Retries after Retry-After or the client's pause, whichever is longer; false where no attempt is left. */
    private boolean retry(PendingRequest pendingRequest, long retryAfter) {
        long pause = ignoresRetryAfter ? SHORTEST_ATTEMPT_NANOS : randomPause(retryAfter);
        long remaining = pendingRequest.remaining(time.now()) - pause;
        if (pendingRequest.attempts >= plan.clients().maxAttempts() || remaining < SHORTEST_ATTEMPT_NANOS) {
            return false;
        }
        time.after(pause, () -> sendAttempt(pendingRequest));
        return true;
    }

    private long randomPause(long retryAfter) {
        double factor = LEAST_PAUSE_FACTOR + PAUSE_FACTOR_SPREAD * random.nextDouble();
        return Math.round(Math.max(retryAfter, plan.clients().retryPause()) * factor);
    }

    private void end(PendingRequest pendingRequest, LoadStatistics.End how) {
        RequestSource.ScheduledRequest drawn = pendingRequest.drawn;
        statistics.recordEnd(pendingRequest.terms, drawn.tenant(), drawn.dueAfter(), pendingRequest.elapsed(), how);
        pending--;
        if (next == null && pending == 0) {
            onEnd.run();
        }
    }
}
