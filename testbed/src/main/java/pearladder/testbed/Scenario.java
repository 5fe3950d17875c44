package pearladder.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import pearladder.emulator.Observation;
import pearladder.emulator.ObservationLog;

/**
 * Runs one scenario with real processes on loopback: starts the workers and the routers, sends the load, injects the
 * faults, and evaluates what was observed.
 */
public final class Scenario {
    /**
     * The result of a scenario.
     *
     * @param credit earned share of the total priority weight of the requests, 0 to 1
     * @param worstWindow lowest such share in any ten seconds
     * @param requests number of completed requests
     * @param table human-readable lines
     * @param faults problems other than invariant violations
     */
    public record Result(
            double credit,
            double worstWindow,
            long requests,
            List<String> table,
            InvariantChecker.Verdict verdict,
            List<String> faults) {
        /** Returns whether there are neither invariant violations nor other faults. */
        public boolean isClean() {
            return verdict.violations().isEmpty() && faults.isEmpty();
        }
    }

    private static final String WORKERS = "engines";
    /** Delay from the end of the warm-up to the start of the scenario. */
    private static final long START_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private static final long PROGRESS_INTERVAL_SECONDS = 5;
    /** How long after the end of the scenario its last requests may complete. */
    private static final long COMPLETION_TIMEOUT_MILLIS = 60_000;

    private static final long MIN_FAULT_WAIT_NANOS = 1_000_000;
    private static final long MAX_FAULT_WAIT_NANOS = 50_000_000;

    private final ScenarioPlan plan;
    private final Path script;
    private final Path folder;
    private final ChildProcesses processes;
    private final List<String> routerArguments;
    private final PrintStream progress;
    private final LoopbackHttpClient http = new LoopbackHttpClient();
    /** Injecting a fault can block while processes start; a dedicated single thread keeps the faults in order. */
    private final ExecutorService faultThread = Executors.newSingleThreadExecutor(Scenario::daemonThread);

    private final List<String> faults = Collections.synchronizedList(new ArrayList<>());
    private final ClientLoadBalancer loadBalancer;
    private final LoadStatistics statistics = new LoadStatistics();
    private final RouterUsage routerUsage = new RouterUsage(() -> this.routers.metrics());
    private final RolloutScript rolloutScript = new RolloutScript(http);
    private ObservationLog observations;
    private RouterProcesses routers;
    private WorkerControl workers;
    private LoadGeneratorPool clients;
    private TraceWorkload trace;
    private int discoveryPort;
    private volatile long startedAt;

    private Scenario(
            Path script, Path folder, List<String> program, List<String> routerArguments, PrintStream progress) {
        this.plan = ScenarioPlan.read(script);
        this.script = script;
        this.folder = folder;
        boolean oversubscribed = plan.routers() * 2 > Runtime.getRuntime().availableProcessors();
        this.processes = new ChildProcesses(program, folder, oversubscribed);
        this.routerArguments = routerArguments;
        this.progress = progress;
        this.loadBalancer = new ClientLoadBalancer(plan.clients().loadBalancerLag());
    }

    static Thread daemonThread(Runnable run) {
        Thread thread = new Thread(run, "scenario");
        thread.setDaemon(true);
        return thread;
    }

    /** Creates an observation of this process at the current time. */
    static Observation observation(String event, String router, String note) {
        return new Observation(System.nanoTime(), event, router, "", 0, "", "", note, 0);
    }

    /** Validates a script; throws {@link pearladder.config.ConfigErrors.ConfigException} with every error in it. */
    public static void check(Path script) {
        ScenarioPlan.read(script);
    }

    /**
     * Runs a scenario with the synthetic workload that its script describes.
     *
     * @param folder receives the observation logs, the processes' files and logs, and the table
     * @param program the command that runs this program
     * @param routerArguments additional command-line arguments of the routers
     * @param progress receives progress lines
     */
    public static Result run(
            Path script, Path folder, List<String> program, List<String> routerArguments, PrintStream progress)
            throws IOException, InterruptedException {
        return run(script, null, folder, program, routerArguments, progress);
    }

