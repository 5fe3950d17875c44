package pearladder.simulation;

import pearladder.emulator.Timeline;
import pearladder.kserve.RequestOutcome;
import pearladder.router.core.ActiveRequest;
import pearladder.router.core.ResponseHandler;
import pearladder.router.core.WorkerResponse;
import pearladder.routing.api.TimeSpan;
import pearladder.testbed.LoadGenerator;

/** One client's try at a router, and where its response goes. */
final class ClientExchange implements ResponseHandler, LoadGenerator.RequestTransport.SentRequest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final SimulatedRouter router;
    private final Timeline time;
    private final long networkDelayNanos;
    private final LoadGenerator.Request request;
    private final LoadGenerator.ResponseListener client;
    private ActiveRequest accepted;
    private String version = "";
    private boolean over;

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

    boolean isOver() {
        return over;
    }

    /** The work that the request asks for, in nanoseconds on a core of speed 1. */
    long workNanos() {
        return request.scheduled().work();
    }

    /** The version that the router has chosen, sent to the client with the response. */
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

    /** @param outcome null where the response names none */
    void respond(RequestOutcome outcome, int status, long retryAfterNanos) {
        if (over) {
            return;
        }
        over = true;
        router.onExchangeOver(this);
        time.after(networkDelayNanos, () -> client.onAnswer(outcome, status, version, retryAfterNanos));
    }

    /** The router is dead and refuses the connection. */
    void refuse() {
        endWithoutResponse("unreachable");
    }

    /** The router dies and the connection breaks. */
    void breakOff() {
        endWithoutResponse("cut");
    }

    private void endWithoutResponse(String reason) {
        over = true;
        time.after(networkDelayNanos, () -> client.onNoAnswer(reason));
    }

    /** The client closes its connection; the router learns of it after the delay. */
    @Override
    public void cancel() {
        time.after(networkDelayNanos, () -> router.run(this::onClientDisconnected));
    }

    private void onClientDisconnected() {
        over = true;
        router.onExchangeOver(this);
        if (accepted != null) {
            router.onClientDisconnected(accepted);
        }
    }
}
