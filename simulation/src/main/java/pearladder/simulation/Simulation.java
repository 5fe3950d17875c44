package pearladder.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import pearladder.config.YamlParser;
import pearladder.emulator.FaultCommand;
import pearladder.emulator.Observation;
import pearladder.emulator.VirtualTimeline;
import pearladder.rollout.RolloutTarget;
import pearladder.router.core.RouterConfig;
import pearladder.router.core.RouterConfigParser;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.RoutingSettings;
import pearladder.testbed.ClientLoadBalancer;
import pearladder.testbed.FaultInjector;
import pearladder.testbed.InvariantChecker;
import pearladder.testbed.LoadGenerator;
import pearladder.testbed.LoadStatistics;
import pearladder.testbed.ReleaseScript;
import pearladder.testbed.Results;
import pearladder.testbed.ScenarioPlan;
import pearladder.testbed.SyntheticWorkload;
import pearladder.testbed.TraceWorkload;
import pearladder.testbed.VersionShares;

/** One day in virtual time, in one thread: the same script and seed give the same events, whatever the machine. */
public final class Simulation {
    /** Makes the module's instance of a router. */
    public interface Maker {
        RoutingPolicy make(long seed, RoutingSettings facts);
    }

    /**
     * What a rehearsal came to.
     *
     * @param digest of every event that was seen, in order
     * @param events that the clock went through
     * @param decisions of all routers, and the nanoseconds of this machine that they took
     * @param told entries of lists that routers were sent
     */
    public record Outcome(
            String digest,
            double credit,
            double worst,
            long calls,
            long loads,
            double p50,
            double p99,
            long events,
            long decisions,
            long decidedNanos,
            long told,
            double wallSeconds,
            List<String> table,
            InvariantChecker.Verdict verdict,
            List<String> faults) {
        /** Whether every rule and every expectation was kept. */
        public boolean kept() {
            return verdict.breaches().isEmpty() && faults.isEmpty();
        }
    }

    /** Virtual time begins here, so that moments before the day's start exist. */
    private static final long EPOCH = 1_000_000_000_000L;
    /** Lines of the routers' logs that a page keeps at the most. */
    private static final int STAFF = 400;

    private static final long SETTLES = 1_000_000_000L;
    private static final YAMLMapper YAML = new YAMLMapper();

    private final ScenarioPlan plan;
    private final JsonNode script;
    private final Maker maker;
    private final VirtualTimeline time = new VirtualTimeline();
    private final SimulatedFleet fleet;
    private final Map<String, SimulatedHost> stations = new LinkedHashMap<>();
    private final ClientLoadBalancer front;
    private final LoadStatistics books = new LoadStatistics();
    private final List<Observation> tape = new ArrayList<>();
    private final MessageDigest digest;
    private final List<String> faults = new ArrayList<>();
    private final ReleaseScript releases = new ReleaseScript(null);
    private final LoadGenerator clients;
    private final TraceWorkload trace;
    private final List<String> staff = new ArrayList<>();
    private final PrintStream progress;
    private final Map<String, Long> still = new HashMap<>();
    private long begun;
    private boolean done;
    private long loads;
    private long told;

