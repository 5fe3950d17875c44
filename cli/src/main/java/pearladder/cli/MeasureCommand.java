package pearladder.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import pearladder.testbed.Benchmark;
import pearladder.testbed.DecisionCost;
import pearladder.testbed.QueueCost;
import pearladder.testbed.ReleaseTrials;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description = "Measure what the router adds to a call, and what one decision costs; on loopback, some minutes.")
final class MeasureCommand implements Callable<Integer> {
    @Option(names = "--out", defaultValue = "measure-out", paramLabel = "DIR", description = "for logs")
    private Path out;

    @Option(names = "--rounds", defaultValue = "5", description = "rounds for each way (default: ${DEFAULT-VALUE})")
    private int rounds;

    @Option(names = "--seconds", defaultValue = "4", description = "seconds a round (default: ${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--releases",
            description = "instead, trials of the release module alone: shares, and wrong and missed verdicts")
    private boolean releases;

    @Option(names = "--queue", description = "instead, what an event costs in the rehearsals' queue")
    private boolean queue;

    @Option(
            names = "--records",
            description = "instead, what records cost a call: without, with, and with a store that stalls")
    private boolean records;

    @Override
    public Integer call() throws IOException {
        Logs.setUp(Logs.Form.TEXT);
        if (queue) {
            QueueCost.run(rounds).forEach(System.out::println);
            return 0;
        }
        if (releases) {
            ReleaseTrials.run().forEach(System.out::println);
            return 0;
        }
        if (!records) {
            System.out.println("decisions alone");
            DecisionCost.run(PolicyChoice.MODULE.maker::make, rounds, 12, 92, 500)
                    .forEach(System.out::println);
        }
        Benchmark.run(SelfCommand.command(), out, rounds, seconds, records, System.out);
        return 0;
    }
}
