package pearladder.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import pearladder.config.ConfigValue;

/**
 * A fleet of emulated workers as a scenario file describes it.
 *
 * @param seed seed of all random draws of the workers
 * @param modelStoreCapacity number of concurrent fetches that the model store serves at full speed
 * @param modelStoreFetchLimit maximum number of concurrent fetches
 * @param discoveryLagNanos delay after which the endpoint registry applies a change
 * @param usesFaultProxy whether each router reaches each worker through a fault proxy
 * @param models families of models; the first that matches a model's name applies
 * @param workers the workers to start
 */
public record FleetPlan(
        long seed,
        double modelStoreCapacity,
        int modelStoreFetchLimit,
        long discoveryLagNanos,
        boolean usesFaultProxy,
        List<ModelKind> models,
        List<PlannedWorker> workers) {
    /**
     * One worker to start.
     *
     * @param id unique in the fleet
     * @param zone name of its zone
     * @param cell number of its cell, a group of workers within the zone
     */
    public record PlannedWorker(String id, WorkerKind kind, String zone, long cell) {}

    /** Size of the range of cell numbers that each zone has. */
    private static final long CELL_NUMBERS_PER_ZONE = 10_000;

    private static final int MAX_WORKERS_PER_GROUP = 10_000;
    private static final String DEFAULT_ZONE = "hall";
    private static final double BYTES_PER_MB = 1e6;

    /** Reads the "fleet" section of a file; mistakes are reported with their line numbers. */
    public static FleetPlan read(ConfigValue fleet) {
        ConfigValue modelStore = fleet.at("shelf");
        Map<String, WorkerKind> kinds = fleet.at("kinds").eachKey(FleetPlan::readWorkerKind);
        if (kinds.isEmpty()) {
            fleet.at("kinds").addError("no kind of engine is defined", "define at least one with its cores and memory");
        }
        List<PlannedWorker> workers = new ArrayList<>();
        for (ConfigValue group : fleet.at("engines").each(value -> value)) {
            workers.addAll(readGroup(group, kinds));
        }
        if (workers.isEmpty()) {
            fleet.at("engines").addError("no engine is listed", "write \"- {name: engine, count: 3, kind: ...}\"");
        }
        return new FleetPlan(
                fleet.at("seed").wholeNumber(1, 0, Integer.MAX_VALUE),
                modelStore.at("capacity").number(8, 0.1, 1e6),
                modelStore.at("limit").wholeNumber(64, 1, 1_000_000),
                fleet.at("list").at("lag").durationNanos("500 ms"),
                fleet.at("cables").flag(false),
                fleet.at("models").each(FleetPlan::readModelKind),
                workers);
    }

    /** Reads a group of workers of one kind, distributed round-robin over the group's zones. */
    private static List<PlannedWorker> readGroup(ConfigValue group, Map<String, WorkerKind> kinds) {
        String name = group.at("name").text();
        String kind = group.at("kind").text();
        List<String> zones = group.at("halls").each(ConfigValue::text);
        int workersPerCell = group.at("per_cell").wholeNumber(4, 1, MAX_WORKERS_PER_GROUP);
        int count = group.at("count").wholeNumber(1, 1, MAX_WORKERS_PER_GROUP);
        if (!kinds.containsKey(kind)) {
            group.at("kind")
                    .addError("unknown kind \"" + kind + "\"", "write one of " + String.join(", ", kinds.keySet()));
            return List.of();
        }
        List<PlannedWorker> workers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String zone = zones.isEmpty() ? DEFAULT_ZONE : zones.get(i % zones.size());
            int indexInZone = zones.isEmpty() ? i : i / zones.size();
            long cell = Math.max(0, zones.indexOf(zone)) * CELL_NUMBERS_PER_ZONE + indexInZone / workersPerCell;
            workers.add(new PlannedWorker(name + "-" + i, kinds.get(kind), zone, cell));
        }
        return workers;
    }

    private static WorkerKind readWorkerKind(String name, ConfigValue kind) {
        ConfigValue cold = kind.at("cold");
        return new WorkerKind(
                name,
                kind.at("cores").wholeNumber(1, 1024),
                kind.at("speed").number(1, 0.01, 100),
                kind.at("memory").bytes() / BYTES_PER_MB,
                kind.at("loaders").wholeNumber(4, 1, 1000),
                kind.at("queue").wholeNumber(64, 0, 100_000),
                kind.at("kept").durationNanos("10 s"),
                kind.at("own_copies").flag(true),
                kind.at("images").flag(false),
                kind.at("cancel_stops").flag(true),
                kind.at("remembered").durationNanos("8 s"),
                kind.at("remembered_by")
                        .enumConstant(WorkerKind.IdempotencyScope.class, WorkerKind.IdempotencyScope.ALL),
                cold.at("start_share").number(0.3, 0.01, 1),
                cold.at("warm_after").durationNanos("15 s"),
                cold.at("fall_multiple").number(2.5, 1, 100),
                cold.at("fall_after").durationNanos("1500 ms"),
                kind.at("reports_every").durationNanos("300 ms"));
    }

    private static ModelKind readModelKind(ConfigValue model) {
        return new ModelKind(
                model.at("name").text(),
                model.at("memory").bytes() / BYTES_PER_MB,
                model.at("lanes").wholeNumber(1, 1, 1000),
                readLoadPhase(model, "fetch"),
                readLoadPhase(model, "start"),
                model.at("work").durationNanos("20 ms"),
                model.at("failing").number(0, 0, 1),
                model.at("times").number(1, 0.01, 1000));
    }

    /**
     * Reads the duration of a phase of a load. A file gives either both durations, or that of the whole load and the
     * share of the fetch in it.
     *
     * @param phase "fetch" or "start"
     */
    private static long readLoadPhase(ConfigValue model, String phase) {
        if (!model.at("load").isGiven()) {
            return model.at(phase).durationNanos("0 s");
        }
        if (model.at("fetch").isGiven() || model.at("start").isGiven()) {
            model.at("load")
                    .addError(
                            "\"load\" is given together with \"fetch\" or \"start\"",
                            "give either load and fetch_share, or fetch and start");
        }
        double fetchShare = model.at("fetch_share").number(0.75, 0, 1);
        double share = phase.equals("fetch") ? fetchShare : 1 - fetchShare;
        return Math.round(model.at("load").durationNanos() * share);
    }

    /** Returns the first family that the model's name matches, or null if none does. */
    public ModelKind modelOf(String name) {
        for (ModelKind model : models) {
            if (model.matches(name)) {
                return model;
            }
        }
        return null;
    }
}
