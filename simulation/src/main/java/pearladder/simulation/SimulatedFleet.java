package pearladder.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import pearladder.emulator.EndpointRegistry;
import pearladder.emulator.FleetPlan;
import pearladder.emulator.IdempotencyCache;
import pearladder.emulator.ModelStore;
import pearladder.emulator.Observation;
import pearladder.emulator.Timeline;
import pearladder.emulator.WorkerEnvironment;
import pearladder.emulator.WorkerModel;
import pearladder.emulator.WorkerSettings;
import pearladder.kserve.DiscoveryMessage.Entry;
import pearladder.kserve.DiscoveryMessage.Standing;

/** All engines of a plan, their shelf and their list, on the virtual network. */
final class SimulatedFleet {
    private final Timeline time;
    private final FleetPlan plan;
    private final long delay;
    private final Consumer<Observation> seen;
    private final ModelStore shelf;
    private final EndpointRegistry roll;
    private final Map<String, IdempotencyCache> marks = new LinkedHashMap<>();
    private final Map<String, SimulatedNetworkPath> hosts = new LinkedHashMap<>();
    private final Map<String, FleetPlan.Planned> planned = new LinkedHashMap<>();
    private final Map<SimulatedNetworkPath, Long> still = new LinkedHashMap<>();
    private Runnable listCut = () -> {};
    private int made;

    SimulatedFleet(Timeline time, FleetPlan plan, long delay, Consumer<Observation> seen) {
        this.time = time;
        this.plan = plan;
        this.delay = delay;
        this.seen = seen;
        this.shelf = new ModelStore(time, plan.modelStoreCapacity(), plan.modelStoreFetchLimit());
        this.roll = new EndpointRegistry(time, 0, seen);
        plan.engines().forEach(engine -> add(engine, false));
        time.after(1, () -> roll.setLag(plan.lagNanos()));
        beat();
    }

    private void beat() {
        time.after(500_000_000L, () -> {
            roll.sendHeartbeat();
            beat();
        });
    }

    EndpointRegistry roll() {
        return roll;
    }

    SimulatedNetworkPath host(String engine) {
        return hosts.get(engine);
    }

    /** What happens when every connection of the list breaks. */
    void onListCut(Runnable what) {
        listCut = what;
    }

    private void add(FleetPlan.Planned engine, boolean cold) {
        String group =
                switch (engine.kind().idempotencyScope()) {
                    case ALL -> "";
                    case HALL -> engine.hall();
                    case CELL -> Long.toString(engine.cell());
                };
        IdempotencyCache shared = marks.computeIfAbsent(
                group, name -> new IdempotencyCache(time, engine.kind().idempotencyWindowNanos()));
        WorkerModel model = new WorkerModel(
                new WorkerSettings(engine.id(), engine.kind(), plan.seed() * 1000 + made++, cold),
                new WorkerEnvironment(time, plan::modelOf, shelf, shared, seen));
        hosts.put(engine.id(), new SimulatedNetworkPath(time, delay, model, engine.hall()));
        planned.put(engine.id(), engine);
        tell(engine.id(), Standing.IN_SERVICE, cold ? time.now() / 1_000_000 : 0);
    }

    private void tell(String id, Standing standing, long started) {
        FleetPlan.Planned engine = planned.get(id);
        roll.change(new Entry(id, "virtual", 1, engine.hall(), engine.kind().name(), engine.cell(), standing, started));
    }

    /** Engines that stand, of a hall or of all where it is empty. */
    List<String> standing(String hall) {
        List<String> up = new ArrayList<>();
        hosts.forEach((id, host) -> {
            if (host.engine.isUp() && !host.engine.isDraining() && (hall.isEmpty() || host.hall.equals(hall))) {
                up.add(id);
            }
        });
        return up;
    }

    /** An engine's process dies; the list learns of it late. */
    void kill(String id) {
        hosts.get(id).die();
        tell(id, Standing.GONE, 0);
    }

    private void restart(String id) {
        SimulatedNetworkPath host = hosts.get(id);
        if (!host.engine.isUp()) {
            host.engine.restart();
            tell(id, Standing.IN_SERVICE, time.now() / 1_000_000);
        }
    }

    private void drain(String id) {
        hosts.get(id).engine.drain();
        tell(id, Standing.DRAINING, 0);
    }

    /** A rolling deploy's step: the engine drains, goes, and a successor with a new name starts cold. */
    private void replace(String id, long drainNanos) {
        drain(id);
        FleetPlan.Planned old = planned.get(id);
        time.after(drainNanos, () -> {
            kill(id);
            add(
                    new FleetPlan.Planned(
                            id.replaceFirst("(~[0-9]+)?$", "~" + made), old.kind(), old.hall(), old.cell()),
                    true);
        });
    }

    private void pause(SimulatedNetworkPath host, boolean on) {
        if (on) {
            still.putIfAbsent(host, time.now());
        } else if (still.containsKey(host)) {
            long since = still.remove(host);
            seen.accept(
                    new Observation(since, Observation.STILL, "", "", 0, host.engine.id(), "", "", time.now() - since));
        }
        host.pause(on);
    }

    /** Brings a trouble, in the same words as the stand-ins' control port takes them. */
    void act(String what, List<String> engines, String model, double figure) {
        List<SimulatedNetworkPath> named = (engines.isEmpty() ? List.copyOf(hosts.keySet()) : engines)
                .stream().map(hosts::get).filter(host -> host != null).toList();
        long nanos = Math.round(figure * 1e6);
        boolean on = figure > 0;
        switch (what) {
            case "slow" -> named.forEach(host -> host.engine.setSlowdown(figure));
            case "failing" -> named.forEach(host -> host.engine.setFailureShare(figure));
            case "hang" -> named.forEach(host -> host.hang(on));
            case "misname" -> named.forEach(host -> host.misname(on));
            case "garble" -> named.forEach(host -> host.garble(on));
            case "late-reports" -> named.forEach(host -> host.engine.setReportDelay(nanos));
            case "losing" -> named.forEach(host -> host.engine.setLostLoadReplyShare(figure));
            case "leak" -> named.forEach(host -> host.engine.setMemoryLeak(figure));
            case "pause" -> named.forEach(host -> pause(host, on));
            case "cut-back" -> named.forEach(host -> host.cut(false, on));
            case "cable-cut" -> named.forEach(host -> host.cut(on, on));
            case "cable-deaf" -> named.forEach(host -> host.deaf(on));
            case "cable-reset" -> named.forEach(SimulatedNetworkPath::reset);
            case "release" -> named.forEach(
                    host -> Arrays.stream(model.split(",")).forEach(host.engine::invalidateModels));
            case "kill" -> engines.forEach(this::kill);
            case "restart" -> engines.forEach(this::restart);
            case "replace" -> engines.forEach(id -> replace(id, nanos));
            case "shelf-slow" -> shelf.setSlowdown(figure);
            case "shelf-refuse" -> shelf.setRejectingAll(on);
            case "shelf-damage" -> shelf.setServingDamagedImages(on);
            case "list-silent" -> roll.silent(on);
            case "list-cut" -> listCut.run();
            case "list-lag" -> roll.setLag(nanos);
            case "list-split" -> roll.setSplitView(
                    on ? Set.of(model.split(",")) : Set.of(), on ? Set.copyOf(engines) : Set.of());
            default -> throw new IllegalArgumentException("unknown deed " + what);
        }
    }
}
