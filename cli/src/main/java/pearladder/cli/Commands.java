package pearladder.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.FileSystemException;
import org.slf4j.LoggerFactory;
import pearladder.config.ConfigErrors;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The root command, with the handling of failures that all commands share. */
@Command(
        name = "pearladder",
        mixinStandardHelpOptions = true,
        version = "pearladder 0.2.0",
        description = "Runs requests on workers that load functions or models on demand.",
        subcommands = {
            TryCommand.class,
            RouterCommand.class,
            StandInsCommand.class,
            CheckCommand.class,
            ScenarioCommand.class,
            SimulationCommand.class,
            FaultSearchCommand.class,
            MeasureCommand.class,
            PassThroughCommand.class,
            TraceCommand.class,
            ReplayCommand.class,
            ExperimentCommand.class,
            ReportCommand.class,
            RolloutCommand.class,
            EventLogCommand.class,
            MeteringCommand.class,
            SimulatorAdapterCommand.class,
            PlatformCommand.class,
            CommandLine.HelpCommand.class
        })
final class Commands implements Runnable {
    /** Not an exit code: the command continues in other threads and ends the process itself. */
    static final int RUNNING = -1;

    /** Exit code for a mistake in the command line or in a file. */
    static final int USAGE_ERROR = 2;

    @Spec
    private CommandSpec spec;

    static int run(String... arguments) {
        return commandLine().execute(arguments);
    }

    static CommandLine commandLine() {
        return new CommandLine(new Commands()).setExecutionExceptionHandler(Commands::handleFailure);
    }

    /** Reports a user's mistake in lines, never as a stack trace; the stack trace of a defect goes to the log. */
    private static int handleFailure(Exception failure, CommandLine commandLine, CommandLine.ParseResult parsed) {
        PrintWriter err = commandLine.getErr();
        if (failure instanceof ConfigErrors.ConfigException errors) {
            errors.errors().forEach(err::println);
            err.flush();
            return USAGE_ERROR;
        }
        if (failure instanceof FileSystemException fileFailure) {
            err.println("pearladder: " + describe(fileFailure));
            return 1;
        }
        if (failure instanceof IOException || failure instanceof UncheckedIOException) {
            err.println("pearladder: " + failure.getMessage());
            return 1;
        }
        err.println("pearladder: " + failure);
        LoggerFactory.getLogger(Commands.class).error("a command failed", failure);
        return 1;
    }

    /** Describes a file error; the message of the exception is often just the path. */
    private static String describe(FileSystemException failure) {
        String advice =
                failure.getReason() == null ? "; check that it and its folder are there" : ": " + failure.getReason();
        return failure.getFile() + ": it can't be read or written" + advice;
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }
}
