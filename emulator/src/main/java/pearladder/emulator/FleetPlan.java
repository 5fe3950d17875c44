package pearladder.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import pearladder.config.ConfigValue;

/**
 * A fleet of stand-ins as its file states it.
 *
 * @param shelfCapacity fetches that the shelf serves at full speed together
 * @param lagNanos how late the list tells a change
 * @param cables whether each router reaches each engine over a cable of its own, that can be cut
 */
public record FleetPlan(
        long seed,
        double modelStoreCapacity,
        int modelStoreFetchLimit,
        long lagNanos,
        boolean cables,
        List<ModelKind> models,
        List<Planned> engines) {
    /** One engine to stand up. */
    public record Planned(String id, WorkerKind kind, String hall, long cell) {}

    /** Reads the "fleet" part of a file; mistakes are noted at their lines. */
    public static FleetPlan read(ConfigValue fleet) {
        ConfigValue shelf = fleet.at("shelf");
        Map<String, WorkerKind> kinds = fleet.at("kinds").eachKey(FleetPlan::kind);
        if (kinds.isEmpty()) {
            fleet.at("kinds").wrong("a kind of engine is missing", "write one with its cores and memory");
        }
        List<Planned> engines = new ArrayList<>();
        for (ConfigValue group : fleet.at("engines").each(value -> value)) {
            String name = group.at("name").text();
            String kind = group.at("kind").text();
            List<String> halls = group.at("halls").each(ConfigValue::text);
            int perCell = group.at("per_cell").whole(4, 1, 10_000);
            int count = group.at("count").whole(1, 1, 10_000);
            if (!kinds.containsKey(kind)) {
                group.at("kind")
                        .wrong("unknown kind \"" + kind + "\"", "write one of " + String.join(", ", kinds.keySet()));
                continue;
            }
            for (int i = 0; i < count; i++) {
                String hall = halls.isEmpty() ? "hall" : halls.get(i % halls.size());
                int inHall = halls.isEmpty() ? i : i / halls.size();
                long cell = Math.max(0, halls.indexOf(hall)) * 10_000L + inHall / perCell;
                engines.add(new Planned(name + "-" + i, kinds.get(kind), hall, cell));
            }
        }
        if (engines.isEmpty()) {
            fleet.at("engines").wrong("no engine is listed", "write \"- {name: engine, count: 3, kind: ...}\"");
        }
        return new FleetPlan(
                fleet.at("seed").whole(1, 0, Integer.MAX_VALUE),
                shelf.at("capacity").number(8, 0.1, 1e6),
                shelf.at("limit").whole(64, 1, 1_000_000),
                fleet.at("list").at("lag").span("500 ms"),
                fleet.at("cables").flag(false),
                fleet.at("models").each(FleetPlan::model),
                engines);
    }

    private static WorkerKind kind(String name, ConfigValue kind) {
        ConfigValue cold = kind.at("cold");
        return new WorkerKind(
                name,
                kind.at("cores").whole(1, 1024),
                kind.at("speed").number(1, 0.01, 100),
                kind.at("memory").bytes() / 1e6,
                kind.at("loaders").whole(4, 1, 1000),
                kind.at("queue").whole(64, 0, 100_000),
                kind.at("kept").span("10 s"),
                kind.at("own_copies").flag(true),
                kind.at("images").flag(false),
                kind.at("cancel_stops").flag(true),
                kind.at("remembered").span("8 s"),
                kind.at("remembered_by").word(WorkerKind.IdempotencyScope.class, WorkerKind.IdempotencyScope.ALL),
                cold.at("start_share").number(0.3, 0.01, 1),
                cold.at("warm_after").span("15 s"),
                cold.at("fall_multiple").number(2.5, 1, 100),
                cold.at("fall_after").span("1500 ms"),
                kind.at("reports_every").span("300 ms"));
    }

    /** Fetch and start as they are told, or as shares of the whole load. */
    private static long fetch(ConfigValue model, boolean fetch) {
        if (!model.at("load").given()) {
            return model.at(fetch ? "fetch" : "start").span("0 s");
        }
        if (model.at("fetch").given() || model.at("start").given()) {
            model.at("load")
                    .wrong(
                            "a load is told, and its fetch or start beside it",
                            "keep load and fetch_share, or fetch and start");
        }
        double share = model.at("fetch_share").number(0.75, 0, 1);
        return Math.round(model.at("load").span() * (fetch ? share : 1 - share));
    }

    private static ModelKind model(ConfigValue model) {
        return new ModelKind(
                model.at("name").text(),
                model.at("memory").bytes() / 1e6,
                model.at("lanes").whole(1, 1, 1000),
                fetch(model, true),
                fetch(model, false),
                model.at("work").span("20 ms"),
                model.at("failing").number(0, 0, 1),
                model.at("times").number(1, 0.01, 1000));
    }

    /** The kind of a model's name, or null where none matches; the first that matches counts. */
    public ModelKind modelOf(String name) {
        for (ModelKind model : models) {
            if (model.matches(name)) {
                return model;
            }
        }
        return null;
    }
}
