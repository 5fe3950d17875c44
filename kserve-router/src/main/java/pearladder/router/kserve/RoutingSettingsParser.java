package pearladder.router.kserve;

import java.util.ArrayList;
import java.util.List;
import pearladder.config.ConfigValue;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.RoutingSettings.AttemptLimits;
import pearladder.routing.api.RoutingSettings.CostModel;
import pearladder.routing.api.RoutingSettings.DeduplicationScope;
import pearladder.routing.api.RoutingSettings.DiscoverySettings;
import pearladder.routing.api.RoutingSettings.Idempotency;
import pearladder.routing.api.RoutingSettings.InstanceSettings;
import pearladder.routing.api.RoutingSettings.LoadQuota;
import pearladder.routing.api.RoutingSettings.LoadReportSettings;
import pearladder.routing.api.RoutingSettings.RequestClass;
import pearladder.routing.api.RoutingSettings.ResponseGrace;
import pearladder.routing.api.RoutingSettings.SlowStartSettings;
import pearladder.routing.api.RoutingSettings.Tenant;
import pearladder.routing.api.TimeSpan;

/** Parses the sections of a router's configuration file that are settings of the routing policy. */
final class RoutingSettingsParser {
    /** The parts of a worker's load report, in the order of {@link pearladder.kserve.LoadReport}. */
    private static final List<String> LOAD_REPORT_FIELDS = List.of("held", "waiting", "busy", "loads", "pinned");
    /** Shares are written with few digits, so that their sum may be a little more than 1. */
    private static final double MAX_SUM_OF_SHARES = 1.0001;

    private RoutingSettingsParser() {}

    static RoutingSettings parse(ConfigValue file, TimeSpan connectTimeout) {
        ConfigValue router = file.at("router");
        List<RequestClass> requestClasses = requestClasses(file.at("categories"));
        List<Tenant> tenants = tenants(file.at("accounts"));
        List<Double> workerMemoryMb = file.at("copies").at("engine_memory").each(kind -> kind.bytes() / 1e6);
        return new RoutingSettings(
                router.at("number").whole(0, 0, 1_000_000),
                router.at("peers").whole(1, 1, 1_000_000),
                router.at("hall").text(""),
                span(router.at("tick"), "5 ms"),
                requestClasses,
                tenants,
                attemptLimits(file.at("allowances"), connectTimeout),
                responseGrace(file.at("rules")),
                slowStart(file.at("rules").at("cold")),
                loadQuota(file.at("rules").at("ration")),
                instances(file.at("copies"), workerMemoryMb),
                new LoadReportSettings(LOAD_REPORT_FIELDS, true),
                new DiscoverySettings(false, TimeSpan.ZERO),
                costModel(file.at("prices")));
    }

    private static List<RequestClass> requestClasses(ConfigValue categories) {
        List<RequestClass> requestClasses = new ArrayList<>(
                categories.eachKey(RoutingSettingsParser::requestClass).values());
        if (requestClasses.isEmpty()) {
            categories.addMistake(
                    "no category is named", "write one with its expected and abandon time and its effect");
        }
        return requestClasses;
    }

    private static RequestClass requestClass(String name, ConfigValue category) {
        TimeSpan latencyObjective = span(category.at("expected"), null);
        TimeSpan deadline = span(category.at("abandon"), null);
        Idempotency idempotency = category.at("effect").word(Idempotency.class, null);
        TimeSpan deduplicationWindow = span(category.at("remembered"), "0 s");
        if (deadline.nanos() > 0 && latencyObjective.isLongerThan(deadline)) {
            category.at("expected").addMistake("the expected time is longer than the abandon time", "make it shorter");
        }
        if (idempotency == Idempotency.FINGERPRINTED && deduplicationWindow.nanos() == 0) {
            category.at("remembered")
                    .addMistake(
                            "a fingerprinted category says for how long repeats are dropped",
                            "write for example \"remembered: 8 s\"");
        }
        return new RequestClass(
                name,
                latencyObjective,
                deadline,
                category.at("credit").number(1, 0, 1e9),
                category.at("late_credit").number(0, 0, 1),
                idempotency,
                category.at("group").word(DeduplicationScope.class, DeduplicationScope.ALL),
                deduplicationWindow,
                false,
                category.at("expected_stretch").number(0, 0, 1000));
    }

    private static List<Tenant> tenants(ConfigValue accounts) {
        List<Tenant> tenants =
                new ArrayList<>(accounts.eachKey(RoutingSettingsParser::tenant).values());
        double shares = tenants.stream().mapToDouble(Tenant::share).sum();
        if (shares > MAX_SUM_OF_SHARES) {
            accounts.addMistake(String.format("the shares add up to %.2f", shares), "make it 1 at the most");
        }
        return tenants;
    }

    private static Tenant tenant(String name, ConfigValue account) {
        return new Tenant(
                name, account.at("share").number(0, 1), account.at("per_second").number(0, 0, 1e9));
    }

    private static AttemptLimits attemptLimits(ConfigValue allowances, TimeSpan connectTimeout) {
        return new AttemptLimits(
                allowances.at("legs").whole(3, 1, 100),
                allowances.at("second_legs").flag(false),
                allowances.at("cancel").flag(true),
                allowances.at("probes").flag(false),
                false,
                allowances.at("retry_after").flag(true),
                span(allowances.at("longest_retry_after"), "2 s"),
                allowances.at("over_share_credit").number(1, 0, 1),
                allowances.at("credit_by_work").flag(false),
                connectTimeout);
    }

    private static ResponseGrace responseGrace(ConfigValue rules) {
        return new ResponseGrace(span(rules.at("answer_grace"), "15 ms"), span(rules.at("drain_grace"), "1 s"));
    }

    private static SlowStartSettings slowStart(ConfigValue cold) {
        return new SlowStartSettings(
                cold.at("start_share").number(0.25, 0.001, 1),
                span(cold.at("warm_after"), "15 s"),
                cold.at("fall_multiple").number(2, 0.1, 1000),
                span(cold.at("fall_after"), "1500 ms"));
    }

    private static LoadQuota loadQuota(ConfigValue ration) {
        return new LoadQuota(
                ration.at("free").number(0, 0, 1e6),
                ration.at("share").number(0, 0, 100),
                span(ration.at("window"), "0 s"));
    }

    private static InstanceSettings instances(ConfigValue copies, List<Double> workerMemoryMb) {
        return new InstanceSettings(
                span(copies.at("kept"), "10 s"),
                copies.at("orders").flag(false),
                copies.at("loads_on_miss").flag(true),
                span(copies.at("order_timeout"), "10 s"),
                copies.at("tells_warm").flag(true),
                copies.at("tells_crowd").flag(true),
                workerMemoryMb);
    }

    private static CostModel costModel(ConfigValue prices) {
        return new CostModel(
                prices.at("crossing").number(0, 0, 1),
                prices.at("waste").number(0, 0, 1),
                prices.at("probe").number(0, 0, 1),
                prices.at("fetch").number(0, 0, 1),
                prices.at("late_failure").number(0, 0, 1),
                prices.at("idle_memory").number(0, 0, 1));
    }

    /** A default that is null stands for a key that must be there. */
    private static TimeSpan span(ConfigValue value, String defaultSpan) {
        return new TimeSpan(value.span(defaultSpan));
    }
}
