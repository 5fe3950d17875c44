package pearladder.router.kserve;

import java.nio.file.Path;
import java.util.List;
import pearladder.eventlog.RetentionSettings;
import pearladder.kserve.Route;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;

/**
 * What a router is told in its file, once, at its start.
 *
 * @param name of this router, unique among them
 * @param host address to listen on
 * @param port to listen on; 0 lets the system give one
 * @param data folder for the last list and the orders on releases
 * @param admin where operators' orders come in, or null for nowhere
 * @param others the admin doors of the other routers, from which the newest orders are learnt; none for an operator alone
 * @param facts what the module is told
 * @param records how they are kept, or null for none
 */
public record RouterConfig(
        String name,
        String host,
        int port,
        Path data,
        Address admin,
        List<Address> others,
        ListService list,
        RoutingSettings facts,
        List<ModelTerms> models,
        Limits limits,
        Connections connections,
        TimeSpan stopWithin,
        RetentionSettings records) {
    /** An address; port 0, for one of this router's own, lets the system give one. */
    public record Address(String host, int port) {}

    /** Where the list of engines comes from; silence for longer than the span means that it is broken. */
    public record ListService(String host, int port, TimeSpan silence) {}

    /**
     * A family of models: a name, or its beginning with "*" behind it.
     *
     * @param lanes calls that a loaded copy runs at once
     * @param usualLoad null where it is not known
     * @param category of calls that name none, or null
     */
    public record ModelTerms(String pattern, int lanes, double memoryMb, TimeSpan usualLoad, String category) {
        boolean matches(String model) {
            return Route.matches(pattern, model);
        }
    }

    /**
     * What the router holds at the most.
     *
     * @param payload bytes of a call's body
     * @param answer bytes of an engine's answer
     * @param openCalls calls held at once
     * @param bodyWithin a call's body is in after so long, or the call is not taken
     * @param idle a client's connection without a byte for so long is closed
     */
    public record Limits(long payload, long answer, int openCalls, TimeSpan bodyWithin, TimeSpan idle) {}

    /** Connections to one engine: how many, how long to wait for one, and how long an idle one is kept. */
    public record Connections(int perEngine, TimeSpan dial, TimeSpan idle) {}

    /** The terms of a model, or null where it is not known; the first that matches counts. */
    public ModelTerms modelOf(String name) {
        for (ModelTerms model : models) {
            if (model.matches(name)) {
                return model;
            }
        }
        return null;
    }

    public RoutingSettings.RequestClass category(String name) {
        return facts.requestClasses().stream()
                .filter(c -> c.name().equals(name))
                .findFirst()
                .orElse(null);
    }
}
