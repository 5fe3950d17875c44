package pearladder.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import pearladder.testbed.Benchmark;
import pearladder.testbed.DecisionCost;
import pearladder.testbed.QueueCost;
import pearladder.testbed.RolloutTrials;
import pearladder.testbed.growth.FleetGrowth;
import pearladder.testbed.growth.GrowthRow;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the router and the policy on this machine. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description =
                "Measure what the router adds to a request, and what one decision costs; on loopback, some minutes.")
final class MeasureCommand implements Callable<Integer> {
    @Option(names = "--out", defaultValue = "measure-out", paramLabel = "DIR", description = "folder for logs")
    private Path out;

    @Option(names = "--rounds", defaultValue = "5", description = "rounds for each variant (default: ${DEFAULT-VALUE})")
    private int rounds;

    @Option(names = "--seconds", defaultValue = "4", description = "seconds per round (default: ${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--releases",
            description = "instead, trials of the rollout decisions alone: shares, and wrong and missed verdicts")
    private boolean rollouts;

    @Option(names = "--queue", description = "instead, what an event costs in the simulation's queue")
    private boolean queue;

    @Option(
            names = "--records",
            description = "instead, what the event log costs a request: without, with, and with a disk that stalls")
    private boolean eventLog;

    @Option(
            names = "--workers",
            split = ",",
            paramLabel = "N",
            description =
                    "instead, what a deployed router needs with fleets of so many workers; from a built repository")
    private int[] workers;

    private void printGrowth() throws IOException, InterruptedException {
        FleetGrowth growth = new FleetGrowth(
                Path.of("").toAbsolutePath(),
                out,
                seconds,
                size -> DecisionCost.micros(PolicyChoice.MODULE.maker::create, rounds, size));
        System.out.println(GrowthRow.heading());
        for (int size : workers) {
            System.out.println(growth.measure(size).line());
        }
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        Logs.setUp(Logs.Form.TEXT);
        if (workers != null) {
            printGrowth();
            return 0;
        }
        if (queue) {
            QueueCost.run(rounds).forEach(System.out::println);
            return 0;
        }
        if (rollouts) {
            RolloutTrials.run().forEach(System.out::println);
            return 0;
        }
        if (!eventLog) {
            System.out.println("decisions alone");
            DecisionCost.run(PolicyChoice.MODULE.maker::create, rounds, 12, 92, 500)
                    .forEach(System.out::println);
        }
        Benchmark.run(OwnProcess.command(), out, rounds, seconds, eventLog, System.out);
        return 0;
    }
}
