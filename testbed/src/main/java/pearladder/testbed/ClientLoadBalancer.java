package pearladder.testbed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The plain front layer: spreads clients over the routers of their hall, and goes on feeding a dead one for a while. */
public final class ClientLoadBalancer {
    /** A router as the front layer sees it. */
    public record Target(String router, int port) {}

    private static final class Seat {
        final Target target;
        final String hall;
        volatile long deadSince = -1;

        Seat(Target target, String hall) {
            this.target = target;
            this.hall = hall;
        }
    }

    private final long lag;
    private final Map<String, Seat> byName = new HashMap<>();
    private final List<Seat> seats = new ArrayList<>();
    private long turn;

    public ClientLoadBalancer(long lag) {
        this.lag = lag;
    }

    public void add(String router, String hall, int port) {
        Seat seat = new Seat(new Target(router, port), hall);
        byName.put(router, seat);
        seats.add(seat);
    }

    public void died(String router, long now) {
        byName.get(router).deadSince = now;
    }

    public void back(String router) {
        byName.get(router).deadSince = -1;
    }

    /** The next router for a client of a hall: one of its hall, else any, else one that is known to be dead. */
    public synchronized Target next(String hall, long now) {
        int near = 0;
        int fed = 0;
        for (Seat seat : seats) {
            fed += fed(seat, now) ? 1 : 0;
            near += fed(seat, now) && seat.hall.equals(hall) ? 1 : 0;
        }
        int at = (int) (turn++ % (near > 0 ? near : fed > 0 ? fed : seats.size()));
        for (Seat seat : seats) {
            boolean counts = fed == 0 || fed(seat, now) && (near == 0 || seat.hall.equals(hall));
            if (counts && at-- == 0) {
                return seat.target;
            }
        }
        throw new IllegalStateException("no router");
    }

    private boolean fed(Seat seat, long now) {
        return seat.deadSince < 0 || now - seat.deadSince < lag;
    }
}
