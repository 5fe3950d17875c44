package pearladder.testbed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The load balancer in front of the routers: spreads clients round robin over the routers of their zone, and goes on
 * sending to a dead one until it notices. Routers are added before the first request; after that it is thread-safe.
 */
public final class ClientLoadBalancer {
    /** A router as clients reach it. */
    public record Target(String router, int port) {}

    private static final long ALIVE = -1;

    private static final class Backend {
        private final Target target;
        private final String zone;
        /** Nanoseconds, or {@link #ALIVE}. */
        private volatile long diedAt = ALIVE;

        Backend(Target target, String zone) {
            this.target = target;
            this.zone = zone;
        }
    }

    private final long lag;
    private final Map<String, Backend> byName = new HashMap<>();
    private final List<Backend> backends = new ArrayList<>();
    private long turn;

    /**
     * Creates a load balancer without routers.
     *
     * @param lag nanoseconds until it notices that a router died
     */
    public ClientLoadBalancer(long lag) {
        this.lag = lag;
    }

    /** Adds a router that is alive. */
    public void add(String router, String zone, int port) {
        Backend backend = new Backend(new Target(router, port), zone);
        byName.put(router, backend);
        backends.add(backend);
    }

    /** A router died at a moment, in nanoseconds. */
    public void markDead(String router, long now) {
        byName.get(router).diedAt = now;
    }

    /** A router that had died is alive again. */
    public void markAlive(String router) {
        byName.get(router).diedAt = ALIVE;
    }

    /** The next router for a client of a zone: one of its zone, else any, else one that is known to be dead. */
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
        throw new IllegalStateException("no router");
    }

    private boolean isUsable(Backend backend, long now) {
        return backend.diedAt < 0 || now - backend.diedAt < lag;
    }
}
