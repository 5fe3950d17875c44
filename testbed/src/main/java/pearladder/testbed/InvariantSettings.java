package pearladder.testbed;

import java.util.Map;
import pearladder.config.ConfigValue;

/**
 * The rules of a day as its routers' file states them; spans in nanoseconds.
 *
 * @param drainGrace after a router was told that an engine drains or is gone, it sends nothing new there
 * @param warmAfter an engine is cold for so long after its start
 * @param fallAfter the span over which a cold engine is pushed
 * @param rationWindow 0 where orders are not rationed
 */
public record InvariantSettings(
        Map<String, CategoryTerms> categories,
        long answerGrace,
        long drainGrace,
        long warmAfter,
        long fallAfter,
        double rationFree,
        double rationShare,
        long rationWindow) {
    static InvariantSettings read(ConfigValue router) {
        Map<String, CategoryTerms> categories = router.at("categories")
                .eachKey((name, terms) -> new CategoryTerms(
                        name,
                        terms.at("effect").word(CategoryTerms.Effect.class, CategoryTerms.Effect.RETRIABLE),
                        terms.at("group").word(CategoryTerms.Group.class, CategoryTerms.Group.ALL),
                        terms.at("expected").span(),
                        terms.at("abandon").span(),
                        terms.at("remembered").span("0 s"),
                        terms.at("credit").number(1, 0, 1e9),
                        terms.at("late_credit").number(0, 0, 1)));
        ConfigValue rules = router.at("rules");
        ConfigValue ration = rules.at("ration");
        return new InvariantSettings(
                categories,
                rules.at("answer_grace").span("15 ms"),
                rules.at("drain_grace").span("1 s"),
                rules.at("cold").at("warm_after").span("15 s"),
                rules.at("cold").at("fall_after").span("1500 ms"),
                ration.at("free").number(0, 0, 1e6),
                ration.at("share").number(0, 0, 100),
                ration.at("window").span("0 s"));
    }
}
