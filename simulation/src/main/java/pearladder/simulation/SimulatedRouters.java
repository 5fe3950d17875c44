package pearladder.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pearladder.config.YamlParser;
import pearladder.emulator.Timeline;
import pearladder.rollout.RolloutTarget;
import pearladder.router.kserve.RouterConfig;
import pearladder.router.kserve.RouterConfigParser;
import pearladder.routing.api.RoutingPolicy;
import pearladder.testbed.ScenarioPlan;

/** All routers of a scenario, each on its own host. */
final class SimulatedRouters {
    private static final YAMLMapper YAML = new YAMLMapper();
    /** Together with the router's stride, makes policy seeds differ by scenario, router and incarnation. */
    private static final long SCENARIO_SEED_STRIDE = 1_000_003;

    private static final long ROUTER_SEED_STRIDE = 1009;

    private final ScenarioPlan plan;
    private final JsonNode script;
    private final Simulation.PolicyFactory policyFactory;
    private final Timeline time;
    private final SimulatedFleet fleet;
    private final RouterLogs logs;
    private final Map<String, SimulatedHost> hosts = new LinkedHashMap<>();

    /** @param script script whose "router" section is the base of each router's configuration */
    SimulatedRouters(
            ScenarioPlan plan,
            JsonNode script,
            Simulation.PolicyFactory policyFactory,
            Timeline time,
            SimulatedFleet fleet,
            RouterLogs logs) {
        this.plan = plan;
        this.script = script;
        this.policyFactory = policyFactory;
        this.time = time;
        this.fleet = fleet;
        this.logs = logs;
    }

    /**
     * Adds a host without starting its router.
     *
     * @param number number of the router, from 0
     */
    SimulatedHost addHost(int number) throws IOException {
        String name = "r" + (number + 1);
        String zone = plan.zones().get(number % plan.zones().size());
        RouterConfig config = configOf(name, zone, number);
        RouterEnvironment environment =
                new RouterEnvironment(time, fleet, plan.network().delay(), text -> logs.add(name, text));
        SimulatedHost host =
                new SimulatedHost(name, zone, time, () -> targetsOfOtherRouters(name), (self, incarnation) -> {
                    long seed = plan.seed() * SCENARIO_SEED_STRIDE + number * ROUTER_SEED_STRIDE + incarnation;
                    RoutingPolicy policy = policyFactory.create(seed, config.routingSettings());
                    return new SimulatedRouter(self, config, policy, environment);
                });
        hosts.put(name, host);
        return host;
    }

    /** Builds a router's configuration and validates it with the router's own parser. */
    private RouterConfig configOf(String name, String zone, int number) throws IOException {
        ObjectNode file = script.get("router").deepCopy();
        ObjectNode router = file.withObject("/router");
        router.put("name", name)
                .put("listen", "127.0.0.1:0")
                .put("hall", zone)
                .put("number", number)
                .put("data", "none");
        if (!router.has("peers")) {
            router.put("peers", plan.routers());
        }
        file.withObject("/list").put("address", "127.0.0.1:1");
        return RouterConfigParser.read(YamlParser.parse(name, YAML.writeValueAsString(file)));
    }

    private List<RolloutTarget> targetsOfOtherRouters(String router) {
        List<RolloutTarget> targets = new ArrayList<>();
        for (SimulatedHost host : hosts.values()) {
            if (!host.name.equals(router) && host.router() != null) {
                targets.addAll(host.router().rolloutTargets());
            }
        }
        return targets;
    }

    SimulatedHost host(String router) {
        return hosts.get(router);
    }

    Collection<SimulatedHost> hosts() {
        return hosts.values();
    }

    /** Returns the names of the routers in a zone, or of all routers if the zone is empty. */
    List<String> namesInZone(String zone) {
        return hosts.values().stream()
                .filter(host -> zone.isEmpty() || host.zone.equals(zone))
                .map(host -> host.name)
                .toList();
    }

    /** Resets the connections of all routers to the discovery service. */
    void resetDiscovery() {
        for (SimulatedHost host : hosts.values()) {
            if (host.router() != null) {
                host.router().resetDiscovery();
            }
        }
    }

    /** Returns the number of routing decisions by all routers. */
    long decisions() {
        return hosts.values().stream().mapToLong(SimulatedHost::decisions).sum();
    }

    /** Returns the wall-clock time of all routing decisions. */
    long decisionNanos() {
        return hosts.values().stream().mapToLong(SimulatedHost::decisionNanos).sum();
    }
}
