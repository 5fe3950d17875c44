package pearladder.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;
import pearladder.rollout.RolloutTarget;
import pearladder.router.kserve.RolloutClient;
import pearladder.router.kserve.RolloutPlanParser;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Starts, shows and controls rollouts at running routers. */
@Command(
        name = "release",
        mixinStandardHelpOptions = true,
        description = {
            "Shift models to a new version in steps, and roll them back with one command.",
            "Every command goes to all routers named; ends with 1 if one of them did not accept it."
        })
final class RolloutCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    /** Options that name the routers and the operator. */
    static final class Routers {
        @Option(
                names = "--routers",
                required = true,
                split = ",",
                paramLabel = "HOST:PORT",
                description = "admin addresses of the routers")
        List<String> adminAddresses;

        @Option(
                names = "--by",
                defaultValue = "${sys:user.name}",
                description = "operator recorded in the journal (default: ${DEFAULT-VALUE})")
        String operator;

        @Option(names = "--all", description = "also all routers that these fetch rollouts from")
        boolean all;

        RolloutClient client() {
            RolloutClient client = new RolloutClient(adminAddresses, operator);
            return all ? client.withPeers() : client;
        }
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "start, status, step, pause, resume, rollback or history is missing");
    }

    @Command(name = "start", mixinStandardHelpOptions = true, description = "Start the rollout of a plan.")
    int start(
            @CommandLine.Mixin Routers routers,
            @Parameters(index = "0", paramLabel = "PLAN", description = "the plan's file") Path plan) {
        return report(routers.client().start(RolloutPlanParser.read(plan)));
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "Show every rollout at each router.")
    int status(@CommandLine.Mixin Routers routers) {
        routers.client().status().forEach(spec.commandLine().getOut()::println);
        return 0;
    }

    @Command(
            name = "history",
            mixinStandardHelpOptions = true,
            description = "Show who did what and when, from the routers' journals.")
    int history(@CommandLine.Mixin Routers routers) {
        routers.client().history().forEach(spec.commandLine().getOut()::println);
        return 0;
    }

    @Command(
            name = "step",
            mixinStandardHelpOptions = true,
            description = "Go to the next step once its instances are loaded.")
    int step(
            @CommandLine.Mixin Routers routers,
            @Parameters(paramLabel = "MODEL", description = "all if none is named") List<String> models) {
        return change(
                routers,
                models,
                before -> target(
                        before,
                        RolloutTarget.Mode.RUNNING,
                        Math.min(before.step() + 1, before.plan().steps().size() - 1)));
    }

    @Command(name = "pause", mixinStandardHelpOptions = true, description = "Stay at the current share.")
    int pause(
            @CommandLine.Mixin Routers routers,
            @Parameters(paramLabel = "MODEL", description = "all if none is named") List<String> models) {
        return change(routers, models, before -> target(before, RolloutTarget.Mode.PAUSED, before.step()));
    }

    @Command(
            name = "resume",
            mixinStandardHelpOptions = true,
            description = "Continue the plan, also after the new version was found worse.")
    int resume(
            @CommandLine.Mixin Routers routers,
            @Parameters(paramLabel = "MODEL", description = "all if none is named") List<String> models) {
        return change(routers, models, before -> target(before, RolloutTarget.Mode.RUNNING, before.step()));
    }

    @Command(
            name = "rollback",
            mixinStandardHelpOptions = true,
            description = "Send everything back to the old version at once.")
    int rollback(
            @CommandLine.Mixin Routers routers,
            @Parameters(paramLabel = "MODEL", description = "all if none is named") List<String> models) {
        return change(routers, models, before -> target(before, RolloutTarget.Mode.ROLLED_BACK, 0));
    }

    /** Returns the same plan in another mode or at another step; the client fills in epoch, operator and time. */
    private static RolloutTarget target(RolloutTarget before, RolloutTarget.Mode mode, int step) {
        return new RolloutTarget(0, before.plan(), mode, step, "", 0);
    }

    private int change(Routers routers, List<String> models, UnaryOperator<RolloutTarget> change) {
        return report(routers.client().change(models == null ? List.of() : models, change));
    }

    private int report(RolloutClient.RolloutResult result) {
        result.lines().forEach(spec.commandLine().getOut()::println);
        if (result.requestedCount() == 0) {
            spec.commandLine().getOut().println("nothing to order");
        }
        return result.requestedCount() > 0 && result.acceptedCount() == result.requestedCount() ? 0 : 1;
    }
}
