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

/** Turns the facts object, on the simulator's wire or in a platform's configuration, into the module's. */
public final class RoutingSettingsParser {
    private static final Map<String, Idempotency> EFFECTS = Map.of(
            "free", Idempotency.RETRIABLE, "guarded", Idempotency.FINGERPRINTED, "single_shot", Idempotency.BINDING);
    private static final Map<String, DeduplicationScope> GROUPS =
            Map.of("all", DeduplicationScope.ALL, "zone", DeduplicationScope.ZONE, "cell", DeduplicationScope.CELL);

    private RoutingSettingsParser() {}

    public static RoutingSettings read(JsonNodeReader facts) {
        JsonNodeReader caps = facts.at("Caps");
        JsonNodeReader rules = facts.at("Rules");
        JsonNodeReader family = facts.at("FamilyInfo");
        JsonNodeReader penalties = facts.at("Penalties");
        JsonNodeReader stats = facts.at("Stats");
        return new RoutingSettings(
                facts.at("MyNumber").whole(0),
                Math.max(1, facts.at("PeersTotal").whole(1)),
                facts.at("Zone").textOr(""),
                facts.at("QuantumNs").span(),
                facts.at("Services").each(RoutingSettingsParser::terms),
                facts.at("Accounts")
                        .each(a -> new Tenant(
                                a.at("Name").text(),
                                a.at("Share").number(0),
                                a.at("QuotaPerS").number(0))),
                new AttemptLimits(
                        caps.at("MaxAttempts").whole(1),
                        caps.at("SecondCopies").flag(false),
                        caps.at("MayCancel").flag(false),
                        caps.at("Probes").flag(false),
                        caps.at("Peers").flag(false),
                        caps.at("RetryAfter").flag(false),
                        caps.at("MaxRetryAfterNs").span(),
                        facts.at("OverShareWorth").number(1),
                        facts.at("WorthBy").textOr("request").equals("work"),
                        caps.at("DialTimeoutNs").span()),
                new ResponseGrace(
                        rules.at("GraceToAnswerNs").span(),
                        rules.at("StopSendingWithinNs").span()),
                new SlowStartSettings(
                        rules.at("StartCapacity").number(1),
                        rules.at("ColdNs").span(),
                        rules.at("OverloadFactor").number(1),
                        rules.at("OverloadForNs").span()),
                new LoadQuota(
                        family.at("LoadFree").number(0),
                        family.at("LoadRatio").number(0),
                        family.at("LoadSpanNs").span()),
                new InstanceSettings(
                        family.at("LingerIdleNs").span(),
                        family.at("LoadControl").flag(false),
                        family.at("OnMiss").textOr("load").equals("load"),
                        family.at("OrderTimeoutNs").span(),
                        family.at("TellsWarm").flag(false),
                        family.at("CountsAlike").flag(false),
                        family.at("MachineMb").each(mb -> mb.number(0))),
                new LoadReportSettings(
                        stats.at("Fields").each(JsonNodeReader::text),
                        stats.at("Via").textOr("none").equals("answers")),
                new DiscoverySettings(
                        facts.at("MembershipMode").textOr("push").equals("ask"),
                        rules.at("MustAskInNs").span()),
                new CostModel(
                        penalties.at("CrossZone").number(0),
                        penalties.at("Waste").number(0),
                        penalties.at("Probe").number(0),
                        penalties.at("Origin").number(0),
                        penalties.at("LateFail").number(0),
                        family.at("IdleMemoryCost").number(0)));
    }

    private static RequestClass terms(JsonNodeReader service) {
        return new RequestClass(
                service.at("Name").text(),
                service.at("AimNs").span(),
                service.at("GiveUpNs").span(),
                service.at("Worth").number(1),
                service.at("LateWorth").number(0),
                service.at("Effect").oneOf(EFFECTS),
                service.at("DedupScope").value() == null
                        ? DeduplicationScope.ALL
                        : service.at("DedupScope").oneOf(GROUPS),
                service.at("KeyTtlNs").span(),
                service.at("Streamed").flag(false),
                service.at("AimStretch").number(0));
    }
}
