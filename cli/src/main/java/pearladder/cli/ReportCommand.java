package pearladder.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import pearladder.testbed.Report;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Writes the report of a scenario, a replay or an experiment. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        description =
                "Make one page with tables and charts from the results in a folder and the folders right below it.")
final class ReportCommand implements Callable<Integer> {
    @Parameters(paramLabel = "DIR", description = "of a scenario, a replay or an experiment")
    private Path folder;

    @Override
    public Integer call() throws IOException {
        System.setProperty("java.awt.headless", "true");
        System.out.println(Report.write(folder.toAbsolutePath().normalize()));
        return 0;
    }
}
