package pearladder.testbed;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pearladder.emulator.Observation;
import pearladder.emulator.Timeline;
import pearladder.kserve.RequestOutcome;

/**
 * The open-loop clients of a scenario: each request is sent at its scheduled time, whether or not earlier ones have
 * ended. A client abandons a request at its deadline, honors Retry-After, and retries only what the request class
 * allows. Not thread-safe: each instance is confined to one event loop, and a scenario whose load exceeds one event
 * loop uses several instances.
 */
public final class LoadGenerator {
    /** Carries requests to routers and responses back, over sockets or a simulated network. */
    public interface RequestTransport {
        /** A request that was sent. */
        interface SentRequest {
            /** Cancels the request by closing its connection. */
            void cancel();
        }

        /** Sends a request; the listener is notified exactly once, when the request ends. */
        SentRequest send(Request request, ResponseListener listener);
    }

    /**
     * One attempt of a client, as it is sent to a router.
     *
     * @param idempotencyKey empty if the request has none
     * @param isRetry whether an earlier attempt of the same request was sent
     * @param timeToDeadline nanoseconds until the deadline of the attempt
     */
    public record Request(
            ClientLoadBalancer.Target target,
            String id,
            RequestSource.ScheduledRequest scheduled,
            RequestClassTerms terms,
            String idempotencyKey,
            boolean isRetry,
            long timeToDeadline) {}

    /** Listens for the end of an attempt; exactly one of the two methods is called, exactly once. */
    public interface ResponseListener {
        /**
         * Handles the final answer.
         *
         * @param outcome outcome of the request; null if the response does not state one
         * @param version model version; empty if the response does not state one
         * @param retryAfter Retry-After in nanoseconds, or 0
         */
        void onAnswer(RequestOutcome outcome, int status, String version, long retryAfter);

        /**
         * Handles the end of an attempt without a final answer.
         *
         * @param how "unreachable" if nothing was sent, otherwise "cut"
         */
        void onNoAnswer(String how);
    }

    /** Notes on observations of attempts without a response; the invariant checks match the first two. */
    private static final String UNREACHABLE = ObservedRequest.UNREACHABLE;

    private static final String LEFT = ObservedRequest.LEFT;
    private static final String ABANDONED = "gave up";

    /** Time after its deadline for which a client still listens, only to observe late answers. */
    private static final long LISTEN_AFTER_DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Shortest time to the deadline in which an attempt is sent; also the pause of clients that ignore Retry-After. */
    private static final long MIN_ATTEMPT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** Lower bound of the random factor by which a pause before a retry is multiplied. */
    private static final double MIN_PAUSE_FACTOR = 0.75;

    /** Width of the range of that factor, above its lower bound. */
    private static final double PAUSE_FACTOR_SPREAD = 0.5;
    /** Separates the random sequences of the lanes from each other and from those of the load and the faults. */
    private static final long SEED_FACTOR = 31;

    private static final long SEED_OFFSET = 7;
    private static final long LANE_SEED_STEP = 1_000_003;

    private final class PendingRequest {
        final RequestSource.ScheduledRequest scheduled;
        final RequestClassTerms terms;
        final long dueAt;
        final String idempotencyKey;
        int attempts;

        PendingRequest(RequestSource.ScheduledRequest scheduled) {
            this.scheduled = scheduled;
            this.terms = plan.invariantSettings().requestClasses().get(scheduled.requestClass());
            this.dueAt = startedAt + scheduled.dueAfter();
            this.idempotencyKey =
                    terms.idempotency() == RequestClassTerms.Idempotency.FINGERPRINTED ? "m" + scheduled.number() : "";
        }

        long elapsed() {
            return time.now() - dueAt;
        }

        /** Returns the nanoseconds from a point in time until the deadline of the request. */
        long remaining(long now) {
            return dueAt + terms.deadline() - now;
        }

