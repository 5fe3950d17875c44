package pearladder.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import pearladder.routing.StickyFirstFitPolicy;

/** A scenario of 12 s with three routers, eight workers, rollouts and faults. */
final class SmallScenario {
    private static final String SCRIPT =
            """
            day: {name: small, lasting: 12 s, seed: 9, halls: [east, west], routers: 3, rate: 120}
            clients: {tries: 3, pause: 150 ms, front_lag: 500 ms, leaving: 0.03}
            traffic:
              - {category: draft, share: 0.6, models: pair-, count: 24, work: 15 ms}
              - {category: commit, share: 0.2, models: pair-, count: 24, work: 15 ms}
              - {category: post, share: 0.2, models: pair-, count: 24, work: 15 ms}
            releases:
              - {at: 1 s, order: start, models: pair-, count: 24, from: "", to: "2",
                 steps: [0.3, 1], hold: 2 s, least_calls: 3}
              - {at: 7 s, order: rollback, models: pair-, count: 24}
            troubles:
              - {at: 2 s, lasting: 2 s, what: cut, share: 0.3}
              - {at: 3 s, lasting: 1 s, what: routers-killed, share: 0.5}
              - {at: 5 s, lasting: 3 s, what: rolling-deploy, share: 0.5}
              - {at: 6 s, lasting: 2 s, what: failing, share: 0.3, part: 0.8}
              - {at: 8 s, lasting: 2 s, what: hall-lost, hall: west}
            router:
              categories:
                draft: {expected: 1 s, abandon: 2 s, effect: retriable}
                commit: {expected: 1 s, abandon: 2 s, effect: fingerprinted, remembered: 8 s}
                post: {expected: 1 s, abandon: 2 s, effect: binding}
              models:
                - {name: "pair-*", memory: 300 MB, lanes: 4, usual_load: 100 ms}
              rules:
                ration: {free: 4, share: 0.2, window: 5 s}
              copies: {kept: 2 s, orders: true, engine_memory: [4 GB]}
            fleet:
              cables: true
              list: {lag: 200 ms}
              kinds: {std: {cores: 4, memory: 4 GB, kept: 2 s}}
              models: [{name: "pair-*", memory: 300 MB, lanes: 4, fetch: 60 ms, start: 30 ms}]
              engines: [{name: engine, count: 8, kind: std, halls: [east, west]}]
            """;

    private SmallScenario() {}

    /** Returns a new copy of the script, which the caller may modify. */
    static ObjectNode script() throws IOException {
        return (ObjectNode) new YAMLMapper().readTree(SCRIPT);
    }

    static Simulation.Result run(ObjectNode script) throws IOException {
        return Simulation.run(script, "small", StickyFirstFitPolicy::new, null, null);
    }
}
