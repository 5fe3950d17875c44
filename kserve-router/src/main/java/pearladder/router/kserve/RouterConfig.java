package pearladder.router.kserve;

import java.nio.file.Path;
import java.util.List;
import pearladder.eventlog.RetentionSettings;
import pearladder.kserve.Route;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;

/**
 * A router's configuration, read once at its start.
 *
 * @param name name of this router, unique among all routers
 * @param host address to listen on
 * @param port to listen on; 0 for one that the system chooses
 * @param dataDirectory directory of the endpoint list cache, the rollout journal, the snapshot and the event log
 * @param admin address of the admin server, or null for none
 * @param peers admin servers of the other routers, from which rollout targets are synced; none for a router alone
 * @param discovery the discovery service
 * @param routingSettings settings of the routing policy
 * @param models the models that requests may name
 * @param limits on requests, responses and client connections
 * @param connections to workers
 * @param drainTimeout time from the beginning of a stop until requests in flight are failed
 * @param retention retention of the event log, or null for no event log
 */
public record RouterConfig(
        String name,
        String host,
        int port,
        Path dataDirectory,
        Address admin,
        List<Address> peers,
        DiscoveryService discovery,
        RoutingSettings routingSettings,
        List<ModelSettings> models,
        Limits limits,
        Connections connections,
        TimeSpan drainTimeout,
        RetentionSettings retention) {
    /** A network address; port 0, for one that this router listens on, lets the system choose. */
    public record Address(String host, int port) {}

    /**
     * The discovery service.
     *
     * @param silenceTimeout time after which a connection without received data counts as broken
     */
    public record DiscoveryService(String host, int port, TimeSpan silenceTimeout) {}

    /**
     * A group of models.
     *
     * @param pattern a model's name, or a prefix followed by "*"
     * @param concurrency requests that a loaded instance executes at once
     * @param memoryMb memory of an instance, in MB
     * @param typicalLoadTime typical load time; null where it is not known
     * @param requestClass request class of requests that name none, or null
     */
    public record ModelSettings(
            String pattern, int concurrency, double memoryMb, TimeSpan typicalLoadTime, String requestClass) {
        boolean matches(String model) {
            return Route.matches(pattern, model);
        }
    }

    /**
     * Limits on requests, responses and client connections.
     *
     * @param maxRequestBytes maximum length of a request's body, in bytes
     * @param maxResponseBytes maximum length of a worker's response, in bytes
     * @param maxRequestsInFlight maximum number of requests in flight
     * @param bodyTimeout time after which a request with an incomplete body is refused
     * @param idleTimeout time after which a client connection on which nothing was sent is closed
     */
    public record Limits(
            long maxRequestBytes,
            long maxResponseBytes,
            int maxRequestsInFlight,
            TimeSpan bodyTimeout,
            TimeSpan idleTimeout) {}

    /**
     * Connections to one worker.
     *
     * @param maxPerWorker maximum number of concurrent connections
     * @param connectTimeout maximum time to acquire a connection, from the pool or newly established
     * @param idleTimeout time after which an unused connection is closed
     */
    public record Connections(int maxPerWorker, TimeSpan connectTimeout, TimeSpan idleTimeout) {}

    /** Returns the settings of the first pattern that matches a model; null where none does. */
    public ModelSettings modelSettings(String model) {
        for (ModelSettings candidate : models) {
            if (candidate.matches(model)) {
                return candidate;
            }
        }
        return null;
    }

    /** Returns the request class with a name; null where there is none. */
    public RoutingSettings.RequestClass requestClass(String requestClass) {
        return routingSettings.requestClasses().stream()
                .filter(candidate -> candidate.name().equals(requestClass))
                .findFirst()
                .orElse(null);
    }
}
