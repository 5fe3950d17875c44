package pearladder.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import pearladder.config.YamlParser;
import pearladder.emulator.FaultCommand;
import pearladder.emulator.FaultType;
import pearladder.emulator.Observation;
import pearladder.emulator.VirtualTimeline;
import pearladder.rollout.RolloutTarget;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.RoutingSettings;
import pearladder.testbed.ClientLoadBalancer;
import pearladder.testbed.FaultInjector;
import pearladder.testbed.InvariantChecker;
import pearladder.testbed.LoadGenerator;
import pearladder.testbed.LoadStatistics;
import pearladder.testbed.RolloutScript;
import pearladder.testbed.ScenarioPlan;
import pearladder.testbed.SyntheticWorkload;
import pearladder.testbed.TraceWorkload;

/**
 * One single-threaded run of a scenario in virtual time. The same script and seed give the same events on any machine.
 */
public final class Simulation {
    /** Creates the policy of a router. */
    public interface PolicyFactory {
        /** Creates a policy with these settings that derives all its random draws from the seed. */
        RoutingPolicy create(long seed, RoutingSettings settings);
    }

    /**
     * Result of a run.
     *
     * @param digest digest of all observations in their order
     * @param credit share of the attainable credit that the clients got, 0 to 1
     * @param worstWindowCredit credit of the worst window
     * @param requests number of requests that clients sent
     * @param loads number of loads that ended
     * @param p50Millis median latency in milliseconds
     * @param p99Millis 99th percentile of the latency in milliseconds
     * @param events number of tasks that the virtual clock ran
     * @param decisions number of routing decisions by all routers
     * @param decisionNanos wall-clock time of the routing decisions, in nanoseconds
     * @param endpointsSent number of endpoint-list entries sent to routers
     * @param wallSeconds wall-clock time of the run, in seconds
     * @param table lines of the human-readable report
     * @param verdict verdict of the invariant checker
     * @param failures missed expectations and errors during the run
     */
    public record Result(
            String digest,
            double credit,
            double worstWindowCredit,
            long requests,
            long loads,
            double p50Millis,
            double p99Millis,
            long events,
            long decisions,
            long decisionNanos,
            long endpointsSent,
            double wallSeconds,
            List<String> table,
            InvariantChecker.Verdict verdict,
            List<String> failures) {
        /** Returns whether no invariant was violated, no expectation was missed and no error occurred. */
        public boolean passed() {
            return verdict.violations().isEmpty() && failures.isEmpty();
        }
    }

    /** Initial virtual time; positive, so that times before the scenario's start can be represented. */
    private static final long EPOCH_NANOS = 1_000_000_000_000L;

    private static final long SECOND_NANOS = 1_000_000_000L;
    /** Time from the start of the routers to that of the scenario, and from the last response to the end of the run. */
    private static final long SETTLING_NANOS = SECOND_NANOS;
    /** Time after the scenario's end within which all clients must have finished. */
    private static final long CLIENTS_END_TIMEOUT_NANOS = 60 * SECOND_NANOS;

    private static final long PROGRESS_INTERVAL_NANOS = 10 * SECOND_NANOS;
    private static final YAMLMapper YAML = new YAMLMapper();

    private final ScenarioPlan plan;
    private final TraceWorkload trace;
    private final PrintStream progress;
    private final VirtualTimeline time = new VirtualTimeline();
    private final ObservationRecorder recorder = new ObservationRecorder();
    private final LoadStatistics statistics = new LoadStatistics();
    private final RouterLogs routerLogs = new RouterLogs(time);
    private final RolloutScript rolloutScript = new RolloutScript(null);
    private final List<String> faults = new ArrayList<>();
    private final SimulatedFleet fleet;
    private final SimulatedRouters routers;
    private final ClientLoadBalancer loadBalancer;
    private final LoadGenerator clients;
    private long startedAt;
    private boolean clientsEnded;

