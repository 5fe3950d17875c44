package pearladder.connections;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Shares out the sockets of a router. Clients and workers have a part each, so that neither starves the other. Calls share
 * a connection to a worker only where no further one may be opened: a spoilt answer ends all that is out on its connection.
 */
public final class ConnectionManager {
    /**
     * How many sockets there are, and how long connections are borne with.
     *
     * @param seats clients' connections at the most
     * @param links connections to workers at the most, all of them together
     * @param streams calls out on one connection at the most
     * @param silent a client without a whole message for so long after connecting, inside a message or without reading
     * @param idle a link that was unused for so long is closed before its worker does it, in the middle of a send
     */
    public record Holding(int seats, int links, int streams, TimeSpan silent, TimeSpan idle) {
        private static final int RESERVED = 8; // a part of so many for sockets just accepted or closing
        private static final int LEAST = 16;
        private static final TimeSpan SILENT = TimeSpan.millis(2000);
        private static final double IDLE = 0.5; // of what workers bear with

        /**
         * Clients and workers get half each of what is left.
         *
         * @param descriptors that the process may hold
         * @param own those that it holds for itself
         * @param idle workers close a connection that was unused for so long
         */
        public static Holding of(int descriptors, int own, int streams, TimeSpan idle) {
            int free = Math.max(2 * LEAST, descriptors - own - descriptors / RESERVED);
            return new Holding(free / 2, free - free / 2, streams, SILENT, idle.times(IDLE));
        }
    }

    private static final int UNUSABLE = 16; // messages that can't be used before their client is closed

    private final Holding holding;
    private final Set<ClientConnectionState> seats = new LinkedHashSet<>();
    private final Set<WorkerConnectionState> links = new LinkedHashSet<>();

    public ConnectionManager(Holding holding) {
        this.holding = holding;
    }

    public List<ConnectionAction> on(MonotonicTime now, ConnectionEvent event) {
        List<ConnectionAction> todo = new ArrayList<>();
        if (event instanceof ConnectionEvent.SeatTaken taken) {
            seats.add(taken.seat());
            if (seats.size() > holding.seats()) {
                closeSeat(leastMissed(taken.seat()), "too many connections", todo);
            }
        } else if (event instanceof ConnectionEvent.SeatLeft left) {
            seats.remove(left.seat());
        } else if (event instanceof ConnectionEvent.LinkGone gone) {
            links.remove(gone.link());
        } else if (event instanceof ConnectionEvent.LinkWanted wanted) {
            choose(now, wanted, todo);
        } else if (event instanceof ConnectionEvent.Beat) {
            List.copyOf(seats).forEach(seat -> judge(now, seat, todo));
            List.copyOf(links).stream()
                    .filter(link -> unused(link) && now.since(link.used).isLongerThan(holding.idle()))
                    .forEach(link -> closeLink(link, todo));
        }
        return todo;
    }

    // ---- clients

    private void judge(MonotonicTime now, ClientConnectionState seat, List<ConnectionAction> todo) {
        if (seat.spoke == null && now.since(seat.came).isLongerThan(holding.silent())) {
            closeSeat(seat, "nothing whole was said", todo);
        } else if (seat.partSince != null && now.since(seat.partSince).isLongerThan(holding.silent())) {
            closeSeat(seat, "a message stays unfinished", todo);
        } else if (seat.stuckSince != null && now.since(seat.stuckSince).isLongerThan(holding.silent())) {
            closeSeat(seat, "answers are not read", todo);
        } else if (seat.unusable >= UNUSABLE) {
            closeSeat(seat, "too much that can't be used", todo);
        }
    }

    /** One that never said anything, the oldest first; else one without calls, the longest unused; else the newcomer. */
    private ClientConnectionState leastMissed(ClientConnectionState newcomer) {
        ClientConnectionState idle = null;
        for (ClientConnectionState seat : seats) {
            if (seat.spoke == null && seat != newcomer) {
                return seat;
            }
            if (seat.callsOpen == 0 && seat.spoke != null && (idle == null || seat.spoke.isBefore(idle.spoke))) {
                idle = seat;
            }
        }
        return idle != null ? idle : newcomer;
    }

    private void closeSeat(ClientConnectionState seat, String why, List<ConnectionAction> todo) {
        seats.remove(seat);
        todo.add(new ConnectionAction.CloseSeat(seat, why));
    }

    // ---- workers

    private void choose(MonotonicTime now, ConnectionEvent.LinkWanted wanted, List<ConnectionAction> todo) {
        WorkerConnectionState free = null;
        WorkerConnectionState shared = null;
        for (WorkerConnectionState link : wanted.links()) {
            if (link.doubted || wanted.avoided().contains(link) || !links.contains(link)) {
                continue;
            }
            if (link.up && link.out == 0 && (free == null || free.used.isBefore(link.used))) {
                free = link;
            } else if (link.out < holding.streams() && (shared == null || link.out < shared.out)) {
                shared = link;
            }
        }
        if (free != null) {
            todo.add(new ConnectionAction.UseLink(free));
            return;
        }
        WorkerConnectionState spare = links.size() < holding.links() ? null : spare(wanted.links(), shared != null);
        if (links.size() < holding.links() || spare != null) {
            if (spare != null) {
                closeLink(spare, todo);
            }
            WorkerConnectionState link = new WorkerConnectionState(wanted.worker(), now);
            links.add(link);
            todo.add(new ConnectionAction.OpenLink(link));
        } else if (shared != null) {
            todo.add(new ConnectionAction.UseLink(shared));
        }
    }

    /** Whether its socket can be had back by closing it: one that is still being opened stays until it is up or has failed. */
    private static boolean unused(WorkerConnectionState link) {
        return link.up && link.out == 0;
    }

    /** A link that nothing is out on; not one of another worker's where there is one to share. */
    private WorkerConnectionState spare(Collection<WorkerConnectionState> own, boolean ownOnly) {
        WorkerConnectionState spare = null;
        for (WorkerConnectionState link : links) {
            if (unused(link) && (!ownOnly || own.contains(link)) && (spare == null || link.used.isBefore(spare.used))) {
                spare = link;
            }
        }
        return spare;
    }

    private void closeLink(WorkerConnectionState link, List<ConnectionAction> todo) {
        links.remove(link);
        todo.add(new ConnectionAction.CloseLink(link));
    }
}
