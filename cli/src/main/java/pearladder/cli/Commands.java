package pearladder.cli;

import java.io.PrintWriter;
import pearladder.config.ConfigErrors;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** All commands. Exit codes: 0 done, 1 failed or a rule broken, 2 a mistake in the command line or in a file. */
@Command(
        name = "pearladder",
        mixinStandardHelpOptions = true,
        version = "pearladder 0.2.0",
        description = "Runs calls on workers that load functions or models on demand.",
        subcommands = {
            TryCommand.class,
            RouterCommand.class,
            EnginesCommand.class,
            CheckCommand.class,
            ScenarioCommand.class,
            RehearseCommand.class,
            SearchCommand.class,
            MeasureCommand.class,
            PassThroughCommand.class,
            TraceCommand.class,
            ReplayCommand.class,
            ExperimentCommand.class,
            ReportCommand.class,
            ReleaseCommand.class,
            RecordsCommand.class,
            UsageCommand.class,
            WirehostCommand.class,
            PlatformCommand.class,
            CommandLine.HelpCommand.class
        })
final class Commands implements Runnable {
    /** The command runs on in other threads and ends the process itself. */
    static final int RUNNING = -1;

    @Spec
    private CommandSpec spec;

    static int run(String... arguments) {
        return line().execute(arguments);
    }

    static CommandLine line() {
        return new CommandLine(new Commands()).setExecutionExceptionHandler(Commands::failed);
    }

    /** A user's mistake is told in lines, never as a stack trace; a defect of ours keeps its trace in the log. */
    private static int failed(Exception failure, CommandLine line, CommandLine.ParseResult parsed) {
        PrintWriter err = line.getErr();
        if (failure instanceof ConfigErrors.Found found) {
            found.list().forEach(err::println);
            err.flush();
            return 2;
        }
        if (failure instanceof java.nio.file.FileSystemException file) {
            // its message is often the bare path
            err.println("pearladder: " + file.getFile() + ": it can't be read or written"
                    + (file.getReason() == null
                            ? "; check that it and its folder are there"
                            : ": " + file.getReason()));
            return 1;
        }
        if (failure instanceof java.io.IOException || failure instanceof java.io.UncheckedIOException) {
            err.println("pearladder: " + failure.getMessage());
            return 1;
        }
        err.println("pearladder: " + failure);
        org.slf4j.LoggerFactory.getLogger(Commands.class).error("a command failed", failure);
        return 1;
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }
}