    private Simulation(
            JsonNode script,
            ScenarioPlan plan,
            TraceWorkload trace,
            PolicyFactory policyFactory,
            PrintStream progress) {
        this.plan = plan;
        this.trace = trace;
        this.progress = progress;
        this.loadBalancer = new ClientLoadBalancer(plan.clients().loadBalancerLag());
        time.advanceTo(EPOCH_NANOS);
        this.fleet = new SimulatedFleet(time, plan.fleet(), plan.network().delay(), recorder);
        this.routers = new SimulatedRouters(plan, script, policyFactory, time, fleet, routerLogs);
        this.clients = new LoadGenerator(
                time,
                this::send,
                plan,
                0,
                trace != null ? trace : new SyntheticWorkload(plan),
                loadBalancer,
                statistics,
                recorder);
        fleet.onDiscoveryReset(routers::resetDiscovery);
    }

    /**
     * Runs a scenario.
     *
     * @param script the scenario's script as YAML
     * @param name name of the script in error messages
     * @param out folder for the results; null writes none
     * @param progress receives progress lines; null prints none
     */
    public static Result run(JsonNode script, String name, PolicyFactory policyFactory, Path out, PrintStream progress)
            throws IOException {
        return run(script, name, null, policyFactory, out, progress);
    }

    /**
     * Runs a scenario, optionally with the requests of a trace instead of the script's traffic.
     *
     * @param trace replay settings of the trace; null uses the script's traffic
     */
    public static Result run(
            JsonNode script,
            String name,
            TraceWorkload.ReplaySettings trace,
            PolicyFactory policyFactory,
            Path out,
            PrintStream progress)
            throws IOException {
        ScenarioPlan plan = ScenarioPlan.read(YamlParser.parse(name, YAML.writeValueAsString(script)));
        if (trace == null) {
            return new Simulation(script, plan, null, policyFactory, progress).run(out);
        }
        try (TraceWorkload workload = new TraceWorkload(trace, plan, out)) {
            return new Simulation(script, plan, workload, policyFactory, progress).run(out);
        }
    }

    private Result run(Path out) throws IOException {
        long wallStart = System.nanoTime();
        startRouters();
        startedAt = time.now() + SETTLING_NANOS;
        routerLogs.setOrigin(startedAt);
        time.at(startedAt, () -> clients.start(startedAt, () -> clientsEnded = true));
        FaultInjector faultInjector = new FaultInjector(plan, new RouterAndFleetFaults());
        time.at(startedAt, () -> injectFaults(faultInjector));
        runClients(wallStart);
        // Observe events that arrive late, after the last response.
        time.advanceTo(time.now() + SETTLING_NANOS);
        return new SimulationReport(
                        plan,
                        statistics,
                        recorder,
                        routers,
                        trace,
                        routerLogs,
                        startedAt,
                        time.now(),
                        time.executedTasks(),
                        secondsSince(wallStart),
                        faults)
                .write(out);
    }

    private void startRouters() throws IOException {
        for (int number = 0; number < plan.routers(); number++) {
            SimulatedHost host = routers.addHost(number);
            loadBalancer.add(host.name, host.zone, number);
        }
        routers.hosts().forEach(SimulatedHost::start);
    }

    private void runClients(long wallStart) {
        long latestEnd = trace != null ? Long.MAX_VALUE : startedAt + plan.duration() + CLIENTS_END_TIMEOUT_NANOS;
        for (long at = startedAt; !clientsEnded && at < latestEnd; at += SECOND_NANOS) {
            time.advanceTo(at);
            if (progress != null && (at - startedAt) % PROGRESS_INTERVAL_NANOS == 0 && at > startedAt) {
                reportProgress(at, wallStart);
            }
        }
        if (!clientsEnded) {
            faults.add("the clients did not end in time");
        }
    }

    private void reportProgress(long at, long wallStart) {
        progress.println(String.format(
                Locale.ROOT,
                "  %4.0f s: %d requests ended, credit %.3f; %d events, %.1f s wall-clock time",
                (at - startedAt) / 1e9,
                statistics.requests(),
                statistics.credit(),
                time.executedTasks(),
                secondsSince(wallStart)));
    }