    private Simulation(JsonNode script, ScenarioPlan plan, TraceWorkload trace, Maker maker, PrintStream progress) {
        this.trace = trace;
        this.script = script;
        this.plan = plan;
        this.maker = maker;
        this.progress = progress;
        this.front = new ClientLoadBalancer(plan.clients().frontLag());
        try {
            this.digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
        time.runTo(EPOCH);
        Consumer<Observation> seen = this::seen;
        this.fleet = new SimulatedFleet(time, plan.fleet(), plan.network().delay(), seen);
        this.clients = new LoadGenerator(
                time, this::carry, plan, 0, trace != null ? trace : new SyntheticWorkload(plan), front, books, seen);
        fleet.onDiscoveryCut(() -> stations.values().forEach(station -> {
            if (station.life() != null) {
                station.life().listBroke();
            }
        }));
    }

    /**
     * Plays a script.
     *
     * @param script a day's script as YAML
     * @param name of the script, for mistakes found in it
     * @param out folder for results, or null for none
     * @param progress lines of progress, or null for none
     */
    public static Outcome play(JsonNode script, String name, Maker maker, Path out, PrintStream progress)
            throws IOException {
        return play(script, name, null, maker, out, progress);
    }

    /** The same with a trace's calls in place of the script's traffic; null for none. */
    public static Outcome play(
            JsonNode script, String name, TraceWorkload.Terms trace, Maker maker, Path out, PrintStream progress)
            throws IOException {
        ScenarioPlan plan = ScenarioPlan.read(YamlParser.read(name, YAML.writeValueAsString(script)));
        if (trace == null) {
            return new Simulation(script, plan, null, maker, progress).play(out);
        }
        try (TraceWorkload source = new TraceWorkload(trace, plan, out)) {
            return new Simulation(script, plan, source, maker, progress).play(out);
        }
    }

    private void seen(Observation one) {
        tape.add(one);
        loads += one.what().equals(Observation.LOADED) ? 1 : 0;
        told += one.what().equals(Observation.TOLD) ? 1 : 0;
        digest.update((one.at() + " " + one.what() + " " + one.router() + " " + one.call() + " " + one.leg() + " "
                        + one.engine() + " " + one.model() + " " + one.note() + " " + one.figure() + "\n")
                .getBytes(StandardCharsets.UTF_8));
    }

    private Outcome play(Path out) throws IOException {
        long wall = System.nanoTime();
        for (int i = 0; i < plan.routers(); i++) {
            String name = "r" + (i + 1);
            String hall = plan.halls().get(i % plan.halls().size());
            RouterConfig articles = articles(name, hall, i);
            int number = i;
            stations.put(
                    name,
                    new SimulatedHost(
                            name,
                            hall,
                            () -> newest(name),
                            (station, life) -> new SimulatedRouter(
                                    station,
                                    time,
                                    articles,
                                    fleet,
                                    plan.network().delay(),
                                    text -> logged(name, text),
                                    maker.make(plan.seed() * 1_000_003 + number * 1009L + life, articles.facts()),
                                    fleet::kill)));
            front.add(name, hall, i);
        }
        stations.values().forEach(SimulatedHost::start);
        begun = time.now() + SETTLES;
        time.at(begun, () -> clients.play(begun, () -> done = true));
        FaultInjector troubles = new FaultInjector(plan, new World());
        time.at(begun, () -> bring(troubles));
        long end = trace != null ? Long.MAX_VALUE : begun + plan.lasting() + 60_000_000_000L;
        for (long at = begun; !done && at < end; at += 1_000_000_000L) {
            time.runTo(at);
            if (progress != null && (at - begun) % 10_000_000_000L == 0 && at > begun) {
                progress.println(String.format(
                        Locale.ROOT,
                        "  %4.0f s: %d calls ended, credit %.3f; %d events, %.1f s of this" + " machine",
                        (at - begun) / 1e9,
                        books.calls(),
                        books.credit(),
                        time.ran(),
                        (System.nanoTime() - wall) / 1e9));
            }
        }
        if (!done) {
            faults.add("the clients did not end in time");
        }
        // what comes too late after the last answer is seen as well
        time.runTo(time.now() + SETTLES);
        return judge(out, (System.nanoTime() - wall) / 1e9);
    }

    /** What a router would log, kept for the page: what staff would see, and when. */
    void logged(String router, String text) {
        if (staff.size() < STAFF) {
            staff.add(String.format(Locale.ROOT, "%.1f s, %s: %s", (time.now() - begun) / 1e9, router, text));
        }
    }

    private void bring(FaultInjector troubles) {
        long next = troubles.due(time.now() - begun);
        if (next >= 0) {
            time.at(begun + next, () -> bring(troubles));
        }
    }

    /** The file that a router of this day has, checked as the router checks its own. */
    private RouterConfig articles(String name, String hall, int number) throws IOException {
        ObjectNode file = script.get("router").deepCopy();
        ObjectNode head = file.withObject("/router");
        head.put("name", name)
                .put("listen", "127.0.0.1:0")
                .put("hall", hall)
                .put("number", number)
                .put("data", "none");
        if (!head.has("peers")) {
            head.put("peers", plan.routers());
        }
        file.withObject("/list").put("address", "127.0.0.1:1");
        return RouterConfigParser.read(YamlParser.read(name, YAML.writeValueAsString(file)));
    }

    private List<RolloutTarget> newest(String but) {
        List<RolloutTarget> all = new ArrayList<>();
        stations.values().forEach(station -> {
            if (!station.name.equals(but) && station.life() != null) {
                all.addAll(station.life().targets());
            }
        });
        return all;
    }

    private LoadGenerator.Wire.Out carry(LoadGenerator.Request request, LoadGenerator.Heard heard) {
        SimulatedHost station = stations.get(request.target().router());
        SimulatedRouter life = station.life();
        if (life == null) {
            time.after(2 * plan.network().delay(), () -> heard.unanswered("unreachable"));
            return () -> {};
        }
        SimulatedRouter.Carried carried = life.new Carried(request, heard);
        time.after(plan.network().delay(), () -> life.take(carried));
        return carried;
    }

    private final class World implements FaultInjector.World {
        @Override
        public List<String> engines(String hall) {
            return fleet.inService(hall);
        }

        @Override
        public List<String> routers(String hall) {
            return stations.values().stream()
                    .filter(station -> hall.isEmpty() || station.hall.equals(hall))
                    .map(station -> station.name)
                    .toList();
        }

        @Override
        public void toEngines(String what, List<String> engines, String model, double figure) {
            fleet.apply(new FaultCommand(what, engines, model, figure));
        }

        @Override
        public void killRouter(String router) {
            seen(new Observation(time.now(), Observation.KILLED, router, "", 0, "", "", "", 0));
            stations.get(router).kill();
            front.died(router, time.now());
        }

        @Override
        public void startRouter(String router) {
            if (stations.get(router).life() != null) {
                return;
            }
            time.after(plan.network().routerStart(), () -> {
                stations.get(router).start();
                seen(new Observation(time.now(), Observation.STARTED, router, "", 0, "", "", "", 0));
                front.back(router);
            });
        }

        @Override
        public void toRouters(ScenarioPlan.Kind what, List<String> routers, double figure) {
            for (String router : routers) {
                SimulatedRouter life = stations.get(router).life();
                if (life != null && what == ScenarioPlan.Kind.ROUTERS_PAUSED) {
                    if (figure > 0) {
                        still.putIfAbsent(router, time.now());
                    } else if (still.containsKey(router)) {
                        long since = still.remove(router);
                        seen(new Observation(since, Observation.STILL, router, "", 0, "", "", "", time.now() - since));
                    }
                    life.pause(figure > 0);
                } else if (life != null && figure > 0) {
                    life.jump(Math.round(figure * 1e9));
                }
            }
        }

        @Override
        public void heedless(boolean on) {
            clients.heedless(on);
        }

        @Override
        public void order(ReleaseScript.Order order) {
            List<RolloutTarget> targets = releases.targets(order);
            for (SimulatedHost station : stations.values()) {
                if (station.life() != null) {
                    station.life().order(targets, refusals -> refusals.stream()
                            .filter(refusal -> !refusal.isEmpty())
                            .findFirst()
                            .ifPresent(refusal -> faults.add(station.name + ": " + refusal)));
                }
            }
        }

        @Override
        public void say(String what) {
            seen(new Observation(time.now(), Observation.TROUBLE, "", "", 0, "", "", what, 0));
            if (progress != null) {
                progress.println(String.format(Locale.ROOT, "  %4.0f s: %s", (time.now() - begun) / 1e9, what));
            }
        }
    }

    private double seconds() {
        return (time.now() - begun) / 1e9;
    }

    private Outcome judge(Path out, double wall) throws IOException {
        InvariantChecker.Verdict verdict = new InvariantChecker(plan.rules(), plan.slack(), plan.places()).check(tape);
        faults.addAll(plan.expected().missed(books));
        String sum = HexFormat.of().formatHex(digest.digest()).substring(0, 16);
        long decisions =
                stations.values().stream().mapToLong(SimulatedHost::decisions).sum();
        long decided = stations.values().stream()
                .mapToLong(SimulatedHost::decidedNanos)
                .sum();
        List<String> lines = new ArrayList<>(books.table());
        lines.addAll(VersionShares.lines(tape, begun, plan.releases()));
        lines.add(Results.fetched(plan, tape, begun));
        if (trace != null) {
            lines.addAll(trace.lines());
            if (trace.failure() != null) {
                faults.add(trace.failure().getMessage());
            }
        }
        lines.add("");
        lines.add(String.format(
                Locale.ROOT,
                "rehearsed with %d engines and %d routers: %d calls in %d tries, %d loads, digest %s",
                plan.fleet().engines().size(),
                plan.routers(),
                books.calls(),
                books.tries(),
                loads,
                sum));
        lines.add("");
        lines.addAll(verdict.lines(begun, plan.rules()));
        faults.forEach(fault -> lines.add("fault: " + fault));
        if (out != null) {
            Files.createDirectories(out);
            Files.write(out.resolve("table.txt"), lines);
            ObjectNode results = Results.of(plan, books, verdict, faults, tape, begun, lines);
            ArrayNode seen = results.putArray("staff");
            staff.forEach(seen::add);
            results.putObject("growth")
                    .put("loads_per_1000", 1000.0 * loads / Math.max(1, books.calls()))
                    .put("decision_us", decided / 1e3 / Math.max(1, decisions))
                    .put("decided_share", decided / 1e9 / plan.routers() / seconds())
                    .put("told_per_second", told / (double) plan.routers() / seconds())
                    .put("events", time.ran())
                    .put("wall_s", wall)
                    .put("lasting_s", seconds());
            Results.write(out, results);
        }
        return new Outcome(
                sum,
                books.credit(),
                books.worstWindow(),
                books.calls(),
                loads,
                books.latencyMillis(50),
                books.latencyMillis(99),
                time.ran(),
                decisions,
                decided,
                told,
                wall,
                lines,
                verdict,
                List.copyOf(faults));
    }
}
