package pearladder.testbed;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.zip.CRC32;
import pearladder.traces.DurationTables;
import pearladder.traces.Layout;
import pearladder.traces.SkippedRows;
import pearladder.traces.TraceFile;
import pearladder.traces.TraceInfo;
import pearladder.traces.TraceRequest;

/**
 * The requests of a trace in a scenario: read on a thread of its own into a bounded queue, so that the file's size
 * does not matter. The sequence and its digest depend on the file and the script alone; the speed only moves the
 * moments.
 */
public final class TraceWorkload implements RequestSource, AutoCloseable {
    /**
     * How a file is replayed.
     *
     * @param layout null to detect it by the first line
     * @param durations published beside the trace, or null
     * @param memory published beside the trace, or null
     * @param speed factor by which it is replayed faster
     * @param reorderWindow nanoseconds within which rows are put back in order
     * @param maxRequests requests at the most, 0 for all
     * @param maxDuration nanoseconds of the replay at the most, at its speed; 0 for all
     * @param workScale factor for the work that the trace states
     * @param maxWork nanoseconds; longer work is cut to it and counted
     * @param defaultWork nanoseconds, where the trace states none
     * @param strict whether to stop at the first row that is no request
     */
    public record ReplaySettings(
            Path file,
            Layout layout,
            Path durations,
            Path memory,
            double speed,
            long reorderWindow,
            long maxRequests,
            long maxDuration,
            double workScale,
            long maxWork,
            long defaultWork,
            boolean strict) {
        /** The same at another speed. */
        ReplaySettings atSpeed(double otherSpeed) {
            return new ReplaySettings(
                    file,
                    layout,
                    durations,
                    memory,
                    otherSpeed,
                    reorderWindow,
                    maxRequests,
                    maxDuration,
                    workScale,
                    maxWork,
                    defaultWork,
                    strict);
        }
    }

    /** Size classes of models: a model is named "m400-..." for the class that its memory falls under. */
    private static final int[] SIZE_CLASSES_MB = {100, 200, 400, 800, 1600, 3200};

    private static final int USUAL_SIZE_CLASS_MB = 400;
    private static final int MAX_MODEL_NAME_LENGTH = 100;
    private static final String NOT_ALLOWED_IN_NAMES = "[^A-Za-z0-9._:-]";
    private static final int QUEUE_CAPACITY = 20_000;
    private static final long LEAST_WORK_NANOS = 1000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double CRC_RANGE = 4294967296.0;
    private static final String SKIPPED_FILE = "skipped.txt";
    /** Ends the queue. */
    private static final TraceRequest END = new TraceRequest(0, "", 0, 0, "", "", -1);

    private final ReplaySettings terms;
    private final ScenarioPlan plan;
    private final Path folder;
    private final BlockingQueue<TraceRequest> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final SplittableRandom random;
    private final TraceInfo info = new TraceInfo();
    private final Thread reader;
    private volatile IOException failure;
    private volatile SkippedRows skipped;
    private volatile TraceFile.Summary read;
    private long firstAt;
    private long number;
    private long workCut;

    /**
     * Starts to read.
     *
     * @param folder for the list of rows that were left out
     */
    public TraceWorkload(ReplaySettings terms, ScenarioPlan plan, Path folder) {
        this.terms = terms;
        this.plan = plan;
        this.folder = folder;
        this.random = new SplittableRandom(plan.seed());
        this.reader = new Thread(this::read, "trace");
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try {
            Files.createDirectories(folder);
            try (PrintWriter rows = new PrintWriter(Files.newBufferedWriter(folder.resolve(SKIPPED_FILE)))) {
                skipped = new SkippedRows(terms.strict(), rows::println);
                DurationTables companions = DurationTables.read(terms.durations(), terms.memory(), skipped);
                read = TraceFile.read(
                        terms.file(), terms.layout(), companions, terms.reorderWindow(), skipped, this::offer);
            }
        } catch (IOException failed) {
            failure = failed;
        } catch (SkippedRows.StrictModeException strict) {
            failure = new IOException(terms.file() + ": " + strict.getMessage() + " (--strict)", strict);
        } catch (IllegalStateException interrupted) {
            return;
        }
        offer(END);
    }