    private static double secondsSince(long wallStart) {
        return (System.nanoTime() - wallStart) / 1e9;
    }

    private void injectFaults(FaultInjector faultInjector) {
        long next = faultInjector.runDue(time.now() - startedAt);
        if (next >= 0) {
            time.at(startedAt + next, () -> injectFaults(faultInjector));
        }
    }

    private LoadGenerator.RequestTransport.SentRequest send(
            LoadGenerator.Request request, LoadGenerator.ResponseListener client) {
        SimulatedRouter router = routers.host(request.target().router()).router();
        if (router == null) {
            time.after(2 * plan.network().delay(), () -> client.onNoAnswer("unreachable"));
            return () -> {};
        }
        return router.receive(request, client);
    }

    /** Injects the scenario's faults into the simulated routers, workers and clients. */
    private final class RouterAndFleetFaults implements FaultInjector.FaultTarget {
        private final Map<String, Long> pausedSince = new HashMap<>();

        @Override
        public List<String> runningWorkers(String zone) {
            return fleet.inService(zone);
        }

        @Override
        public List<String> routers(String zone) {
            return routers.namesInZone(zone);
        }

        @Override
        public void commandWorkers(String faultName, List<String> workers, String model, double value) {
            FaultType type = FaultType.of(faultName)
                    .orElseThrow(() -> new IllegalArgumentException("unknown fault " + faultName));
            fleet.apply(new FaultCommand(type, workers, model, value));
        }

        @Override
        public void killRouter(String router) {
            recorder.accept(new Observation(time.now(), Observation.KILLED, router, "", 0, "", "", "", 0));
            routers.host(router).kill();
            loadBalancer.markDead(router, time.now());
        }

        @Override
        public void startRouter(String router) {
            if (routers.host(router).router() != null) {
                return;
            }
            time.after(plan.network().routerStart(), () -> {
                routers.host(router).start();
                recorder.accept(new Observation(time.now(), Observation.STARTED, router, "", 0, "", "", "", 0));
                loadBalancer.markAlive(router);
            });
        }

        @Override
        public void injectIntoRouters(ScenarioPlan.FaultKind kind, List<String> names, double value) {
            for (String name : names) {
                SimulatedRouter router = routers.host(name).router();
                if (router == null) {
                    continue;
                }
                if (kind == ScenarioPlan.FaultKind.ROUTERS_PAUSED) {
                    setPaused(name, router, value > 0);
                } else if (value > 0) {
                    router.jumpClock(Math.round(value * SECOND_NANOS));
                }
            }
        }

        private void setPaused(String name, SimulatedRouter router, boolean on) {
            if (on) {
                pausedSince.putIfAbsent(name, time.now());
            } else if (pausedSince.containsKey(name)) {
                long since = pausedSince.remove(name);
                long pausedNanos = time.now() - since;
                recorder.accept(
                        new Observation(since, Observation.PROCESS_PAUSED, name, "", 0, "", "", "", pausedNanos));
            }
            router.setPaused(on);
        }

        @Override
        public void ignoreRetryAfter(boolean on) {
            clients.ignoreRetryAfter(on);
        }

        @Override
        public void giveRolloutOrder(RolloutScript.Order order) {
            List<RolloutTarget> targets = rolloutScript.nextTargets(order);
            for (SimulatedHost host : routers.hosts()) {
                if (host.router() != null) {
                    host.router().order(targets, refusals -> addRefusal(host.name, refusals));
                }
            }
        }

        private void addRefusal(String router, List<String> refusals) {
            refusals.stream()
                    .filter(refusal -> !refusal.isEmpty())
                    .findFirst()
                    .ifPresent(refusal -> faults.add(router + ": " + refusal));
        }

        @Override
        public void report(String description) {
            recorder.accept(new Observation(time.now(), Observation.FAULT_INJECTED, "", "", 0, "", "", description, 0));
            if (progress != null) {
                double seconds = (time.now() - startedAt) / 1e9;
                progress.println(String.format(Locale.ROOT, "  %4.0f s: %s", seconds, description));
            }
        }
    }
}
