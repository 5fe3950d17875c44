package pearladder.simulation;

import pearladder.emulator.EndpointRegistry;
import pearladder.emulator.Timeline;
import pearladder.kserve.DiscoveryMessage;

/**
 * A router's watch of the endpoint registry over the virtual network. It counts as broken where it is silent for
 * too long; the router decides when to connect again.
 */
final class DiscoveryWatch {
    /** Events that the watch reports to its router. */
    interface Listener {
        /** A change or the whole list came; heartbeats are not reported. */
        void onMessage(DiscoveryMessage message);

        /** The connection broke or fell silent. */
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
    /** Version of the list that the router has. */
    private long version;
    /** Counts connections, so that what comes late from an earlier one is ignored. */
    private int connection;

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

    /** Connects; does nothing where it is connected or connecting. */
    void connect() {
        if (connected) {
            return;
        }
        connected = true;
        connection++;
        int current = connection;
        restartSilenceTimeout(current);
        router.after(2 * networkDelayNanos, () -> {
            if (isCurrent(current)) {
                watcher = registry.watch(routerName, version, message -> sendToRouter(current, message));
            }
        });
    }

    private boolean isCurrent(int candidate) {
        return candidate == connection && connected;
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

    /** The discovery service resets the connection; the router learns of it after the delay. */
    void reset() {
        int current = connection;
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

    /** The router dies: the connection closes without notifying the listener. */
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