    /** Runs a scenario with the requests of a trace; the script's flows then only assign request class and tenant. */
    public static Result run(
            Path script,
            TraceWorkload.ReplaySettings trace,
            Path folder,
            List<String> program,
            List<String> routerArguments,
            PrintStream progress)
            throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Scenario scenario = new Scenario(script, folder, program, routerArguments, progress);
        scenario.trace = trace == null ? null : new TraceWorkload(trace, scenario.plan, folder);
        try {
            return scenario.run();
        } finally {
            scenario.close();
        }
    }

    private void close() {
        faultThread.shutdownNow();
        if (routers != null) {
            routers.close();
        }
        processes.close();
        if (trace != null) {
            trace.close();
        }
    }

    private Result run() throws IOException, InterruptedException {
        requireNoSimulatedFaults();
        JsonNode document = new YAMLMapper().readTree(script.toFile());
        startWorkers(document.get("fleet"));
        observations = new ObservationLog(folder.resolve(ScenarioEvaluation.CLIENT_LOG));
        routers = new RouterProcesses(plan, folder, processes, routerArguments, http, observations);
        routers.startAll(document.get("router"), discoveryPort);
        for (String name : routers.names()) {
            loadBalancer.add(name, routers.zone(name), routers.port(name));
        }
        printExampleRequest();
        double seconds = sendLoad();
        faults.addAll(routers.stopAll());
        processes.stop(WORKERS);
        observations.close();
        return new ScenarioEvaluation(plan, folder, statistics, faults)
                .evaluate(new ScenarioEvaluation.Run(startedAt, seconds, routerUsage.lines(), trace));
    }

    private void requireNoSimulatedFaults() throws IOException {
        for (ScenarioPlan.Fault fault : plan.faults()) {
            if (fault.kind().isSimulatedOnly()) {
                throw new IOException(script + ": the trouble "
                        + fault.kind().code()
                        + " is only rehearsed; use pearladder rehearse, or take it out");
            }
        }
    }

    private void startWorkers(JsonNode fleetSection) throws IOException {
        Path file = folder.resolve("fleet.yaml");
        ObjectNode fleet = new YAMLMapper().createObjectNode();
        fleet.set("fleet", fleetSection);
        new YAMLMapper().writeValue(file.toFile(), fleet);
        String log = folder.resolve(ScenarioEvaluation.WORKER_LOG).toString();
        String line = processes.start(WORKERS, "engines", "-c", file.toString(), "--tape", log);
        discoveryPort = ChildProcesses.number(line, "list");
        workers = new WorkerControl(http, ChildProcesses.number(line, "control"), faults::add);
    }

    private void printExampleRequest() {
        int workerCount = plan.fleet().workers().size();
        progress.println("running: " + workerCount + " engines, " + plan.routers() + " routers; while it runs, try");
        ScenarioPlan.Flow flow = plan.flows().get(0);
        String tenantHeader = flow.tenant().isEmpty() ? "" : " -H 'pearladder-account: " + flow.tenant() + "'";
        progress.println("  curl -i http://127.0.0.1:" + routers.port("r1") + "/v2/models/" + flow.modelPrefix()
                + "0/infer -H 'pearladder-category: " + flow.requestClass() + "'" + tenantHeader
                + " -d '{\"inputs\":[]}'");
    }

    /** Sends the load while faults are injected; returns the duration in seconds. */
    private double sendLoad() throws InterruptedException {
        RequestSource source = trace != null ? trace : new SyntheticWorkload(plan);
        clients = new LoadGeneratorPool(plan, source, loadBalancer, statistics, observations);
        FaultInjector injector = new FaultInjector(plan, new ProcessFaults());
        clients.warmUp(routers.ports());
        startedAt = System.nanoTime() + START_DELAY_NANOS;
        clients.start(startedAt);
        faultThread.execute(() -> injectFaults(injector));
        awaitClients();
        double seconds = secondsSinceStart();
        clients.close();
        return seconds;
    }

    private void injectFaults(FaultInjector injector) {
        long next = injector.runDue(nanosSinceStart());
        while (next >= 0 && !Thread.currentThread().isInterrupted()) {
            long wait = Math.min(MAX_FAULT_WAIT_NANOS, next - nanosSinceStart());
            LockSupport.parkNanos(Math.max(MIN_FAULT_WAIT_NANOS, wait));
            next = injector.runDue(nanosSinceStart());
        }
    }

    private void awaitClients() throws InterruptedException {
        long remainingMillis = trace != null
                ? Long.MAX_VALUE
                : TimeUnit.NANOSECONDS.toMillis(plan.duration()) + COMPLETION_TIMEOUT_MILLIS;
        while (!clients.awaitEnd(PROGRESS_INTERVAL_SECONDS)) {
            routerUsage.sample();
            progress.println(String.format(
                    Locale.ROOT,
                    "  %4.0f s: %d calls ended, credit %.3f",
                    secondsSinceStart(),
                    statistics.requests(),
                    statistics.credit()));
            remainingMillis -= TimeUnit.SECONDS.toMillis(PROGRESS_INTERVAL_SECONDS);
            if (remainingMillis < 0) {
                faults.add("the clients did not end in time");
                return;
            }
        }
    }

    private long nanosSinceStart() {
        return System.nanoTime() - startedAt;
    }

    private double secondsSinceStart() {
        return nanosSinceStart() / 1e9;
    }

    /** Injects faults into the processes of this scenario. */
    private final class ProcessFaults implements FaultInjector.FaultTarget {
        @Override
        public List<String> runningWorkers(String zone) {
            return workers.running(zone);
        }

        @Override
        public List<String> routers(String zone) {
            return routers.names(zone);
        }

        @Override
        public void commandWorkers(String what, List<String> workerIds, String model, double figure) {
            workers.inject(what, workerIds, model, figure);
        }

        @Override
        public void killRouter(String router) {
            routers.kill(router);
            loadBalancer.markDead(router, System.nanoTime());
        }

        @Override
        public void startRouter(String router) {
            routers.startInBackground(router, () -> loadBalancer.markAlive(router), faults::add);
        }

        @Override
        public void injectIntoRouters(ScenarioPlan.FaultKind what, List<String> names, double figure) {
            throw new IllegalStateException(what + " is only rehearsed");
        }

        @Override
        public void ignoreRetryAfter(boolean on) {
            clients.ignoreRetryAfter(on);
        }

        /** A router that does not respond is not a fault: it learns the order from the others after its restart. */
        @Override
        public void giveRolloutOrder(RolloutScript.Order order) {
            rolloutScript.send(order, routers.adminPorts()).stream()
                    .filter(line -> !line.endsWith(RolloutScript.NO_ANSWER))
                    .forEach(faults::add);
        }

        @Override
        public void report(String what) {
            observations.accept(observation(Observation.FAULT_INJECTED, "", what));
            progress.println(String.format(Locale.ROOT, "  %4.0f s: %s", secondsSinceStart(), what));
        }
    }
}
