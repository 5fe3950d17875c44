package pearladder.testbed;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import pearladder.config.ConfigValue;
import pearladder.config.YamlParser;

/**
 * A grid of runs, as described by an experiment file.
 *
 * @param base script of the scenario that is varied
 * @param trace trace that is replayed in place of the load of the script, or null
 */
record ExperimentPlan(String name, Path base, TraceWorkload.ReplaySettings trace, List<Run> runs) {
    /** Which faults a run injects; the constant names are values in experiment files. */
    enum Faults {
        /** The faults of the script. */
        AS_WRITTEN,
        /** No faults. */
        NONE
    }

    private static final String POLICY = "module";
    private static final String RANDOM_POLICY = "random";
    private static final int MAX_WORKERS = 10_000;
    private static final int MAX_ROUTERS = 64;

    /** Numbers of workers and routers that are varied together. */
    private record Size(int workers, int routers) {}

    /** One run; 0 or NaN keeps the value of the script. */
    record Run(String policy, int workers, int routers, double rate, double speed, Faults faults, int seed) {
        /** Returns the folder name of the run; runs that differ only in their seed differ only after the last dot. */
        String label() {
            StringBuilder label = new StringBuilder(policy);
            if (workers > 0) {
                label.append("-e").append(workers);
            }
            if (routers > 0) {
                label.append("-r").append(routers);
            }
            if (!Double.isNaN(rate)) {
                label.append("-q").append(formatNumber(rate));
            }
            if (!Double.isNaN(speed)) {
                label.append("-x").append(formatNumber(speed));
            }
            if (faults == Faults.NONE) {
                label.append("-calm");
            }
            return label.append(".s").append(seed).toString();
        }

        private static String formatNumber(double number) {
            return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
        }
    }

    /** Reads a file; throws {@link pearladder.config.ConfigErrors.ConfigException} listing all errors in it. */
    static ExperimentPlan read(Path file) {
        return read(YamlParser.parse(file), file.toAbsolutePath().getParent());
    }

    /** Reads a file that is already parsed; its paths are relative to the folder. */
    static ExperimentPlan read(ConfigValue root, Path folder) {
        ConfigValue experiment = root.at("experiment");
        ConfigValue vary = experiment.at("vary");
        List<String> policies = orDefault(vary.at("policy").each(ExperimentPlan::policy), POLICY);
        List<Size> sizes = sizes(vary);
        List<Double> rates = orDefault(vary.at("rate").each(value -> value.number(0.1, 1e6)), Double.NaN);
        List<Double> speeds = orDefault(vary.at("speed").each(value -> value.number(0.001, 1e6)), Double.NaN);
        List<Faults> faults =
                orDefault(vary.at("troubles").each(value -> value.enumConstant(Faults.class, null)), Faults.AS_WRITTEN);
        List<Integer> seeds = orDefault(vary.at("seed").each(value -> value.wholeNumber(0, Integer.MAX_VALUE)), 1);
        TraceWorkload.ReplaySettings trace =
                experiment.at("trace").isGiven() ? trace(experiment.at("trace"), folder) : null;
        if (trace == null && !speeds.get(0).isNaN()) {
            vary.at("speed").addError("only a trace has a speed", "name a trace, or vary the rate");
        }
        String name = experiment.at("name").text("experiment");
        Path base = folder.resolve(experiment.at("base").text());
        root.requireValid();
        List<Run> runs = new ArrayList<>();
        for (String policy : policies) {
            for (Size size : sizes) {
                runs.addAll(runs(policy, size, rates, speeds, faults, seeds));
            }
        }
        return new ExperimentPlan(name, base, trace, runs);
    }

    private static List<Run> runs(
            String policy,
            Size size,
            List<Double> rates,
            List<Double> speeds,
            List<Faults> faults,
            List<Integer> seeds) {
        List<Run> runs = new ArrayList<>();
        for (double rate : rates) {
            for (double speed : speeds) {
                for (Faults faultChoice : faults) {
                    seeds.forEach(seed ->
                            runs.add(new Run(policy, size.workers(), size.routers(), rate, speed, faultChoice, seed)));
                }
            }
        }
        return runs;
    }

    /** Returns the listed sizes or, if none are listed, all combinations of worker and router counts. */
    private static List<Size> sizes(ConfigValue vary) {
        List<Size> sizes = new ArrayList<>(vary.at("sizes")
                .each(size -> new Size(
                        size.at("engines").wholeNumber(1, 1, MAX_WORKERS),
                        size.at("routers").wholeNumber(1, 1, MAX_ROUTERS))));
        List<Integer> workers = orDefault(vary.at("engines").each(value -> value.wholeNumber(1, MAX_WORKERS)), 0);
        List<Integer> routers = orDefault(vary.at("routers").each(value -> value.wholeNumber(1, MAX_ROUTERS)), 0);
        if (sizes.isEmpty()) {
            workers.forEach(count -> routers.forEach(number -> sizes.add(new Size(count, number))));
        } else if (workers.get(0) > 0 || routers.get(0) > 0) {
            vary.at("sizes")
                    .addError(
                            "sizes can't be combined with engines or routers",
                            "keep either sizes or engines and routers");
        }
        return sizes;
    }

    private static String policy(ConfigValue value) {
        String word = value.text();
        if (!word.equals(POLICY) && !word.equals(RANDOM_POLICY)) {
            value.addError("unknown policy \"" + word + "\"", "write module or random");
        }
        return word;
    }

    private static TraceWorkload.ReplaySettings trace(ConfigValue trace, Path folder) {
        return new TraceWorkload.ReplaySettings(
                folder.resolve(trace.at("file").text()),
                null,
                null,
                null,
                1,
                trace.at("window").durationNanos("60 s"),
                trace.at("most").wholeNumber(0, 0, Integer.MAX_VALUE),
                trace.at("lasting").durationNanos("0 s"),
                trace.at("work_scale").number(1, 0, 1e6),
                trace.at("longest_work").durationNanos("500 ms"),
                trace.at("usual_work").durationNanos("20 ms"),
                false);
    }

    private static <T> List<T> orDefault(List<T> values, T defaultValue) {
        return values.isEmpty() ? List.of(defaultValue) : values;
    }
}
