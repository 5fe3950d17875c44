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

/** A link to each engine that the list has, and the last list on disk. */
final class WorkerRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerRegistry.class);

    /** Bytes of an entry, about. */
    private static final double ENTRY = 150;

    private final Vertx vertx;
    private final BackgroundWork work;
    private final RouterConfig.Connections connections;
    private final EndpointListCache lastList;
    private final Map<String, WorkerConnectionPool> links = new HashMap<>();
    private final EndpointList list =
            new EndpointList(System.currentTimeMillis() * 1_000_000L - System.nanoTime(), this::came, this::retire);
    private boolean unwritten;
    private Future<Void> writing;

    WorkerRegistry(Vertx vertx, RouterConfig articles, BackgroundWork work) {
        this.vertx = vertx;
        this.work = work;
        this.connections = articles.connections();
        this.lastList = new EndpointListCache(articles.data());
    }

    /** The list that was last written, as the first event; an empty one where there is none. */
    Event.EndpointsUpdated remembered() {
        return list.restore(lastList.read());
    }

    /** Follows a line of the list service, and has the list written; what the line says, for the module. */
    Event.EndpointsUpdated follow(DiscoveryMessage line) {
        Event.EndpointsUpdated told = list.apply(line);
        write();
        return told;
    }

    /** Whether any list is known. */
    boolean known() {
        return list.known();
    }

    int size() {
        return list.size();
    }

    /** The link to an engine, or null where none is listed under that name. */
    WorkerConnectionPool link(String engine) {
        return links.get(engine);
    }

    private void came(DiscoveryMessage.Entry entry) {
        WorkerConnectionPool link = links.get(entry.engine());
        if (link == null || link.port != entry.port() || !link.host.equals(entry.host())) {
            retire(entry.engine());
            links.put(entry.engine(), new WorkerConnectionPool(vertx, entry.host(), entry.port(), connections));
        }
    }

    private void retire(String engine) {
        WorkerConnectionPool link = links.remove(engine);
        if (link != null) {
            link.retire();
        }
    }

    /** Has the list written, one writing at a time; what changed meanwhile is written after it. */
    private void write() {
        if (writing != null) {
            unwritten = true;
            return;
        }
        DiscoveryMessage whole = list.whole();
        ResourceCost cost = new ResourceCost(0, whole.entries().size() * ENTRY, 0);
        writing = work.ask(
                JobClasses.FLUSH,
                "",
                cost,
                null,
                () -> vertx.executeBlocking(() -> {
                    lastList.write(whole);
                    return cost;
                }));
        writing.onComplete(end -> {
            writing = null;
            if (end.failed()) {
                LOG.atWarn()
                        .addKeyValue("cause", end.cause().getMessage())
                        .log("the last list can't be written; a restart may know an older one");
            }
            if (unwritten) {
                unwritten = false;
                write();
            }
        });
    }
}
