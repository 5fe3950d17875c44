package pearladder.testbed;

import pearladder.config.YamlParser;

/** A small script of a scenario that several tests use. */
final class TestScenarios {
    static final String SCRIPT =
            """
            day: {name: d, lasting: 20 s, seed: %d, halls: [east, west], rate: 50}
            traffic:
              - {category: draft, share: 0.7, models: pair-, count: 10, work: 20 ms}
              - {category: draft, share: 0.3, models: send-, count: 3, skew: 0, work: 40 ms}
            troubles:
              - {at: 2 s, lasting: 4 s, what: burst, times: 3}
              - {at: 8 s, lasting: 4 s, what: one-offs, share: 0.5}
              - {at: 14 s, lasting: 2 s, what: slow, share: 0.5, times: 4}
              - {at: 15 s, lasting: 1 s, what: hall-lost, hall: west}
            router:
              categories:
                draft: {expected: 1 s, abandon: 3 s, effect: retriable}
            fleet:
              kinds: {std: {cores: 4, memory: 4 GB}}
              models: [{name: "*", memory: 400 MB}]
              engines: [{name: engine, count: 4, kind: std, halls: [east, west]}]
            """;

    private TestScenarios() {}

    /** The plan of the script with a seed. */
    static ScenarioPlan plan(int seed) {
        return ScenarioPlan.read(YamlParser.parse("d.yaml", SCRIPT.formatted(seed)));
    }
}
