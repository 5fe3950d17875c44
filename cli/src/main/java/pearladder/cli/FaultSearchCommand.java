package pearladder.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import pearladder.simulation.FaultSearch;
import pearladder.testbed.ScenarioScripts;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Searches for the faults under which the routers do worst. */
@Command(
        name = "search",
        mixinStandardHelpOptions = true,
        description = {
            "Search by simulation for faults, times and a seed under which routers do worst or break an invariant.",
            "The script's own faults are replaced; what is found is reduced and written as a script."
        })
final class FaultSearchCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the script whose fleet, traffic and invariants are used")
    private Path file;

    @Option(names = "--tries", defaultValue = "64", description = "scripts tried (default: ${DEFAULT-VALUE})")
    private int tries;

    @Option(names = "--jobs", defaultValue = "4", description = "simulations at once (default: ${DEFAULT-VALUE})")
    private int jobs;

    @Option(names = "--seed", defaultValue = "-1", description = "seed of the search, in place of the script's")
    private int seed;

    @Option(
            names = "--out",
            defaultValue = "found.yaml",
            paramLabel = "FILE",
            description = "where the script found is written")
    private Path out;

    @Option(names = "--policy", defaultValue = "MODULE", description = "which policy decides: ${COMPLETION-CANDIDATES}")
    private PolicyChoice policy;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Logs.setUp(Logs.Form.TEXT);
        Logs.quiet();
        if (Files.exists(out)) {
            throw new IOException(out + ": it is there already; name another file");
        }
        ScenarioScripts.check(file);
        YAMLMapper yaml = new YAMLMapper();
        ObjectNode script = (ObjectNode) yaml.readTree(file.toFile());
        if (seed >= 0) {
            script.withObject("/day").put("seed", seed);
        }
        FaultSearch.Found found =
                FaultSearch.search(script, file.toString(), policy.maker::create, tries, jobs, System.out);
        yaml.writeValue(out.toFile(), found.script());
        System.out.println(found.runs() + " rehearsals; the worst found is in " + out
                + (found.violatedInvariant().isEmpty() ? "" : ", which breaks: " + found.violatedInvariant()));
        return found.violatedInvariant().isEmpty() ? 0 : 1;
    }
}
