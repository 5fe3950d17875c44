package pearladder.emulator.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

/**
 * A proxy between routers and workers that emulates network faults. Each pair of router and worker has its own route,
 * a relay on a loopback port. A route can be cut, have its connections reset, accept no connections, or refuse them
 * while its worker is down. One thread relays for all routes; the methods of this class run tasks on that thread and
 * wait for their completion.
 */
public final class FaultProxy implements AutoCloseable {
    /** Time that the thread waits for sockets or tasks before it checks whether the proxy is closed. */
    private static final long SELECT_TIMEOUT_MILLIS = 200;

    private record RouteKey(String router, String worker) {}

    private interface RouteAction {
        void apply(ProxyRoute route) throws IOException;
    }

    private final Selector selector;
    private final Map<RouteKey, ProxyRoute> routes = new LinkedHashMap<>();
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private volatile boolean closed;

    FaultProxy() {
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Thread thread = new Thread(this::runLoop, "fault-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Returns the port at which a router reaches a worker. Opens the route on the first call and when the worker's own
     * port has changed.
     */
    int port(String router, String worker, int targetPort) {
        return call(() -> {
            RouteKey key = new RouteKey(router, worker);
            ProxyRoute route = routes.get(key);
            if (route == null || route.targetPort() != targetPort) {
                route = new ProxyRoute(selector, router, worker, targetPort);
                routes.put(key, route);
                route.listen();
            }
            return route.port();
        });
    }

    /** Cuts or restores the routes between routers and workers; an empty name matches all. */
    void setCut(String router, String worker, boolean on) {
        forEach(router, worker, route -> route.setCut(on));
    }

    /** Stops or resumes accepting connections to a worker, as with stalled handshakes; open connections are kept. */
    void setNotAccepting(String worker, boolean on) {
        forEach("", worker, route -> route.setNotAccepting(on));
    }

    /** Resets the open connections between routers and workers; an empty name matches all. */
    void reset(String router, String worker) {
        forEach(router, worker, ProxyRoute::resetConnections);
    }

    /** Refuses connections while the worker's process is down; accepts them again once it is up. */
    void setDown(String worker, boolean on) {
        forEach("", worker, route -> route.setDown(on));
    }

    private void forEach(String router, String worker, RouteAction action) {
        call(() -> {
            for (ProxyRoute route : routes.values()) {
                if (route.matches(router, worker)) {
                    action.apply(route);
                }
            }
            return null;
        });
    }

    private <T> T call(Callable<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        synchronized (tasks) {
            tasks.add(() -> complete(result, task));
        }
        selector.wakeup();
        return result.join();
    }

    private static <T> void complete(CompletableFuture<T> result, Callable<T> task) {
        try {
            result.complete(task.call());
        } catch (Exception e) {
            result.completeExceptionally(e);
        }
    }

    private void runLoop() {
        while (!closed) {
            try {
                selector.select(SELECT_TIMEOUT_MILLIS);
                runTasks();
                List.copyOf(selector.selectedKeys()).forEach(FaultProxy::handle);
                selector.selectedKeys().clear();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private void runTasks() {
        Runnable task;
        while ((task = nextTask()) != null) {
            task.run();
        }
    }

    private Runnable nextTask() {
        synchronized (tasks) {
            return tasks.poll();
        }
    }

    private static void handle(SelectionKey key) {
        if (!key.isValid()) {
            return;
        }
        try {
            if (key.attachment() instanceof ProxyRoute route) {
                route.accept();
            } else if (key.attachment() instanceof ProxyConnection connection) {
                connection.relay();
            }
        } catch (IOException | CancelledKeyException e) {
            if (key.attachment() instanceof ProxyConnection connection) {
                connection.reset();
            }
        }
    }

    @Override
    public void close() {
        call(() -> {
            for (ProxyRoute route : routes.values()) {
                route.close();
            }
            return null;
        });
        closed = true;
        selector.wakeup();
    }
}
