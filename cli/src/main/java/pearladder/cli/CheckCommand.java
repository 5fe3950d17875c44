package pearladder.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import pearladder.config.ConfigValue;
import pearladder.config.YamlParser;
import pearladder.emulator.FleetPlan;
import pearladder.router.kserve.RolloutPlanParser;
import pearladder.router.kserve.RouterConfigParser;
import pearladder.testbed.Experiment;
import pearladder.testbed.Scenario;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Check a router's, a fleet's, a day's, an experiment's or a release's file; each mistake is named with line, key and mend.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "what is checked")
    private Path file;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        String what = "a router";
        ConfigValue value = YamlParser.read(file);
        if (value.keys().contains("release")) {
            RolloutPlanParser.read(file);
            what = "a release's plan";
        } else if (value.keys().contains("experiment")) {
            Experiment.check(file);
            what = "an experiment";
        } else if (value.keys().contains("day")) {
            Scenario.check(file);
            what = "a day";
        } else if (value.keys().contains("fleet")) {
            FleetPlan.read(value.at("fleet"));
            value.done();
            what = "a fleet";
        } else {
            RouterConfigParser.read(file);
        }
        spec.commandLine().getOut().println(file + ": " + what + ", no mistake found");
        return 0;
    }
}
