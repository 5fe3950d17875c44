package pearladder.simulation;

import java.util.function.Consumer;
import pearladder.emulator.PendingRequest;
import pearladder.emulator.Timeline;
import pearladder.emulator.WorkerReply;
import pearladder.router.core.WorkerClient;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/**
 * One request of a router to a worker, from connecting to its end. It ends once: with a reply, a failure, a
 * timeout, or by being cancelled.
 */
final class SimulatedExchange implements WorkerClient.PendingSend, SimulatedNetworkPath.Exchange {
    /** What the request does once it has reached its worker. */
    interface Operation {
        /** Returns a handle on what the worker holds, or null where it holds nothing. */
        PendingRequest start(Consumer<WorkerReply> replyTo);
    }

    /** Notified once of how the exchange ended. */
    interface Listener {
        /** The reply is null where none came. */
        void onEnded(Outcome outcome, WorkerReply reply);
    }

    private static final long SHORTEST_TIMEOUT_NANOS = 1_000_000;

    private final SimulatedWorkerClient client;
    private final SimulatedRouter router;
    private final SimulatedConnectionPool connections;
    private final SimulatedNetworkPath path;
    private final Operation operation;
    private final Listener listener;
    private Timeline.ScheduledTask timeout;
    private PendingRequest pending;
    private boolean sent;
    private boolean over;

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
        long timeoutNanos = Math.max(SHORTEST_TIMEOUT_NANOS, limit.nanos());
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
        if (over) {
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
        if (over) {
            // Given up while the way was cut: its connection was reset, and what had not left is dropped.
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
        if (over) {
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
        if (over) {
            return;
        }
        over = true;
        client.remove(this);
        timeout.cancel();
        path.unregister(this);
        if (reply == null && sent) {
            closeConnection();
        }
        listener.onEnded(outcome, reply);
    }

    /** The connection closes, and the worker notices. */
    private void closeConnection() {
        path.sendToWorker(() -> {
            if (pending != null && path.worker.isUp()) {
                pending.cancel();
            }
        });
    }

    /** The router has died: the connection closes without notifying the listener. */
    void closeSilently() {
        if (sent) {
            over = true;
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
