package pearladder.testbed;

import java.util.Map;
import pearladder.config.ConfigValue;

/**
 * What the invariant checks need of the routers' configuration; spans in nanoseconds.
 *
 * @param requestClasses the request classes, by their names
 * @param answerGrace how long after its deadline a request may be answered
 * @param drainGrace how long after a router learned that a worker drains or is gone it may send something new there
 * @param warmUpTime how long after its start a worker warms up
 * @param overloadWindow the span over which a worker that warms up is overloaded
 * @param quotaFree loads within a window that each router may request in any case
 * @param quotaShare further loads for each request to the router within the window
 * @param quotaWindow 0 where there is no load quota
 */
public record InvariantSettings(
        Map<String, RequestClassTerms> requestClasses,
        long answerGrace,
        long drainGrace,
        long warmUpTime,
        long overloadWindow,
        double quotaFree,
        double quotaShare,
        long quotaWindow) {
    /** Reads them from a router's section of a script. */
    static InvariantSettings read(ConfigValue router) {
        ConfigValue rules = router.at("rules");
        ConfigValue quota = rules.at("ration");
        return new InvariantSettings(
                router.at("categories").eachKey(InvariantSettings::terms),
                rules.at("answer_grace").durationNanos("15 ms"),
                rules.at("drain_grace").durationNanos("1 s"),
                rules.at("cold").at("warm_after").durationNanos("15 s"),
                rules.at("cold").at("fall_after").durationNanos("1500 ms"),
                quota.at("free").number(0, 0, 1e6),
                quota.at("share").number(0, 0, 100),
                quota.at("window").durationNanos("0 s"));
    }

    private static RequestClassTerms terms(String name, ConfigValue terms) {
        return new RequestClassTerms(
                name,
                terms.at("effect")
                        .enumConstant(RequestClassTerms.Idempotency.class, RequestClassTerms.Idempotency.RETRIABLE),
                terms.at("group")
                        .enumConstant(
                                RequestClassTerms.DeduplicationScope.class, RequestClassTerms.DeduplicationScope.ALL),
                terms.at("expected").durationNanos(),
                terms.at("abandon").durationNanos(),
                terms.at("remembered").durationNanos("0 s"),
                terms.at("credit").number(1, 0, 1e9),
                terms.at("late_credit").number(0, 0, 1));
    }
}
