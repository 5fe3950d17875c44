package pearladder.connections;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Shares a router's file descriptors among its connections. Clients and workers have separate limits, so that neither
 * side can starve the other. Requests are multiplexed on a worker connection only where no further connection may be
 * opened, because a malformed response fails every command in flight on its connection.
 */
public final class ConnectionManager {
    /**
     * Limits on the number of connections and on how long an unused one is kept.
     *
     * @param maxClientConnections maximum number of open client connections
     * @param maxWorkerConnections maximum number of open worker connections, to all workers together
     * @param maxInFlight maximum number of commands in flight on one worker connection
     * @param clientTimeout longest time a client may take to send its first message, to complete a message, or to read
     *     what was sent to it
     * @param workerIdleTimeout time after which an unused worker connection is closed, before the worker closes it in
     *     the middle of a send
     */
    public record ConnectionLimits(
            int maxClientConnections,
            int maxWorkerConnections,
            int maxInFlight,
            TimeSpan clientTimeout,
            TimeSpan workerIdleTimeout) {
        /** One in this many descriptors is kept free for connections that were just accepted or are being closed. */
        private static final int RESERVE_DIVISOR = 8;
        /** Minimum number of connections for clients and for workers each, even if the process's limit is lower. */
        private static final int MIN_CONNECTIONS = 16;

        private static final TimeSpan CLIENT_TIMEOUT = TimeSpan.millis(2000);
        /** Part of the worker's own idle timeout after which the router closes the connection first. */
        private static final double IDLE_TIMEOUT_FRACTION = 0.5;

        /**
         * Divides the available descriptors equally between clients and workers.
         *
         * @param descriptorLimit maximum number of file descriptors of the process
         * @param ownDescriptors number of file descriptors that the process needs for other purposes
         * @param maxInFlight maximum number of commands in flight on one worker connection
         * @param workerIdleTimeout time after which workers close an unused connection
         */
        public static ConnectionLimits of(
                int descriptorLimit, int ownDescriptors, int maxInFlight, TimeSpan workerIdleTimeout) {
            int available =
                    Math.max(2 * MIN_CONNECTIONS, descriptorLimit - ownDescriptors - descriptorLimit / RESERVE_DIVISOR);
            return new ConnectionLimits(
                    available / 2,
                    available - available / 2,
                    maxInFlight,
                    CLIENT_TIMEOUT,
                    workerIdleTimeout.times(IDLE_TIMEOUT_FRACTION));
        }
    }

    /** Number of unusable messages at which a client is disconnected. */
    private static final int MAX_UNUSABLE_MESSAGES = 16;

    private final ConnectionLimits limits;
    /** In the order in which they were accepted. */
    private final Set<ClientConnectionState> clientConnections = new LinkedHashSet<>();
    /** In the order in which they were opened. */
    private final Set<WorkerConnectionState> workerConnections = new LinkedHashSet<>();

    /** Creates a manager without connections. */
    public ConnectionManager(ConnectionLimits limits) {
        this.limits = limits;
    }

    /**
     * Handles an event.
     *
     * @return the actions to execute, in this order; empty if a command has to wait because no connection can take it
     */
    public List<ConnectionAction> on(MonotonicTime now, ConnectionEvent event) {
        List<ConnectionAction> actions = new ArrayList<>();
        if (event instanceof ConnectionEvent.ClientConnected connected) {
            onClientConnected(connected.connection(), actions);
        } else if (event instanceof ConnectionEvent.ClientDisconnected disconnected) {
            clientConnections.remove(disconnected.connection());
        } else if (event instanceof ConnectionEvent.WorkerConnectionClosed closed) {
            workerConnections.remove(closed.connection());
        } else if (event instanceof ConnectionEvent.WorkerConnectionRequested requested) {
            onWorkerConnectionRequested(now, requested, actions);
        } else if (event instanceof ConnectionEvent.Tick) {
            onTick(now, actions);
        }
        return actions;
    }

    private void onTick(MonotonicTime now, List<ConnectionAction> actions) {
        for (ClientConnectionState connection : List.copyOf(clientConnections)) {
            String reason = closeReason(now, connection);
            if (reason != null) {
                closeClient(connection, reason, actions);
            }
        }
        for (WorkerConnectionState connection : List.copyOf(workerConnections)) {
            if (isUnused(connection) && now.since(connection.lastUsedAt).isLongerThan(limits.workerIdleTimeout())) {
                closeWorker(connection, actions);
            }
        }
    }

    // ---- clients

    private void onClientConnected(ClientConnectionState connection, List<ConnectionAction> actions) {
        clientConnections.add(connection);
        if (clientConnections.size() > limits.maxClientConnections()) {
            closeClient(selectClientToClose(connection), "too many connections", actions);
        }
    }

