package pearladder.cli;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import pearladder.traces.DurationTables;
import pearladder.traces.Layout;
import pearladder.traces.SkippedRows;
import pearladder.traces.TraceFile;
import pearladder.traces.TraceGenerator;
import pearladder.traces.TraceInfo;
import pearladder.traces.TraceRequest;
import pearladder.traces.TraceWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Inspects, converts and generates traces. */
@Command(
        name = "trace",
        mixinStandardHelpOptions = true,
        description = "Inspect, convert, cut and generate cluster traces in CSV.")
final class TraceCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    /** Options of all commands that read a trace. */
    static final class Input {
        @Parameters(index = "0", paramLabel = "FILE", description = "the trace, plain or gzip")
        Path file;

        @Option(
                names = "--layout",
                converter = LayoutConverter.class,
                paramLabel = "LAYOUT",
                description = "plain, azure-functions-2019, azure-functions-2021, azure-llm, google-2011, alibaba-2018;"
                        + " recognized by the first line if missing")
        Layout layout;

        @Option(names = "--durations", paramLabel = "FILE", description = "azure-functions-2019: durations by function")
        Path durations;

        @Option(names = "--memory", paramLabel = "FILE", description = "azure-functions-2019: memory by app")
        Path memory;

        @Option(
                names = "--window",
                defaultValue = "60",
                paramLabel = "SECONDS",
                description = "put rows in order that are out of order by at most this (default: ${DEFAULT-VALUE})")
        double window;

        @Option(names = "--strict", description = "stop at the first row that can't be read")
        boolean strict;

        @Option(names = "--skipped", paramLabel = "FILE", description = "write every row that is left out to this file")
        Path skippedFile;

        /** Reads the trace; rows left out are written to a file, or the first of them to standard error. */
        TraceFile.Summary read(Consumer<TraceRequest> out, SkippedRows[] kept, PrintWriter err) throws IOException {
            try (PrintWriter rows =
                    skippedFile == null ? null : new PrintWriter(Files.newBufferedWriter(skippedFile))) {
                SkippedRows skipped = new SkippedRows(strict, row -> {
                    if (rows != null) {
                        rows.println(row);
                    } else if (kept[0].count() <= 10) {
                        err.println(
                                file + ": " + row + (kept[0].count() == 10 ? " (further ones: --skipped FILE)" : ""));
                    }
                });
                kept[0] = skipped;
                return TraceFile.read(
                        file,
                        layout,
                        DurationTables.read(durations, memory, skipped),
                        Math.round(window * 1e9),
                        skipped,
                        out);
            } catch (SkippedRows.StrictModeException strictFailure) {
                throw new IOException(file + ": " + strictFailure.getMessage() + " (--strict)", strictFailure);
            }
        }
    }

    /** Converts the name of a layout. */
    static final class LayoutConverter implements CommandLine.ITypeConverter<Layout> {
        @Override
        public Layout convert(String word) {
            Layout layout = Layout.of(word);
            if (layout == null) {
                throw new CommandLine.TypeConversionException("unknown layout " + word);
            }
            return layout;
        }
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "info, convert, cut or make is missing");
    }

    @Command(
            name = "info",
            mixinStandardHelpOptions = true,
            description = "Span, rows, rate over time, skew of models, rows left out by reason, digest.")
    int info(@CommandLine.Mixin Input input) throws IOException {
        TraceInfo info = new TraceInfo();
        SkippedRows[] skipped = {null};
        TraceFile.Summary read = input.read(info, skipped, spec.commandLine().getErr());
        info.lines(read, skipped[0]).forEach(spec.commandLine().getOut()::println);
        return 0;
    }

    @Command(name = "convert", mixinStandardHelpOptions = true, description = "Write a trace in the plain layout.")
    int convert(
            @CommandLine.Mixin Input input,
            @Parameters(index = "1", paramLabel = "TO", description = "the new file") Path to)
            throws IOException {
        return write(input, to, 0, Long.MAX_VALUE, 1, 0);
    }

    @Command(
            name = "cut",
            mixinStandardHelpOptions = true,
            description = "Write a part of a trace in the plain layout.")
    int cut(
            @CommandLine.Mixin Input input,
            @Parameters(index = "1", paramLabel = "TO", description = "the new file") Path to,
            @Option(
                            names = "--from",
                            defaultValue = "0",
                            paramLabel = "SECONDS",
                            description = "seconds after the first request")
                    double from,
            @Option(names = "--until", paramLabel = "SECONDS", description = "seconds after the first request")
                    Double until,
            @Option(names = "--share", defaultValue = "1", description = "share of the models, 0 to 1") double share,
            @Option(names = "--seed", defaultValue = "0", description = "seed of the choice of models") int seed)
            throws IOException {
        return write(
                input,
                to,
                Math.round(from * 1e9),
                until == null ? Long.MAX_VALUE : Math.round(until * 1e9),
                share,
                seed);
    }

    @Command(
            name = "make",
            mixinStandardHelpOptions = true,
            description = {
                "Generate a synthetic trace in the plain layout: Zipf's law down to models with one request,",
                "minutes with more and with less load, timers with regular bursts. The same seed makes the same trace."
            })
    int make(
            @Parameters(index = "0", paramLabel = "TO", description = "the new file") Path to,
            @Option(names = "--models", defaultValue = "200", description = "(default: ${DEFAULT-VALUE})") int models,
            @Option(names = "--skew", defaultValue = "1", description = "Zipf's exponent (default: ${DEFAULT-VALUE})")
                    double skew,
            @Option(
                            names = "--rate",
                            defaultValue = "100",
                            description = "requests a second (default: ${DEFAULT-VALUE})")
                    double rate,
            @Option(names = "--lasting", defaultValue = "60", paramLabel = "SECONDS") double seconds,
            @Option(
                            names = "--timers",
                            defaultValue = "0.05",
                            description = "share from timers (default: ${DEFAULT-VALUE})")
                    double timers,
            @Option(names = "--bursts", defaultValue = "0.5", description = "variation of the rate by minute, 0 to 1")
                    double bursts,
            @Option(names = "--work", defaultValue = "20", paramLabel = "MS", description = "mean work") double work,
            @Option(names = "--seed", defaultValue = "1") long seed)
            throws IOException {
        refuseExisting(to);
        TraceGenerator.Settings terms =
                new TraceGenerator.Settings(models, skew, rate, seconds, timers, bursts, work, seed);
        try (BufferedWriter writer = Files.newBufferedWriter(to);
                TraceWriter cut = new TraceWriter(writer, 0, Long.MAX_VALUE, 1, 0)) {
            TraceGenerator.generate(terms, cut);
            spec.commandLine().getOut().println(cut.written() + " calls written to " + to);
        }
        return 0;
    }

    private static void refuseExisting(Path to) throws IOException {
        if (Files.exists(to)) {
            throw new IOException(to + ": it is there already; name another file, or remove this one first");
        }
    }

    private int write(Input input, Path to, long from, long until, double share, int seed) throws IOException {
        SkippedRows[] skipped = {null};
        refuseExisting(to);
        try (BufferedWriter writer = Files.newBufferedWriter(to);
                TraceWriter cut = new TraceWriter(writer, from, until, share, seed)) {
            TraceFile.Summary read = input.read(cut, skipped, spec.commandLine().getErr());
            spec.commandLine()
                    .getOut()
                    .println(cut.written() + " of " + read.requests() + " calls written to " + to + ", "
                            + skipped[0].count() + " rows left out");
        }
        return 0;
    }
}
