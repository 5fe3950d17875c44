package pearladder.router;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.api.Event;
import pearladder.kserve.ListLine;
import pearladder.router.core.Articles;
import pearladder.router.core.EngineList;
import pearladder.work.Duties;
import pearladder.work.Load;

/** A link to each engine that the list has, and the last list on disk. */
final class Roster {
    private static final Logger LOG = LoggerFactory.getLogger(Roster.class);

    /** Bytes of an entry, about. */
    private static final double ENTRY = 150;

    private final Vertx vertx;
    private final BackgroundWork work;
    private final Articles.Connections connections;
    private final LastList lastList;
    private final Map<String, EngineLink> links = new HashMap<>();
    private final EngineList list =
            new EngineList(System.currentTimeMillis() * 1_000_000L - System.nanoTime(), this::came, this::retire);
    private boolean unwritten;
    private Future<Void> writing;

    Roster(Vertx vertx, Articles articles, BackgroundWork work) {
        this.vertx = vertx;
        this.work = work;
        this.connections = articles.connections();
        this.lastList = new LastList(articles.data());
    }

    /** The list that was last written, as the first event; an empty one where there is none. */
    Event.Listed remembered() {
        return list.remembered(lastList.read());
    }

    /** Follows a line of the list service, and has the list written; what the line says, for the module. */
    Event.Listed follow(ListLine line) {
        Event.Listed told = list.follow(line);
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
    EngineLink link(String engine) {
        return links.get(engine);
    }

    private void came(ListLine.Entry entry) {
        EngineLink link = links.get(entry.engine());
        if (link == null || link.port != entry.port() || !link.host.equals(entry.host())) {
            retire(entry.engine());
            links.put(entry.engine(), new EngineLink(vertx, entry.host(), entry.port(), connections));
        }
    }

    private void retire(String engine) {
        EngineLink link = links.remove(engine);
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
        ListLine whole = list.whole();
        Load cost = new Load(0, whole.entries().size() * ENTRY, 0);
        writing = work.ask(
                Duties.FLUSH,
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
