package pearladder.simulation;

import pearladder.emulator.Timeline;
import pearladder.kserve.RequestOutcome;
import pearladder.router.core.ActiveRequest;
import pearladder.router.core.ResponseHandler;
import pearladder.router.core.WorkerResponse;
import pearladder.routing.api.TimeSpan;
import pearladder.testbed.LoadGenerator;

/** One attempt of a client at a router; delivers the response to the client. */
final class ClientExchange implements ResponseHandler, LoadGenerator.RequestTransport.SentRequest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final SimulatedRouter router;
    private final Timeline time;
    private final long networkDelayNanos;
    private final LoadGenerator.Request request;
    private final LoadGenerator.ResponseListener client;
    private ActiveRequest accepted;
    private String version = "";
    private boolean ended;

    ClientExchange(
            SimulatedRouter router,
            Timeline time,
            long networkDelayNanos,
            LoadGenerator.Request request,
            LoadGenerator.ResponseListener client) {
        this.router = router;
        this.time = time;
        this.networkDelayNanos = networkDelayNanos;
        this.request = request;
        this.client = client;
    }

    LoadGenerator.Request request() {
        return request;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Returns the work of the request, in nanoseconds on a core of speed 1. */
    long workNanos() {
        return request.scheduled().work();
    }

    /** Sets the version that the router has chosen; the response reports it to the client. */
    void setVersion(String chosenVersion) {
        version = chosenVersion;
    }

    void setAccepted(ActiveRequest activeRequest) {
        accepted = activeRequest;
    }

    @Override
    public void onSuccess(WorkerResponse response) {
        respond(RequestOutcome.SETTLED, RequestOutcome.SETTLED.status, 0);
    }

    @Override
    public void onRejected(TimeSpan retryAfter) {
        long retryAfterNanos = retryAfter.toMillis() * NANOS_PER_MILLI;
        respond(RequestOutcome.DISMISSED, RequestOutcome.DISMISSED.status, retryAfterNanos);
    }

    @Override
    public void onFailure() {
        respond(RequestOutcome.TERMINATED, RequestOutcome.TERMINATED.status, 0);
    }

    /** @param outcome outcome named in the response; null if it names none */
    void respond(RequestOutcome outcome, int status, long retryAfterNanos) {
        if (ended) {
            return;
        }
        ended = true;
        router.onExchangeEnded(this);
        time.after(networkDelayNanos, () -> client.onAnswer(outcome, status, version, retryAfterNanos));
    }

    /** Ends the exchange as a connection refused because the router is dead. */
    void refuseConnection() {
        endWithoutResponse("unreachable");
    }

    /** Ends the exchange when the router dies and the connection breaks. */
    void onRouterDied() {
        endWithoutResponse("cut");
    }

    private void endWithoutResponse(String reason) {
        ended = true;
        time.after(networkDelayNanos, () -> client.onNoAnswer(reason));
    }

    /** Closes the client's connection; the router is notified after the network delay. */
    @Override
    public void cancel() {
        time.after(networkDelayNanos, () -> router.run(this::onClientDisconnected));
    }

    private void onClientDisconnected() {
        ended = true;
        router.onExchangeEnded(this);
        if (accepted != null) {
            router.onClientDisconnected(accepted);
        }
    }
}