    private void offer(TraceRequest request) {
        try {
            queue.put(request);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    @Override
    public ScheduledRequest next() {
        TraceRequest request = take();
        if (request == END) {
            return null;
        }
        firstAt = number == 0 ? request.at() : firstAt;
        long due = Math.round((request.at() - firstAt) / terms.speed());
        if (terms.maxDuration() > 0 && due > terms.maxDuration()) {
            return null;
        }
        info.accept(request);
        ScenarioPlan.Flow flow = flow(request);
        double patience = plan.clients().patience(random.nextDouble());
        String zone = plan.zones().get(random.nextInt(plan.zones().size()));
        return new ScheduledRequest(
                due, number++, flow.requestClass(), flow.tenant(), model(request), zone, work(request), patience);
    }

    /** The next row; {@link #END} where there is none, or after as many as are asked for. */
    private TraceRequest take() {
        if (terms.maxRequests() > 0 && number >= terms.maxRequests()) {
            return END;
        }
        try {
            return queue.take();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return END;
        }
    }

    private long work(TraceRequest request) {
        long work = request.work() == 0 ? terms.defaultWork() : Math.round(request.work() * terms.workScale());
        workCut += work > terms.maxWork() ? 1 : 0;
        return Math.max(LEAST_WORK_NANOS, Math.min(work, terms.maxWork()));
    }

    /** The flow that the row names, else one by a hash of the model's name in proportion to the flows' shares. */
    private ScenarioPlan.Flow flow(TraceRequest request) {
        List<ScenarioPlan.Flow> flows = plan.flows().stream()
                .filter(flow -> flow.requestClass().equals(request.requestClass())
                        && (request.tenant().isEmpty() || flow.tenant().equals(request.tenant())))
                .toList();
        List<ScenarioPlan.Flow> from = flows.isEmpty() ? plan.flows() : flows;
        CRC32 crc = new CRC32();
        crc.update(request.model().getBytes(StandardCharsets.UTF_8));
        return from.get(ScenarioPlan.Flow.choose(from, crc.getValue() / CRC_RANGE));
    }

    private static String model(TraceRequest request) {
        String name = request.model().replaceAll(NOT_ALLOWED_IN_NAMES, "_");
        String shortened = name.substring(0, Math.min(name.length(), MAX_MODEL_NAME_LENGTH));
        return "m" + sizeClassMb(request.memoryMb()) + "-" + shortened;
    }

    /** The smallest class that holds so much, else the largest. */
    private static int sizeClassMb(double memoryMb) {
        if (Double.isNaN(memoryMb)) {
            return USUAL_SIZE_CLASS_MB;
        }
        for (int sizeClass : SIZE_CLASSES_MB) {
            if (memoryMb <= sizeClass) {
                return sizeClass;
            }
        }
        return SIZE_CLASSES_MB[SIZE_CLASSES_MB.length - 1];
    }

    /** Lines for a table: what was replayed, what was left out, and the digest of the sequence. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("replayed " + number + " calls of " + terms.file().getFileName() + " at " + terms.speed()
                + " times its speed; digest " + info.digest());
        if (read != null) {
            lines.add(read.rows() + " rows of " + read.layout().word() + "; " + read.reordered()
                    + " put back in time order, " + skipped.count() + " left out (" + SKIPPED_FILE + ")");
            new TreeMap<>(skipped.reasons())
                    .forEach((reason, count) -> lines.add("  left out, " + reason + ": " + count));
        } else if (failure == null) {
            lines.add("the file was not read to its end");
        }
        lines.add("work cut to " + terms.maxWork() / NANOS_PER_MILLI + " ms: " + workCut + " calls");
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
