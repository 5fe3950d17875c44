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

/** Checks a file of any kind that the other commands read. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Check the file of a router, fleet, scenario, experiment or rollout;"
                + " each mistake with line, key and remedy.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the file to check")
    private Path file;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        String kind = "a router";
        ConfigValue value = YamlParser.parse(file);
        if (value.keys().contains("release")) {
            RolloutPlanParser.read(file);
            kind = "a release's plan";
        } else if (value.keys().contains("experiment")) {
            Experiment.check(file);
            kind = "an experiment";
        } else if (value.keys().contains("day")) {
            Scenario.check(file);
            kind = "a day";
        } else if (value.keys().contains("fleet")) {
            FleetPlan.read(value.at("fleet"));
            value.requireValid();
            kind = "a fleet";
        } else {
            RouterConfigParser.read(file);
        }
        spec.commandLine().getOut().println(file + ": " + kind + ", no mistake found");
        return 0;
    }
}
