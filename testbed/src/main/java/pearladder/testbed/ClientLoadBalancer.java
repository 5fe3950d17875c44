package pearladder.testbed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The load balancer in front of the routers: distributes requests round robin over the routers of the client's zone,
 * and keeps sending to a dead router until it has detected its death. Thread-safe once all routers are added.
 */
public final class ClientLoadBalancer {
    /** A router and the port on which clients reach it. */
    public record Target(String router, int port) {}

    private static final long ALIVE = -1;

    private static final class Backend {
        private final Target target;
        private final String zone;
        /** Time of death in nanoseconds, or {@link #ALIVE}. */
        private volatile long diedAt = ALIVE;

        Backend(Target target, String zone) {
            this.target = target;
            this.zone = zone;
        }
    }

    private final long failureDetectionNanos;
    private final Map<String, Backend> byName = new HashMap<>();
    private final List<Backend> backends = new ArrayList<>();
    private long turn;

    /**
     * Creates a load balancer without routers.
     *
     * @param failureDetectionNanos nanoseconds until the load balancer detects that a router died
     */
    public ClientLoadBalancer(long failureDetectionNanos) {
        this.failureDetectionNanos = failureDetectionNanos;
    }

    /** Adds a router that is alive. */
    public void add(String router, String zone, int port) {
        Backend backend = new Backend(new Target(router, port), zone);
        byName.put(router, backend);
        backends.add(backend);
    }

    /** Marks a router as dead since a point in time, in nanoseconds. */
    public void markDead(String router, long now) {
        byName.get(router).diedAt = now;
    }

    /** Marks a dead router as alive again. */
    public void markAlive(String router) {
        byName.get(router).diedAt = ALIVE;
    }

    /** Returns the next router for a client: one of its zone, else of any zone, else one that is known to be dead. */
    public synchronized Target next(String zone, long now) {
        int usable = 0;
        int usableInZone = 0;
        for (Backend backend : backends) {
            if (isUsable(backend, now)) {
                usable++;
                usableInZone += backend.zone.equals(zone) ? 1 : 0;
            }
        }
        int candidates = usableInZone > 0 ? usableInZone : usable > 0 ? usable : backends.size();
        int index = (int) (turn++ % candidates);
        for (Backend backend : backends) {
            boolean inZone = usableInZone == 0 || backend.zone.equals(zone);
            boolean candidate = usable == 0 || isUsable(backend, now) && inZone;
            if (candidate && index-- == 0) {
                return backend.target;
            }
        }
        throw new IllegalStateException("no router was added");
    }

    private boolean isUsable(Backend backend, long now) {
        return backend.diedAt < 0 || now - backend.diedAt < failureDetectionNanos;
    }
}
