package pearladder.terms;

import java.util.Map;
import pearladder.api.Facts;
import pearladder.api.Facts.Account;
import pearladder.api.Facts.Allowances;
import pearladder.api.Facts.Answering;
import pearladder.api.Facts.ColdStart;
import pearladder.api.Facts.Copies;
import pearladder.api.Facts.Effect;
import pearladder.api.Facts.Group;
import pearladder.api.Facts.Prices;
import pearladder.api.Facts.Ration;
import pearladder.api.Facts.Reports;
import pearladder.api.Facts.Roll;
import pearladder.api.Facts.Terms;

/** Turns the facts object, on the simulator's wire or in a platform's configuration, into the module's. */
public final class FactsReader {
    private static final Map<String, Effect> EFFECTS =
            Map.of("free", Effect.RETRIABLE, "guarded", Effect.FINGERPRINTED, "single_shot", Effect.BINDING);
    private static final Map<String, Group> GROUPS = Map.of("all", Group.ALL, "zone", Group.ZONE, "cell", Group.CELL);

    private FactsReader() {}

    public static Facts read(Node facts) {
        Node caps = facts.at("Caps");
        Node rules = facts.at("Rules");
        Node family = facts.at("FamilyInfo");
        Node penalties = facts.at("Penalties");
        Node stats = facts.at("Stats");
        return new Facts(
                facts.at("MyNumber").whole(0),
                Math.max(1, facts.at("PeersTotal").whole(1)),
                facts.at("Zone").textOr(""),
                facts.at("QuantumNs").span(),
                facts.at("Services").each(FactsReader::terms),
                facts.at("Accounts")
                        .each(a -> new Account(
                                a.at("Name").text(),
                                a.at("Share").number(0),
                                a.at("QuotaPerS").number(0))),
                new Allowances(
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
                new Answering(
                        rules.at("GraceToAnswerNs").span(),
                        rules.at("StopSendingWithinNs").span()),
                new ColdStart(
                        rules.at("StartCapacity").number(1),
                        rules.at("ColdNs").span(),
                        rules.at("OverloadFactor").number(1),
                        rules.at("OverloadForNs").span()),
                new Ration(
                        family.at("LoadFree").number(0),
                        family.at("LoadRatio").number(0),
                        family.at("LoadSpanNs").span()),
                new Copies(
                        family.at("LingerIdleNs").span(),
                        family.at("LoadControl").flag(false),
                        family.at("OnMiss").textOr("load").equals("load"),
                        family.at("OrderTimeoutNs").span(),
                        family.at("TellsWarm").flag(false),
                        family.at("CountsAlike").flag(false),
                        family.at("MachineMb").each(mb -> mb.number(0))),
                new Reports(
                        stats.at("Fields").each(Node::text),
                        stats.at("Via").textOr("none").equals("answers")),
                new Roll(
                        facts.at("MembershipMode").textOr("push").equals("ask"),
                        rules.at("MustAskInNs").span()),
                new Prices(
                        penalties.at("CrossZone").number(0),
                        penalties.at("Waste").number(0),
                        penalties.at("Probe").number(0),
                        penalties.at("Origin").number(0),
                        penalties.at("LateFail").number(0),
                        family.at("IdleMemoryCost").number(0)));
    }

    private static Terms terms(Node service) {
        return new Terms(
                service.at("Name").text(),
                service.at("AimNs").span(),
                service.at("GiveUpNs").span(),
                service.at("Worth").number(1),
                service.at("LateWorth").number(0),
                service.at("Effect").oneOf(EFFECTS),
                service.at("DedupScope").value() == null
                        ? Group.ALL
                        : service.at("DedupScope").oneOf(GROUPS),
                service.at("KeyTtlNs").span(),
                service.at("Streamed").flag(false),
                service.at("AimStretch").number(0));
    }
}
