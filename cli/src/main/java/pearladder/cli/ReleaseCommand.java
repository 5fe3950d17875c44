package pearladder.cli;

import java.nio.file.Path;
import java.util.List;
import pearladder.rollout.RolloutTarget;
import pearladder.router.kserve.RolloutClient;
import pearladder.router.kserve.RolloutPlanParser;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "release",
        mixinStandardHelpOptions = true,
        description = {
            "Shift models to a new version in steps, and take them back in one order.",
            "Every order goes to all routers named; 1 where one of them did not take it."
        })
final class ReleaseCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    /** Where the routers are, and who orders. */
    static final class Routers {
        @Option(
                names = "--routers",
                required = true,
                split = ",",
                paramLabel = "HOST:PORT",
                description = "the admin doors of the routers")
        List<String> doors;

        @Option(
                names = "--by",
                defaultValue = "${sys:user.name}",
                description = "who orders (default: ${DEFAULT-VALUE})")
        String by;

        @Option(names = "--all", description = "also all routers that these learn orders from")
        boolean all;

        RolloutClient operator() {
            RolloutClient operator = new RolloutClient(doors, by);
            return all ? operator.andOthers() : operator;
        }
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "start, status, step, pause, resume, rollback or history is missing");
    }

    @Command(name = "start", mixinStandardHelpOptions = true, description = "Begin the release of a plan.")
    int start(
            @CommandLine.Mixin Routers routers,
            @Parameters(index = "0", paramLabel = "PLAN", description = "its file") Path plan) {
        return told(routers.operator().start(RolloutPlanParser.read(plan)));
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "How every release stands at each router.")
    int status(@CommandLine.Mixin Routers routers) {
        routers.operator().status().forEach(spec.commandLine().getOut()::println);
        return 0;
    }

    @Command(
            name = "history",
            mixinStandardHelpOptions = true,
            description = "Who ordered what and when, as the routers keep it.")
    int history(@CommandLine.Mixin Routers routers) {
        routers.operator().history().forEach(spec.commandLine().getOut()::println);
        return 0;
    }

    @Command(
            name = "step",
            mixinStandardHelpOptions = true,
            description = "Go to the next step once copies stand for it.")
    int step(
            @CommandLine.Mixin Routers routers,
            @Parameters(paramLabel = "MODEL", description = "none for all") List<String> models) {
        return change(
                routers,
                models,
                before -> new RolloutTarget(
                        0,
                        before.plan(),
                        RolloutTarget.Mode.RUNNING,
                        Math.min(before.step() + 1, before.plan().steps().size() - 1),
                        "",
                        0));
    }

    @Command(name = "pause", mixinStandardHelpOptions = true, description = "Stay at the share that is reached.")
    int pause(
            @CommandLine.Mixin Routers routers,
            @Parameters(paramLabel = "MODEL", description = "none for all") List<String> models) {
        return change(
                routers,
                models,
                before -> new RolloutTarget(0, before.plan(), RolloutTarget.Mode.PAUSED, before.step(), "", 0));
    }

    @Command(name = "resume", mixinStandardHelpOptions = true, description = "Go on by the plan, also after a breach.")
    int resume(
            @CommandLine.Mixin Routers routers,
            @Parameters(paramLabel = "MODEL", description = "none for all") List<String> models) {
        return change(
                routers,
                models,
                before -> new RolloutTarget(0, before.plan(), RolloutTarget.Mode.RUNNING, before.step(), "", 0));
    }

    @Command(
            name = "rollback",
            mixinStandardHelpOptions = true,
            description = "Everything back to the old version at once.")
    int rollback(
            @CommandLine.Mixin Routers routers,
            @Parameters(paramLabel = "MODEL", description = "none for all") List<String> models) {
        return change(
                routers,
                models,
                before -> new RolloutTarget(0, before.plan(), RolloutTarget.Mode.ROLLED_BACK, 0, "", 0));
    }

    private int change(Routers routers, List<String> models, java.util.function.UnaryOperator<RolloutTarget> change) {
        return told(routers.operator().change(models == null ? List.of() : models, change));
    }

    private int told(RolloutClient.Told told) {
        told.lines().forEach(spec.commandLine().getOut()::println);
        if (told.asked() == 0) {
            spec.commandLine().getOut().println("nothing to order");
        }
        return told.asked() > 0 && told.took() == told.asked() ? 0 : 1;
    }
}
