package pearladder.testbed;

import java.util.Map;
import pearladder.config.ConfigValue;

/**
 * The settings of the routers that the invariant checks use; durations in nanoseconds.
 *
 * @param requestClasses the request classes, by their names
 * @param answerGrace time after its deadline within which a request may still be answered
 * @param drainGrace time within which a router may still send new attempts to a worker after it was notified that the
 *     worker is draining or gone
 * @param warmUpTime time after its start during which a worker is warming up
 * @param overloadWindow time over which the overload of a warming-up worker is measured
 * @param quotaFree number of loads within a window that each router may request regardless of its requests
 * @param quotaShare additional loads for each request sent to the router within the window
 * @param quotaWindow length of the window; 0 if there is no load quota
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
    /** Reads the settings from the router section of a script. */
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
