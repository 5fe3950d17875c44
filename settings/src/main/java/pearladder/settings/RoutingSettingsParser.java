package pearladder.settings;

import java.util.Map;
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

/**
 * Parses the routing settings from the JSON format of the simulator and of the platform's configuration. Values of
 * keys that end in Ns are nanoseconds.
 */
public final class RoutingSettingsParser {
    private static final Map<String, Idempotency> IDEMPOTENCY_BY_NAME = Map.of(
            "free", Idempotency.RETRIABLE, "guarded", Idempotency.FINGERPRINTED, "single_shot", Idempotency.BINDING);
    private static final Map<String, DeduplicationScope> SCOPE_BY_NAME =
            Map.of("all", DeduplicationScope.ALL, "zone", DeduplicationScope.ZONE, "cell", DeduplicationScope.CELL);

    private RoutingSettingsParser() {}

    /**
     * Reads the settings from a JSON object. Missing settings get defaults; only the names of request classes and
     * tenants and the effect of a request class are required.
     *
     * @throws InvalidInputException if a required setting is missing, or one has the wrong type or an unknown value
     */
    public static RoutingSettings read(JsonNodeReader settings) {
        JsonNodeReader rules = settings.at("Rules");
        JsonNodeReader family = settings.at("FamilyInfo");
        return new RoutingSettings(
                settings.at("MyNumber").wholeNumber(0),
                Math.max(1, settings.at("PeersTotal").wholeNumber(1)),
                settings.at("Zone").textOr(""),
                settings.at("QuantumNs").timeSpan(),
                settings.at("Services").each(RoutingSettingsParser::requestClass),
                settings.at("Accounts").each(RoutingSettingsParser::tenant),
                attemptLimits(settings),
                responseGrace(rules),
                slowStart(rules),
                loadQuota(family),
                instances(family),
                loadReports(settings.at("Stats")),
                discovery(settings),
                costs(settings.at("Penalties"), family));
    }

    private static RequestClass requestClass(JsonNodeReader service) {
        return new RequestClass(
                service.at("Name").text(),
                service.at("AimNs").timeSpan(),
                service.at("GiveUpNs").timeSpan(),
                service.at("Worth").number(1),
                service.at("LateWorth").number(0),
                service.at("Effect").oneOf(IDEMPOTENCY_BY_NAME),
                deduplicationScope(service.at("DedupScope")),
                service.at("KeyTtlNs").timeSpan(),
                service.at("Streamed").flag(false),
                service.at("AimStretch").number(0));
    }

    private static DeduplicationScope deduplicationScope(JsonNodeReader scope) {
        return scope.value() == null ? DeduplicationScope.ALL : scope.oneOf(SCOPE_BY_NAME);
    }

    private static Tenant tenant(JsonNodeReader account) {
        return new Tenant(
                account.at("Name").text(),
                account.at("Share").number(0),
                account.at("QuotaPerS").number(0));
    }

    private static AttemptLimits attemptLimits(JsonNodeReader settings) {
        JsonNodeReader caps = settings.at("Caps");
        return new AttemptLimits(
                caps.at("MaxAttempts").wholeNumber(1),
                caps.at("SecondCopies").flag(false),
                caps.at("MayCancel").flag(false),
                caps.at("Probes").flag(false),
                caps.at("Peers").flag(false),
                caps.at("RetryAfter").flag(false),
                caps.at("MaxRetryAfterNs").timeSpan(),
                settings.at("OverShareWorth").number(1),
                settings.at("WorthBy").textOr("request").equals("work"),
                caps.at("DialTimeoutNs").timeSpan());
    }

    private static ResponseGrace responseGrace(JsonNodeReader rules) {
        return new ResponseGrace(
                rules.at("GraceToAnswerNs").timeSpan(),
                rules.at("StopSendingWithinNs").timeSpan());
    }

    private static SlowStartSettings slowStart(JsonNodeReader rules) {
        return new SlowStartSettings(
                rules.at("StartCapacity").number(1),
                rules.at("ColdNs").timeSpan(),
                rules.at("OverloadFactor").number(1),
                rules.at("OverloadForNs").timeSpan());
    }

    private static LoadQuota loadQuota(JsonNodeReader family) {
        return new LoadQuota(
                family.at("LoadFree").number(0),
                family.at("LoadRatio").number(0),
                family.at("LoadSpanNs").timeSpan());
    }

    private static InstanceSettings instances(JsonNodeReader family) {
        return new InstanceSettings(
                family.at("LingerIdleNs").timeSpan(),
                family.at("LoadControl").flag(false),
                family.at("OnMiss").textOr("load").equals("load"),
                family.at("OrderTimeoutNs").timeSpan(),
                family.at("TellsWarm").flag(false),
                family.at("CountsAlike").flag(false),
                family.at("MachineMb").each(memoryMb -> memoryMb.number(0)));
    }

    private static LoadReportSettings loadReports(JsonNodeReader stats) {
        return new LoadReportSettings(
                stats.at("Fields").each(JsonNodeReader::text),
                stats.at("Via").textOr("none").equals("answers"));
    }

    private static DiscoverySettings discovery(JsonNodeReader settings) {
        return new DiscoverySettings(
                settings.at("MembershipMode").textOr("push").equals("ask"),
                settings.at("Rules").at("MustAskInNs").timeSpan());
    }

    private static CostModel costs(JsonNodeReader penalties, JsonNodeReader family) {
        return new CostModel(
                penalties.at("CrossZone").number(0),
                penalties.at("Waste").number(0),
                penalties.at("Probe").number(0),
                penalties.at("Origin").number(0),
                penalties.at("LateFail").number(0),
                family.at("IdleMemoryCost").number(0));
    }
}
