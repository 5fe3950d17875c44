package pearladder.router.kserve;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.background.JobClasses;
import pearladder.background.ResourceCost;
import pearladder.kserve.DiscoveryMessage;
import pearladder.routing.api.Event;

/** A connection pool for each listed worker, and the endpoint list's cache on disk. */
final class WorkerRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerRegistry.class);
    private static final double BYTES_PER_ENTRY = 150;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Vertx vertx;
    private final BackgroundWork backgroundWork;
    private final RouterConfig.Connections connectionSettings;
    private final EndpointListCache cache;
    private final Map<String, WorkerConnectionPool> pools = new HashMap<>();
    private final EndpointList endpoints = new EndpointList(
            System.currentTimeMillis() * NANOS_PER_MILLI - System.nanoTime(), this::onUpdated, this::retire);
    /** Whether the endpoint list has changed since the current write of the cache began. */
    private boolean changedWhileWriting;
    /** The current write of the cache; null while there is none. */
    private Future<Void> pendingWrite;

    WorkerRegistry(Vertx vertx, RouterConfig config, BackgroundWork backgroundWork) {
        this.vertx = vertx;
        this.backgroundWork = backgroundWork;
        this.connectionSettings = config.connections();
        this.cache = new EndpointListCache(config.dataDirectory());
    }

    /** Returns the cached list as the policy's first event; the event is empty where no list is cached. */
    Event.EndpointsUpdated restore() {
        return endpoints.restore(cache.read());
    }

    /** Applies a message of the discovery service, caches the endpoint list, and returns the message as an event. */
    Event.EndpointsUpdated apply(DiscoveryMessage message) {
        Event.EndpointsUpdated event = endpoints.apply(message);
        writeCache();
        return event;
    }

    /** Returns whether a list was received, or restored with entries. */
    boolean isKnown() {
        return endpoints.isKnown();
    }

    int size() {
        return endpoints.size();
    }

    /** Returns the connections to a worker, or null where the worker is not listed. */
    WorkerConnectionPool pool(String worker) {
        return pools.get(worker);
    }

    private void onUpdated(DiscoveryMessage.Entry entry) {
        WorkerConnectionPool pool = pools.get(entry.worker());
        if (pool == null || !pool.leadsTo(entry)) {
            retire(entry.worker());
            pools.put(entry.worker(), new WorkerConnectionPool(vertx, entry, connectionSettings));
        }
    }

    private void retire(String worker) {
        WorkerConnectionPool pool = pools.remove(worker);
        if (pool != null) {
            pool.retire();
        }
    }

    /** Writes the list to the cache, one write at a time; changes during a write are written after it. */
    private void writeCache() {
        if (pendingWrite != null) {
            changedWhileWriting = true;
            return;
        }
        DiscoveryMessage completeList = endpoints.snapshot();
        ResourceCost cost = new ResourceCost(0, completeList.entries().size() * BYTES_PER_ENTRY, 0);
        pendingWrite = backgroundWork.submit(
                JobClasses.FLUSH,
                "",
                cost,
                null,
                () -> vertx.executeBlocking(() -> {
                    cache.write(completeList);
                    return cost;
                }));
        pendingWrite.onComplete(result -> onWritten(result.cause()));
    }

    private void onWritten(Throwable failure) {
        pendingWrite = null;
        if (failure != null) {
            LOG.atWarn()
                    .addKeyValue("cause", failure.getMessage())
                    .log("the endpoint list cache can't be written; a restart may begin with an older list");
        }
        if (changedWhileWriting) {
            changedWhileWriting = false;
            writeCache();
        }
    }
}
