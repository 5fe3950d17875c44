package pearladder.simulation;

import pearladder.emulator.EndpointRegistry;
import pearladder.emulator.Timeline;
import pearladder.kserve.DiscoveryMessage;

/**
 * A router's watch of the endpoint registry over the virtual network. A watch without messages for the silence timeout
 * is treated as disconnected; the router decides when to reconnect.
 */
final class DiscoveryWatch {
    /** Events that the watch reports to its router. */
    interface Listener {
        /** Handles a change or a full endpoint list; heartbeats are not reported. */
        void onMessage(DiscoveryMessage message);

        /** Handles a broken connection or an expired silence timeout. */
        void onDisconnected();
    }

    private final SimulatedRouter router;
    private final String routerName;
    private final EndpointRegistry registry;
    private final Timeline time;
    private final long networkDelayNanos;
    private final long silenceTimeoutNanos;
    private final Listener listener;
    private EndpointRegistry.Watcher watcher;
    private Timeline.ScheduledTask silenceTimeout;
    /** Version of the router's endpoint list. */
    private long version;
    /** Number of the current connection; late events of earlier connections are ignored. */
    private int connectionNumber;

    private boolean connected;

    DiscoveryWatch(
            SimulatedRouter router,
            String routerName,
            RouterEnvironment environment,
            long silenceTimeoutNanos,
            Listener listener) {
        this.router = router;
        this.routerName = routerName;
        this.registry = environment.fleet().registry();
        this.time = environment.time();
        this.networkDelayNanos = environment.networkDelayNanos();
        this.silenceTimeoutNanos = silenceTimeoutNanos;
        this.listener = listener;
    }

    /** Connects unless connected or connecting already. */
    void connect() {
        if (connected) {
            return;
        }
        connected = true;
        connectionNumber++;
        int current = connectionNumber;
        restartSilenceTimeout(current);
        router.after(2 * networkDelayNanos, () -> {
            if (isCurrent(current)) {
                watcher = registry.watch(routerName, version, message -> sendToRouter(current, message));
            }
        });
    }

    private boolean isCurrent(int candidate) {
        return candidate == connectionNumber && connected;
    }

    private void sendToRouter(int from, DiscoveryMessage message) {
        time.after(networkDelayNanos, () -> router.run(() -> onMessage(from, message)));
    }

    private void onMessage(int from, DiscoveryMessage message) {
        if (!isCurrent(from)) {
            return;
        }
        restartSilenceTimeout(from);
        if (message.kind() != DiscoveryMessage.Kind.BEAT) {
            version = message.version();
            listener.onMessage(message);
        }
    }

    private void restartSilenceTimeout(int current) {
        if (silenceTimeout != null) {
            silenceTimeout.cancel();
        }
        silenceTimeout = router.after(silenceTimeoutNanos, () -> onDisconnected(current));
    }

    /** Resets the connection from the discovery service's side; the router is notified after the network delay. */
    void reset() {
        int current = connectionNumber;
        time.after(networkDelayNanos, () -> router.run(() -> onDisconnected(current)));
    }

    private void onDisconnected(int from) {
        if (!isCurrent(from)) {
            return;
        }
        connected = false;
        removeWatcher();
        listener.onDisconnected();
    }

    /** Closes the connection of a dead router without notifying the listener. */
    void closeSilently() {
        removeWatcher();
    }

    private void removeWatcher() {
        if (watcher != null) {
            registry.removeWatcher(watcher);
            watcher = null;
        }
    }
}
