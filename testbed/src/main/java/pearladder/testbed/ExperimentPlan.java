package pearladder.testbed;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import pearladder.config.ConfigValue;
import pearladder.config.YamlParser;

/**
 * A grid of runs as its file states it.
 *
 * @param base the day's script that is varied
 * @param trace replayed in place of its traffic, or null
 */
record ExperimentPlan(String name, Path base, TraceWorkload.Terms trace, List<Run> runs) {
    enum Troubles {
        AS_WRITTEN,
        NONE
    }

    /** Engines and routers that are varied together. */
    private record Size(int engines, int routers) {}

    /** One run; 0 or a NaN keeps what the script says. */
    record Run(String policy, int engines, int routers, double rate, double speed, Troubles troubles, int seed) {
        /** A folder's name; runs that differ only in their seed differ only behind the last dot. */
        String label() {
            return policy + (engines > 0 ? "-e" + engines : "") + (routers > 0 ? "-r" + routers : "")
                    + (Double.isNaN(rate) ? "" : "-q" + plain(rate)) + (Double.isNaN(speed) ? "" : "-x" + plain(speed))
                    + (troubles == Troubles.NONE ? "-calm" : "") + ".s" + seed;
        }

        private static String plain(double number) {
            return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
        }
    }

    static ExperimentPlan read(Path file) {
        return read(YamlParser.read(file), file.toAbsolutePath().getParent());
    }

    static ExperimentPlan read(ConfigValue whole, Path folder) {
        ConfigValue experiment = whole.at("experiment");
        ConfigValue vary = experiment.at("vary");
        List<String> policies = orElse(vary.at("policy").each(ExperimentPlan::policy), "module");
        List<Size> sizes = sizes(vary);
        List<Double> rates = orElse(vary.at("rate").each(v -> v.number(0.1, 1e6)), Double.NaN);
        List<Double> speeds = orElse(vary.at("speed").each(v -> v.number(0.001, 1e6)), Double.NaN);
        List<Troubles> troubles =
                orElse(vary.at("troubles").each(v -> v.word(Troubles.class, null)), Troubles.AS_WRITTEN);
        List<Integer> seeds = orElse(vary.at("seed").each(v -> v.whole(0, Integer.MAX_VALUE)), 1);
        TraceWorkload.Terms trace = experiment.at("trace").given() ? trace(experiment.at("trace"), folder) : null;
        if (trace == null && !speeds.get(0).isNaN()) {
            vary.at("speed").wrong("only a trace has a speed", "name a trace, or vary the rate");
        }
        List<Run> runs = new ArrayList<>();
        for (String policy : policies) {
            for (Size size : sizes) {
                for (double rate : rates) {
                    for (double speed : speeds) {
                        for (Troubles trouble : troubles) {
                            seeds.forEach(seed -> runs.add(
                                    new Run(policy, size.engines(), size.routers(), rate, speed, trouble, seed)));
                        }
                    }
                }
            }
        }
        String name = experiment.at("name").text("experiment");
        Path base = folder.resolve(experiment.at("base").text());
        whole.done();
        return new ExperimentPlan(name, base, trace, runs);
    }

    /** Sizes that grow together are listed as such; else every number of engines meets every number of routers. */
    private static List<Size> sizes(ConfigValue vary) {
        List<Size> sizes = new ArrayList<>(vary.at("sizes")
                .each(size -> new Size(
                        size.at("engines").whole(1, 1, 10_000),
                        size.at("routers").whole(1, 1, 64))));
        List<Integer> engines = orElse(vary.at("engines").each(v -> v.whole(1, 10_000)), 0);
        List<Integer> routers = orElse(vary.at("routers").each(v -> v.whole(1, 64)), 0);
        if (sizes.isEmpty()) {
            engines.forEach(count -> routers.forEach(number -> sizes.add(new Size(count, number))));
        } else if (engines.get(0) > 0 || routers.get(0) > 0) {
            vary.at("sizes").wrong("sizes are listed, and engines or routers beside them", "keep one of the two ways");
        }
        return sizes;
    }

    private static String policy(ConfigValue value) {
        String word = value.text();
        if (!word.equals("module") && !word.equals("random")) {
            value.wrong("unknown policy \"" + word + "\"", "write module or random");
        }
        return word;
    }

    private static TraceWorkload.Terms trace(ConfigValue trace, Path folder) {
        return new TraceWorkload.Terms(
                folder.resolve(trace.at("file").text()),
                null,
                null,
                null,
                1,
                trace.at("window").span("60 s"),
                trace.at("most").whole(0, 0, Integer.MAX_VALUE),
                trace.at("lasting").span("0 s"),
                trace.at("work_scale").number(1, 0, 1e6),
                trace.at("longest_work").span("500 ms"),
                trace.at("usual_work").span("20 ms"),
                false);
    }

    private static <T> List<T> orElse(List<T> values, T otherwise) {
        return values.isEmpty() ? List.of(otherwise) : values;
    }
}
