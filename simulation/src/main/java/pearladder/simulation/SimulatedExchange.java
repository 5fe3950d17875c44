package pearladder.simulation;

import java.util.function.Consumer;
import pearladder.emulator.PendingRequest;
import pearladder.emulator.Timeline;
import pearladder.emulator.WorkerReply;
import pearladder.router.core.WorkerClient;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/**
 * One request of a router to a worker, from connecting to completion. It ends exactly once: with a reply, a failure,
 * a timeout or a cancellation.
 */
final class SimulatedExchange implements WorkerClient.PendingSend, SimulatedNetworkPath.Exchange {
    /** Operation that a request performs at its worker. */
    interface Operation {
        /** Starts the operation and returns the request pending at the worker, or null if there is none. */
        PendingRequest start(Consumer<WorkerReply> replyTo);
    }

    /** Notified once of how the exchange ended. */
    interface Listener {
        /** Handles the end of the exchange; the reply is null if none arrived. */
        void onEnded(Outcome outcome, WorkerReply reply);
    }

    private static final long MIN_TIMEOUT_NANOS = 1_000_000;

    private final SimulatedWorkerClient client;
    private final SimulatedRouter router;
    private final SimulatedConnectionPool connections;
    private final SimulatedNetworkPath path;
    private final Operation operation;
    private final Listener listener;
    private Timeline.ScheduledTask timeout;
    private PendingRequest pending;
    private boolean sent;
    private boolean ended;

    SimulatedExchange(
            SimulatedWorkerClient client, SimulatedConnectionPool connections, Operation operation, Listener listener) {
        this.client = client;
        this.router = client.router();
        this.connections = connections;
        this.path = connections.path();
        this.operation = operation;
        this.listener = listener;
    }

    /** Connects and sends the request. */
    SimulatedExchange start(TimeSpan limit) {
        long timeoutNanos = Math.max(MIN_TIMEOUT_NANOS, limit.nanos());
        timeout = router.after(timeoutNanos, () -> end(sent ? Outcome.TIMED_OUT : Outcome.UNREACHABLE, null));
        client.add(this);
        connect();
        return this;
    }

    private void connect() {
        if (connections.acquire()) {
            send();
            return;
        }
        long roundTripNanos = 2 * client.networkDelayNanos();
        if (!path.answersConnects()) {
            router.after(client.connectTimeoutNanos(), () -> end(Outcome.UNREACHABLE, null));
        } else if (!path.worker.isUp()) {
            router.after(roundTripNanos, () -> end(Outcome.UNREACHABLE, null));
        } else {
            router.after(roundTripNanos, this::onConnected);
        }
    }

    private void onConnected() {
        if (ended) {
            connections.release();
        } else {
            send();
        }
    }

    private void send() {
        sent = true;
        path.register(this);
        path.sendToWorker(this::onArrivedAtWorker);
    }

    private void onArrivedAtWorker() {
        if (ended) {
            // Ended during a network cut: its connection was reset, and undelivered data is dropped.
            return;
        }
        if (!path.worker.isUp()) {
            onReset();
            return;
        }
        if (path.isHanging()) {
            return;
        }
        pending = operation.start(reply -> path.sendToRouter(() -> router.run(() -> onReply(reply))));
        if (pending == null && !path.worker.isUp()) {
            client.onOverloadCrash(path.worker.id());
        }
    }

    private void onReply(WorkerReply reply) {
        if (ended) {
            return;
        }
        if (path.isTruncatingResponses()) {
            end(Outcome.BROKEN, null);
        } else {
            connections.release();
            end(SimulatedResponse.outcomeOf(reply), reply);
        }
    }

    @Override
    public void onReset() {
        connections.closeIdle();
        router.run(() -> end(Outcome.BROKEN, null));
    }

    private void end(Outcome outcome, WorkerReply reply) {
        if (ended) {
            return;
        }
        ended = true;
        client.remove(this);
        timeout.cancel();
        path.unregister(this);
        if (reply == null && sent) {
            closeConnection();
        }
        listener.onEnded(outcome, reply);
    }

    /** Closes the connection; the worker then cancels the request. */
    private void closeConnection() {
        path.sendToWorker(() -> {
            if (pending != null && path.worker.isUp()) {
                pending.cancel();
            }
        });
    }

    /** Closes the connection of a dead router without notifying the listener. */
    void closeSilently() {
        if (sent) {
            ended = true;
            path.unregister(this);
            closeConnection();
        }
    }

    @Override
    public void cancel() {
        end(sent ? Outcome.WITHDRAWN : Outcome.VOID, null);
    }

    @Override
    public void cancelUnsent() {
        if (!sent) {
            end(Outcome.VOID, null);
        }
    }
}