        /** Returns whether the request class allows a retry after an attempt that may have taken effect. */
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
    private final RequestTransport transport;
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
     * @param lane index among the generators of the scenario; gives each its own random sequence
     * @param source the requests to send
     */
    public LoadGenerator(
            Timeline time,
            RequestTransport transport,
            ScenarioPlan plan,
            int lane,
            RequestSource source,
            ClientLoadBalancer loadBalancer,
            LoadStatistics statistics,
            Consumer<Observation> observations) {
        this.time = time;
        this.transport = transport;
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
     * @param startAt start of the scenario, on the timeline's clock
     * @param onEnd runs when the last request has ended
     */
    public void start(long startAt, Runnable onEnd) {
        this.startedAt = startAt;
        this.onEnd = onEnd;
        next = source.next();
        sendDue();
    }

    /** Sets whether clients ignore Retry-After and retry at once. */
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
        if (remaining < MIN_ATTEMPT_NANOS) {
            end(pendingRequest, LoadStatistics.End.UNANSWERED);
            return;
        }
        RequestSource.ScheduledRequest scheduled = pendingRequest.scheduled;
        long timeToDeadline =
                Math.min(remaining, Math.round(pendingRequest.terms.deadline() * scheduled.attemptTimeoutShare()));
        ClientLoadBalancer.Target target = loadBalancer.next(scheduled.zone(), now);
        String id = "c" + scheduled.number() + "." + pendingRequest.attempts++;
        statistics.recordAttempt();
        Request request = new Request(
                target,
                id,
                scheduled,
                pendingRequest.terms,
                pendingRequest.idempotencyKey,
                pendingRequest.attempts > 1,
                timeToDeadline);
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
            boolean clientCancels = random.nextDouble() < plan.clients().cancelShare();
            long listenNanos = clientCancels
                    ? Math.round(request.timeToDeadline() * random.nextDouble())
                    : request.timeToDeadline() + LISTEN_AFTER_DEADLINE_NANOS;
            String model = pendingRequest.scheduled.model();
            observe(now, Observation.SENT, model, pendingRequest.terms.name(), request.timeToDeadline());
            timeout = time.after(listenNanos, () -> onNoAnswer(clientCancels ? LEFT : ABANDONED));
            RequestTransport.SentRequest out = transport.send(request, this);
            if (ended) {
                out.cancel();
            }
            sent = out;
        }

        /** Marks the attempt as ended; returns false if it had already ended. */
        private boolean markEnded() {
            if (ended) {
                return false;
            }
            ended = true;
            timeout.cancel();
            return true;
        }

        @Override
        public void onAnswer(RequestOutcome outcome, int status, String version, long retryAfter) {
            if (!markEnded()) {
                return;
            }
            String model = pendingRequest.scheduled.model() + (version.isEmpty() ? "" : "@" + version);
            String note = outcome == null ? "status " + status : outcome.code();
            observe(time.now(), Observation.ANSWERED, model, note, 0);
            if (outcome == RequestOutcome.SETTLED) {
                end(pendingRequest, endOfSuccess(pendingRequest));
                return;
            }
            boolean rejected = outcome == RequestOutcome.DISMISSED;
            boolean retryAllowed = rejected || pendingRequest.mayRetry();
            if (!retryAllowed || !retry(pendingRequest, ignoresRetryAfter ? 0 : retryAfter)) {
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
            observe(time.now(), Observation.UNANSWERED, pendingRequest.scheduled.model(), how, 0);
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

    /** Retries after Retry-After or the client's pause, whichever is longer; returns false if no attempt is left. */
    private boolean retry(PendingRequest pendingRequest, long retryAfter) {
        long pause = ignoresRetryAfter ? MIN_ATTEMPT_NANOS : randomPause(retryAfter);
        long remaining = pendingRequest.remaining(time.now()) - pause;
        if (pendingRequest.attempts >= plan.clients().maxAttempts() || remaining < MIN_ATTEMPT_NANOS) {
            return false;
        }
        time.after(pause, () -> sendAttempt(pendingRequest));
        return true;
    }

    private long randomPause(long retryAfter) {
        double factor = MIN_PAUSE_FACTOR + PAUSE_FACTOR_SPREAD * random.nextDouble();
        return Math.round(Math.max(retryAfter, plan.clients().retryPause()) * factor);
    }

    private void end(PendingRequest pendingRequest, LoadStatistics.End how) {
        RequestSource.ScheduledRequest scheduled = pendingRequest.scheduled;
        statistics.recordEnd(
                pendingRequest.terms, scheduled.tenant(), scheduled.dueAfter(), pendingRequest.elapsed(), how);
        pending--;
        if (next == null && pending == 0) {
            onEnd.run();
        }
    }
}
