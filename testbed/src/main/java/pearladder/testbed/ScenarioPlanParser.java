package pearladder.testbed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import pearladder.config.ConfigValue;
import pearladder.emulator.FleetPlan;
import pearladder.testbed.ScenarioPlan.Clients;
import pearladder.testbed.ScenarioPlan.Expected;
import pearladder.testbed.ScenarioPlan.Fault;
import pearladder.testbed.ScenarioPlan.FaultKind;
import pearladder.testbed.ScenarioPlan.Flow;
import pearladder.testbed.ScenarioPlan.Network;
import pearladder.testbed.ScenarioPlan.RateVariation;

/** Parses the script of a scenario and reports every error in it; docs/days.md describes the keys. */
final class ScenarioPlanParser {
    /** Sections in which unknown keys are errors. The routers validate their own section. */
    private static final Set<String> CHECKED_SECTIONS =
            Set.of("day", "clients", "traffic", "troubles", "releases", "fleet", "network", "expect");

    /** Faults that need a proxy in front of each worker. */
    private static final Set<FaultKind> PROXY_FAULTS =
            EnumSet.of(FaultKind.CUT, FaultKind.RESET, FaultKind.SLOW_HANDSHAKES);

    private static final int MAX_ROUTERS = 1000;
    private static final int MAX_CLIENT_ATTEMPTS = 20;
    private static final int MAX_CLIENT_LANES = 16;
    private static final int MAX_MODELS = 1_000_000;
    private static final double MAX_RATE = 1e6;

    private final ConfigValue file;
    private final ConfigValue day;

    ScenarioPlanParser(ConfigValue file) {
        this.file = file;
        this.day = file.at("day");
    }

    /** Returns the plan; throws {@link pearladder.config.ConfigErrors.ConfigException} with every error found. */
    ScenarioPlan parse() {
        InvariantSettings invariantSettings = InvariantSettings.read(file.at("router"));
        long duration = day.at("lasting").durationNanos();
        List<String> zones = zones();
        List<Flow> flows = flows(invariantSettings);
        List<Fault> faults = faults(duration, zones);
        FleetPlan fleet = fleet(faults);
        ScenarioPlan plan = new ScenarioPlan(
                day.at("name").text("day"),
                duration,
                day.at("seed").wholeNumber(1, 0, Integer.MAX_VALUE),
                day.at("slack").durationNanos("150 ms"),
                zones,
                day.at("routers").wholeNumber(2, 1, MAX_ROUTERS),
                day.at("rate").number(0.1, MAX_RATE),
                clients(file.at("clients")),
                flows,
                faults,
                rolloutOrders(),
                invariantSettings,
                fleet,
                network(file.at("network")),
                expected(file.at("expect")),
                rateVariation(day.at("tide")));
        file.requireValid(CHECKED_SECTIONS);
        return plan;
    }

    private List<String> zones() {
        List<String> zones = day.at("halls").each(ConfigValue::text);
        if (zones.isEmpty()) {
            day.at("halls").addError("no hall is named", "write \"halls: [east, west]\"");
        }
        return zones;
    }

    private List<Flow> flows(InvariantSettings invariantSettings) {
        List<Flow> flows = file.at("traffic").each(flow -> flow(flow, invariantSettings));
        if (flows.isEmpty()) {
            file.at("traffic")
                    .addError("no traffic", "write \"- {category: ..., models: pair-, count: 20, work: 20 ms}\"");
        }
        return flows;
    }

    private static Flow flow(ConfigValue flow, InvariantSettings invariantSettings) {
        String requestClass = flow.at("category").text();
        if (!invariantSettings.requestClasses().containsKey(requestClass)) {
            String known = String.join(", ", invariantSettings.requestClasses().keySet());
            flow.at("category").addError("unknown category \"" + requestClass + "\"", "write one of " + known);
        }
        return new Flow(
                requestClass,
                flow.at("account").text(""),
                flow.at("share").number(1, 0, 1),
                flow.at("models").text(),
                flow.at("count").wholeNumber(1, 1, MAX_MODELS),
                flow.at("skew").number(1, 0, 5),
                flow.at("shift").durationNanos("0 s"),
                flow.at("work").durationNanos("20 ms"));
    }

    private List<Fault> faults(long duration, List<String> zones) {
        List<Fault> faults = new ArrayList<>(file.at("troubles").each(fault -> fault(fault, duration, zones)));
        faults.sort(Comparator.comparingLong(Fault::startAt));
        return faults;
    }

    private static Fault fault(ConfigValue fault, long scenarioDuration, List<String> zones) {
        long startAt = fault.at("at").durationNanos();
        long duration = fault.at("lasting").durationNanos("0 s");
        if (startAt + duration > scenarioDuration) {
            fault.at("at").addError("the trouble ends after the day", "begin it earlier, or make the day longer");
        }
        String zone = fault.at("hall").text("");
        if (!zone.isEmpty() && !zones.contains(zone)) {
            fault.at("hall").addError("unknown hall \"" + zone + "\"", "write one of " + String.join(", ", zones));
        }
        return new Fault(
                startAt,
                duration,
                fault.at("what").enumConstant(FaultKind.class, null),
                fault.at("share").number(0.2, 0, 1),
                fault.at("times").number(5, 1, 1000),
                fault.at("part").number(0.7, 0, 1),
                zone);
    }

    private FleetPlan fleet(List<Fault> faults) {
        FleetPlan fleet = FleetPlan.read(file.at("fleet"));
        boolean needsProxies = faults.stream().anyMatch(fault -> PROXY_FAULTS.contains(fault.kind()));
        if (needsProxies && !fleet.usesFaultProxy()) {
            file.at("fleet")
                    .addError("cuts, resets and slow handshakes need cables", "write \"cables: true\" in the fleet");
        }
        return fleet;
    }

    private static Clients clients(ConfigValue clients) {
        return new Clients(
                clients.at("tries").wholeNumber(3, 1, MAX_CLIENT_ATTEMPTS),
                clients.at("pause").durationNanos("200 ms"),
                clients.at("patience").number(0.5, 0.05, 1),
                clients.at("front_lag").durationNanos("2 s"),
                clients.at("leaving").number(0, 0, 1),
                clients.at("lanes").wholeNumber(1, 1, MAX_CLIENT_LANES));
    }

    private List<RolloutScript.Order> rolloutOrders() {
        return file.at("releases").each(RolloutScript::read).stream()
                .flatMap(List::stream)
                .toList();
    }

    private static Network network(ConfigValue network) {
        return new Network(
                network.at("delay").durationNanos("600 us"),
                network.at("router_start").durationNanos("2 s"));
    }

    private static Expected expected(ConfigValue expected) {
        return new Expected(
                expected.at("credit").number(Double.NaN, 0, 1),
                expected.at("worst_10_s").number(Double.NaN, 0, 1));
    }

    private static RateVariation rateVariation(ConfigValue variation) {
        return new RateVariation(
                variation.at("period").durationNanos("0 s"),
                variation.at("swing").number(0.5, 0, 1));
    }
}
