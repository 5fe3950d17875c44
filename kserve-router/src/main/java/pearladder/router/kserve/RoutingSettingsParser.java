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
    /** The fields of a worker's load report, in the order of {@link pearladder.kserve.LoadReport}. */
    private static final List<String> LOAD_REPORT_FIELDS = List.of("held", "waiting", "busy", "loads", "pinned");
    /** Shares are rounded to few digits, so that their sum may be slightly more than 1. */
    private static final double MAX_SUM_OF_SHARES = 1.0001;

    private RoutingSettingsParser() {}

    static RoutingSettings parse(ConfigValue file, TimeSpan connectTimeout) {
        ConfigValue router = file.at("router");
        List<RequestClass> requestClasses = requestClasses(file.at("categories"));
        List<Tenant> tenants = tenants(file.at("accounts"));
        List<Double> workerMemoryMb = file.at("copies").at("engine_memory").each(kind -> kind.bytes() / 1e6);
        return new RoutingSettings(
                router.at("number").wholeNumber(0, 0, 1_000_000),
                router.at("peers").wholeNumber(1, 1, 1_000_000),
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

    private static List<RequestClass> requestClasses(ConfigValue section) {
        List<RequestClass> requestClasses = new ArrayList<>(
                section.eachKey(RoutingSettingsParser::requestClass).values());
        if (requestClasses.isEmpty()) {
            section.addError("no category is named", "write one with its expected and abandon time and its effect");
        }
        return requestClasses;
    }

    private static RequestClass requestClass(String name, ConfigValue section) {
        TimeSpan latencyObjective = span(section.at("expected"), null);
        TimeSpan deadline = span(section.at("abandon"), null);
        Idempotency idempotency = section.at("effect").enumConstant(Idempotency.class, null);
        TimeSpan deduplicationWindow = span(section.at("remembered"), "0 s");
        if (deadline.nanos() > 0 && latencyObjective.isLongerThan(deadline)) {
            section.at("expected").addError("the expected time is longer than the abandon time", "make it shorter");
        }
        if (idempotency == Idempotency.FINGERPRINTED && deduplicationWindow.nanos() == 0) {
            section.at("remembered")
                    .addError(
                            "a fingerprinted category needs the time for which repeats are dropped",
                            "write for example \"remembered: 8 s\"");
        }
        return new RequestClass(
                name,
                latencyObjective,
                deadline,
                section.at("credit").number(1, 0, 1e9),
                section.at("late_credit").number(0, 0, 1),
                idempotency,
                section.at("group").enumConstant(DeduplicationScope.class, DeduplicationScope.ALL),
                deduplicationWindow,
                false,
                section.at("expected_stretch").number(0, 0, 1000));
    }

    private static List<Tenant> tenants(ConfigValue section) {
        List<Tenant> tenants =
                new ArrayList<>(section.eachKey(RoutingSettingsParser::tenant).values());
        double shares = tenants.stream().mapToDouble(Tenant::share).sum();
        if (shares > MAX_SUM_OF_SHARES) {
            section.addError(String.format("the shares add up to %.2f", shares), "make it 1 at the most");
        }
        return tenants;
    }

    private static Tenant tenant(String name, ConfigValue tenant) {
        return new Tenant(
                name, tenant.at("share").number(0, 1), tenant.at("per_second").number(0, 0, 1e9));
    }

    private static AttemptLimits attemptLimits(ConfigValue limits, TimeSpan connectTimeout) {
        return new AttemptLimits(
                limits.at("legs").wholeNumber(3, 1, 100),
                limits.at("second_legs").flag(false),
                limits.at("cancel").flag(true),
                limits.at("probes").flag(false),
                false,
                limits.at("retry_after").flag(true),
                span(limits.at("longest_retry_after"), "2 s"),
                limits.at("over_share_credit").number(1, 0, 1),
                limits.at("credit_by_work").flag(false),
                connectTimeout);
    }

    private static ResponseGrace responseGrace(ConfigValue rules) {
        return new ResponseGrace(span(rules.at("answer_grace"), "15 ms"), span(rules.at("drain_grace"), "1 s"));
    }

    private static SlowStartSettings slowStart(ConfigValue slowStart) {
        return new SlowStartSettings(
                slowStart.at("start_share").number(0.25, 0.001, 1),
                span(slowStart.at("warm_after"), "15 s"),
                slowStart.at("fall_multiple").number(2, 0.1, 1000),
                span(slowStart.at("fall_after"), "1500 ms"));
    }

    private static LoadQuota loadQuota(ConfigValue quota) {
        return new LoadQuota(
                quota.at("free").number(0, 0, 1e6),
                quota.at("share").number(0, 0, 100),
                span(quota.at("window"), "0 s"));
    }

    private static InstanceSettings instances(ConfigValue instances, List<Double> workerMemoryMb) {
        return new InstanceSettings(
                span(instances.at("kept"), "10 s"),
                instances.at("orders").flag(false),
                instances.at("loads_on_miss").flag(true),
                span(instances.at("order_timeout"), "10 s"),
                instances.at("tells_warm").flag(true),
                instances.at("tells_crowd").flag(true),
                workerMemoryMb);
    }

    private static CostModel costModel(ConfigValue costs) {
        return new CostModel(
                costs.at("crossing").number(0, 0, 1),
                costs.at("waste").number(0, 0, 1),
                costs.at("probe").number(0, 0, 1),
                costs.at("fetch").number(0, 0, 1),
                costs.at("late_failure").number(0, 0, 1),
                costs.at("idle_memory").number(0, 0, 1));
    }

    /** Parses a span of time; the key is required where the default is null. */
    private static TimeSpan span(ConfigValue value, String defaultSpan) {
        return new TimeSpan(value.durationNanos(defaultSpan));
    }
}
