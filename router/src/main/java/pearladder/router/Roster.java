package pearladder.router;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.api.Event;
import pearladder.api.Moment;
import pearladder.kserve.ListLine;

/** The engines as the list has them, a link to each, and the last list on disk. */
final class Roster {
    private static final Logger LOG = LoggerFactory.getLogger(Roster.class);

    private final Vertx vertx;
    private final Articles.Connections connections;
    private final LastList lastList;
    private final Map<String, EngineLink> links = new HashMap<>();
    private final Map<String, ListLine.Entry> listed = new LinkedHashMap<>();
    /** Wall clock less monotonic clock at the start: fixed, so that a start told twice is the same moment. */
    private final long wallAhead = System.currentTimeMillis() * 1_000_000L - System.nanoTime();
    private long version;
    private boolean known;
    private boolean unwritten;
    private Future<Void> writing;

    Roster(Vertx vertx, Articles articles) {
        this.vertx = vertx;
        this.connections = articles.connections();
        this.lastList = new LastList(articles.data());
    }

    /** The list that was last written, as the first event; an empty one where there is none. */
    Event.Listed remembered() {
        ListLine remembered = lastList.read();
        if (remembered != null) {
            remembered.entries().forEach(this::learn);
            known = !listed.isEmpty();
        }
        return new Event.Listed(Event.ListKind.REMEMBERED, listed.values().stream().map(this::listing).toList());
    }

    /** Follows a line of the list service, and has the list written; what the line says, for the module. */
    Event.Listed follow(ListLine line) {
        boolean whole = line.kind() == ListLine.Kind.WHOLE;
        List<String> before = List.copyOf(listed.keySet());
        if (whole) {
            listed.clear();
        }
        line.entries().forEach(this::learn);
        if (whole) {
            before.stream().filter(engine -> !listed.containsKey(engine)).forEach(this::retire);
        }
        version = line.version();
        known = true;
        write();
        return new Event.Listed(whole ? Event.ListKind.WHOLE : Event.ListKind.CHANGES,
                new ArrayList<>(line.entries().stream().map(this::listing).toList()));
    }

    /** Whether any list is known. */
    boolean known() {
        return known;
    }

    int size() {
        return listed.size();
    }

    /** The link to an engine, or null where none is listed under that name. */
    EngineLink link(String engine) {
        return links.get(engine);
    }

    private void learn(ListLine.Entry entry) {
        if (entry.standing() == ListLine.Standing.GONE) {
            listed.remove(entry.engine());
            retire(entry.engine());
            return;
        }
        listed.put(entry.engine(), entry);
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

    private Event.Listing listing(ListLine.Entry entry) {
        Moment since = entry.startedMillis() == 0 ? null
                : new Moment(entry.startedMillis() * 1_000_000L - wallAhead);
        return new Event.Listing(entry.engine(), entry.hall(), entry.kind(), entry.cell(),
                Event.Standing.valueOf(entry.standing().name()), 1, since);
    }

    /** Writes the list off the event loop, one writing at a time; what changed meanwhile is written after it. */
    private void write() {
        if (writing != null) {
            unwritten = true;
            return;
        }
        ListLine whole = new ListLine(ListLine.Kind.WHOLE, version, List.copyOf(listed.values()));
        writing = vertx.executeBlocking(() -> {
            lastList.write(whole);
            return null;
        });
        writing.onComplete(end -> {
            writing = null;
            if (end.failed()) {
                LOG.atWarn().addKeyValue("cause", end.cause().getMessage())
                        .log("the last list can't be written; a restart may know an older one");
            }
            if (unwritten) {
                unwritten = false;
                write();
            }
        });
    }

    /** Done once nothing is being written. */
    Future<Void> written() {
        return writing == null ? Future.succeededFuture() : writing.otherwiseEmpty();
    }
}