    /** Returns why a client connection must be closed; null if it may stay open. */
    private String closeReason(MonotonicTime now, ClientConnectionState connection) {
        if (connection.lastMessageAt == null && isTimedOut(now, connection.connectedAt)) {
            return "no complete message received";
        }
        if (isTimedOut(now, connection.partialMessageSince)) {
            return "a message was not completed in time";
        }
        if (isTimedOut(now, connection.notReadingSince)) {
            return "responses were not read in time";
        }
        if (connection.unusableMessages >= MAX_UNUSABLE_MESSAGES) {
            return "too many unusable messages";
        }
        return null;
    }

    /** Returns whether the client timeout has passed since the given time; false if that time is null. */
    private boolean isTimedOut(MonotonicTime now, MonotonicTime since) {
        return since != null && now.since(since).isLongerThan(limits.clientTimeout());
    }

    /**
     * Returns the connection to close when the limit is exceeded: the oldest one that never sent anything; otherwise
     * the least recently used one without open requests; otherwise the newest.
     */
    private ClientConnectionState selectClientToClose(ClientConnectionState newest) {
        ClientConnectionState leastRecentlyUsed = null;
        for (ClientConnectionState connection : clientConnections) {
            if (connection.lastMessageAt == null && connection != newest) {
                return connection;
            }
            boolean isIdle = connection.openRequests == 0 && connection.lastMessageAt != null;
            if (isIdle
                    && (leastRecentlyUsed == null
                            || connection.lastMessageAt.isBefore(leastRecentlyUsed.lastMessageAt))) {
                leastRecentlyUsed = connection;
            }
        }
        return leastRecentlyUsed != null ? leastRecentlyUsed : newest;
    }

    private void closeClient(ClientConnectionState connection, String reason, List<ConnectionAction> actions) {
        clientConnections.remove(connection);
        actions.add(new ConnectionAction.CloseClientConnection(connection, reason));
    }

    // ---- workers

    /** Uses an unused connection; otherwise opens one, closing an unused one at the limit; otherwise shares one. */
    private void onWorkerConnectionRequested(
            MonotonicTime now, ConnectionEvent.WorkerConnectionRequested requested, List<ConnectionAction> actions) {
        WorkerConnectionState unused = null;
        WorkerConnectionState shareable = null;
        for (WorkerConnectionState connection : requested.connections()) {
            if (!isUsable(connection, requested)) {
                continue;
            }
            if (isUnused(connection) && (unused == null || unused.lastUsedAt.isBefore(connection.lastUsedAt))) {
                unused = connection;
            } else if (connection.inFlight < limits.maxInFlight()
                    && (shareable == null || connection.inFlight < shareable.inFlight)) {
                shareable = connection;
            }
        }
        if (unused != null) {
            actions.add(new ConnectionAction.UseWorkerConnection(unused));
        } else if (makeRoom(requested.connections(), shareable != null, actions)) {
            WorkerConnectionState opened = new WorkerConnectionState(requested.worker(), now);
            workerConnections.add(opened);
            actions.add(new ConnectionAction.OpenWorkerConnection(opened));
        } else if (shareable != null) {
            actions.add(new ConnectionAction.UseWorkerConnection(shareable));
        }
    }

    private boolean isUsable(WorkerConnectionState connection, ConnectionEvent.WorkerConnectionRequested requested) {
        return !connection.suspect
                && !connection.retired
                && !requested.avoided().contains(connection)
                && workerConnections.contains(connection);
    }

    /**
     * Returns whether closing the connection would release its descriptor. A connection that is still being opened
     * stays until it is established or has failed.
     */
    private static boolean isUnused(WorkerConnectionState connection) {
        return connection.established && connection.inFlight == 0;
    }

    /** Returns whether one more worker connection may be opened; at the limit, closes an unused one for it. */
    private boolean makeRoom(
            Collection<WorkerConnectionState> ownConnections, boolean ownOnly, List<ConnectionAction> actions) {
        if (workerConnections.size() < limits.maxWorkerConnections()) {
            return true;
        }
        WorkerConnectionState evicted = leastRecentlyUsed(ownConnections, ownOnly);
        if (evicted == null) {
            return false;
        }
        closeWorker(evicted, actions);
        return true;
    }

    /**
     * Returns the worker connection that has been unused for the longest time, or null if there is none.
     *
     * @param ownOnly whether only connections to the same worker may be closed, because one of those can be shared
     */
    private WorkerConnectionState leastRecentlyUsed(Collection<WorkerConnectionState> ownConnections, boolean ownOnly) {
        WorkerConnectionState leastRecentlyUsed = null;
        for (WorkerConnectionState connection : workerConnections) {
            boolean isCandidate = isUnused(connection) && (!ownOnly || ownConnections.contains(connection));
            if (isCandidate
                    && (leastRecentlyUsed == null || connection.lastUsedAt.isBefore(leastRecentlyUsed.lastUsedAt))) {
                leastRecentlyUsed = connection;
            }
        }
        return leastRecentlyUsed;
    }

    private void closeWorker(WorkerConnectionState connection, List<ConnectionAction> actions) {
        workerConnections.remove(connection);
        actions.add(new ConnectionAction.CloseWorkerConnection(connection));
    }
}
