package pearladder.testbed;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import pearladder.traces.DurationTables;
import pearladder.traces.Layout;
import pearladder.traces.SkippedRows;
import pearladder.traces.TraceCall;
import pearladder.traces.TraceFile;
import pearladder.traces.TraceInfo;

/**
 * A trace's calls on a day: read on a thread of its own into a bounded queue, so that the file's size does not matter.
 * The sequence and its digest depend on the file and the script alone; the speed only moves the moments.
 */
public final class TraceWorkload implements RequestSource, AutoCloseable {
    /**
     * How a file is replayed.
     *
     * @param layout null to tell it from the first line
     * @param speed so many times faster than it was
     * @param window nanoseconds within which rows are put back in order
     * @param most calls at the most, 0 for all
     * @param lasting nanoseconds of the replay at the most, as it is played; 0 for all
     * @param workScale of the work that the trace tells
     * @param longestWork nanoseconds; longer work is cut to it and counted
     * @param usualWork nanoseconds, where the trace tells none
     */
    public record Terms(
            Path file,
            Layout layout,
            Path durations,
            Path memory,
            double speed,
            long window,
            long most,
            long lasting,
            double workScale,
            long longestWork,
            long usualWork,
            boolean strict) {
        /** The same at another speed. */
        Terms at(double times) {
            return new Terms(
                    file,
                    layout,
                    durations,
                    memory,
                    times,
                    window,
                    most,
                    lasting,
                    workScale,
                    longestWork,
                    usualWork,
                    strict);
        }
    }

    /** Size classes of models, in MB: a model is named "m400-..." for the class that its memory falls under. */
    private static final int[] CLASSES = {100, 200, 400, 800, 1600, 3200};

    private static final int USUAL_CLASS = 400;
    private static final int QUEUE = 20_000;
    private static final TraceCall END = new TraceCall(0, "", 0, 0, "", "", -1);

    private final Terms terms;
    private final ScenarioPlan plan;
    private final Path out;
    private final BlockingQueue<TraceCall> queue = new ArrayBlockingQueue<>(QUEUE);
    private final SplittableRandom chance;
    private final TraceInfo info = new TraceInfo();
    private final Thread reader;
    private volatile IOException failure;
    private volatile SkippedRows skipped;
    private volatile TraceFile.Read read;
    private long first;
    private long number;
    private long cut;

    /** @param out folder for the rows that were left out */
    public TraceWorkload(Terms terms, ScenarioPlan plan, Path out) {
        this.terms = terms;
        this.plan = plan;
        this.out = out;
        this.chance = new SplittableRandom(plan.seed());
        this.reader = new Thread(this::read, "trace");
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try {
            Files.createDirectories(out);
            try (PrintWriter rows = new PrintWriter(Files.newBufferedWriter(out.resolve("skipped.txt")))) {
                skipped = new SkippedRows(terms.strict(), rows::println);
                read = TraceFile.read(
                        terms.file(),
                        terms.layout(),
                        DurationTables.read(terms.durations(), terms.memory(), skipped),
                        terms.window(),
                        skipped,
                        this::offer);
            }
        } catch (IOException broken) {
            failure = broken;
        } catch (SkippedRows.Strict strict) {
            failure = new IOException(terms.file() + ": " + strict.getMessage() + " (--strict)", strict);
        } catch (IllegalStateException ended) {
            return;
        }
        offer(END);
    }

    private void offer(TraceCall call) {
        try {
            queue.put(call);
        } catch (InterruptedException closed) {
            throw new IllegalStateException(closed);
        }
    }

    @Override
    public Drawn next() {
        TraceCall call;
        try {
            call = terms.most() > 0 && number >= terms.most() ? END : queue.take();
        } catch (InterruptedException closed) {
            Thread.currentThread().interrupt();
            return null;
        }
        if (call == END) {
            return null;
        }
        first = number == 0 ? call.at() : first;
        long due = Math.round((call.at() - first) / terms.speed());
        if (terms.lasting() > 0 && due > terms.lasting()) {
            return null;
        }
        info.accept(call);
        long work = call.work() == 0 ? terms.usualWork() : Math.round(call.work() * terms.workScale());
        cut += work > terms.longestWork() ? 1 : 0;
        ScenarioPlan.Flow flow = flow(call);
        double patience = plan.clients().patience() + (1 - plan.clients().patience()) * chance.nextDouble();
        String hall = plan.halls().get(chance.nextInt(plan.halls().size()));
        return new Drawn(
                due,
                number++,
                flow.category(),
                flow.account(),
                model(call),
                hall,
                Math.max(1000, Math.min(work, terms.longestWork())),
                patience);
    }

    /** A model's calls belong to the flow that the row names, or to one drawn by the model's name by the flows' shares. */
    private ScenarioPlan.Flow flow(TraceCall call) {
        List<ScenarioPlan.Flow> flows = plan.flows().stream()
                .filter(flow -> flow.category().equals(call.category())
                        && (call.account().isEmpty() || flow.account().equals(call.account())))
                .toList();
        List<ScenarioPlan.Flow> from = flows.isEmpty() ? plan.flows() : flows;
        double sum = from.stream().mapToDouble(ScenarioPlan.Flow::share).sum();
        java.util.zip.CRC32 crc = new java.util.zip.CRC32();
        crc.update(call.model().getBytes(java.nio.charset.StandardCharsets.UTF_8));
        double drawn = crc.getValue() / 4294967296.0 * sum;
        for (ScenarioPlan.Flow flow : from) {
            drawn -= flow.share();
            if (drawn < 0) {
                return flow;
            }
        }
        return from.get(from.size() - 1);
    }

    private static String model(TraceCall call) {
        int size = USUAL_CLASS;
        if (!Double.isNaN(call.memoryMb())) {
            size = CLASSES[CLASSES.length - 1];
            for (int i = CLASSES.length - 1; i >= 0 && call.memoryMb() <= CLASSES[i]; i--) {
                size = CLASSES[i];
            }
        }
        String name = call.model().replaceAll("[^A-Za-z0-9._:-]", "_");
        return "m" + size + "-" + (name.length() > 100 ? name.substring(0, 100) : name);
    }

    /** What the report says of the trace: what was replayed, what was left out, and the digest of the sequence. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("replayed " + number + " calls of " + terms.file().getFileName() + " at " + terms.speed()
                + " times its speed; digest " + info.digest());
        if (read != null) {
            lines.add(read.rows() + " rows of " + read.layout().word() + "; " + read.reordered()
                    + " put back in time order, " + skipped.count() + " left out (skipped.txt)");
            new java.util.TreeMap<>(skipped.reasons())
                    .forEach((reason, count) -> lines.add("  left out, " + reason + ": " + count));
        } else if (failure == null) {
            lines.add("the file was not read to its end");
        }
        lines.add("work cut to " + terms.longestWork() / 1_000_000 + " ms: " + cut + " calls");
        return lines;
    }

    /** Why the file could not be read, or null. */
    public IOException failure() {
        return failure;
    }

    @Override
    public void close() {
        reader.interrupt();
    }
}
