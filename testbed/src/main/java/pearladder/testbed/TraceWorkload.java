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
 * Replays the requests of a trace in a scenario. A separate thread reads the file into a bounded queue, so that memory
 * use does not depend on the file size. The sequence and its digest depend only on the file and the script; the speed
 * only changes the due times.
 */
public final class TraceWorkload implements RequestSource, AutoCloseable {
    /**
     * Settings of a replay.
     *
     * @param layout layout of the file, or null to detect it from the first line
     * @param durations file of durations published with the trace, or null
     * @param memory file of memory sizes published with the trace, or null
     * @param speed speed-up factor of the replay
     * @param reorderWindow time window in nanoseconds within which rows are sorted by time
     * @param maxRequests maximum number of requests, 0 for all
     * @param maxDuration maximum duration of the replay in nanoseconds, at its speed; 0 for all
     * @param workScale factor applied to the work given in the trace
     * @param maxWork maximum work in nanoseconds; longer work is cut to it and counted
     * @param defaultWork work in nanoseconds if the trace gives none
     * @param strict whether to stop at the first row that is not a valid request
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
        /** Returns the same settings with another speed. */
        ReplaySettings atSpeed(double newSpeed) {
            return new ReplaySettings(
                    file,
                    layout,
                    durations,
                    memory,
                    newSpeed,
                    reorderWindow,
                    maxRequests,
                    maxDuration,
                    workScale,
                    maxWork,
                    defaultWork,
                    strict);
        }
    }

    /** Size classes of models: the name of a model starts with its class, as in "m400-...". */
    private static final int[] SIZE_CLASSES_MB = {100, 200, 400, 800, 1600, 3200};

    private static final int DEFAULT_SIZE_CLASS_MB = 400;
    private static final int MAX_MODEL_NAME_LENGTH = 100;
    private static final String INVALID_NAME_CHARACTERS = "[^A-Za-z0-9._:-]";
    private static final int QUEUE_CAPACITY = 20_000;
    private static final long MIN_WORK_NANOS = 1000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double CRC_RANGE = 4294967296.0;
    private static final String SKIPPED_FILE = "skipped.txt";
    /** Marks the end of the queue. */
    private static final TraceRequest END = new TraceRequest(0, "", 0, 0, "", "", -1);

    private final ReplaySettings settings;
    private final ScenarioPlan plan;
    private final Path folder;
    private final BlockingQueue<TraceRequest> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final SplittableRandom random;
    private final TraceInfo info = new TraceInfo();
    private final Thread reader;
    private volatile IOException failure;
    private volatile SkippedRows skipped;
    private volatile TraceFile.Summary summary;
    private long firstAt;
    private long number;
    private long cutRequests;

    /**
     * Starts to read the trace.
     *
     * @param folder receives the list of skipped rows
     */
    public TraceWorkload(ReplaySettings settings, ScenarioPlan plan, Path folder) {
        this.settings = settings;
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
                skipped = new SkippedRows(settings.strict(), rows::println);
                DurationTables companions = DurationTables.read(settings.durations(), settings.memory(), skipped);
                summary = TraceFile.read(
                        settings.file(), settings.layout(), companions, settings.reorderWindow(), skipped, this::offer);
            }
        } catch (IOException failed) {
            failure = failed;
        } catch (SkippedRows.StrictModeException strict) {
            failure = new IOException(settings.file() + ": " + strict.getMessage() + " (--strict)", strict);
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
        long due = Math.round((request.at() - firstAt) / settings.speed());
        if (settings.maxDuration() > 0 && due > settings.maxDuration()) {
            return null;
        }
        info.accept(request);
        ScenarioPlan.Flow flow = flow(request);
        double attemptTimeoutShare = plan.clients().attemptTimeoutShare(random.nextDouble());
        String zone = plan.zones().get(random.nextInt(plan.zones().size()));
        return new ScheduledRequest(
                due,
                number++,
                flow.requestClass(),
                flow.tenant(),
                model(request),
                zone,
                work(request),
                attemptTimeoutShare);
    }

    /** Returns the next row, or {@link #END} at the end of the trace or after the maximum number of requests. */
    private TraceRequest take() {
        if (settings.maxRequests() > 0 && number >= settings.maxRequests()) {
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
        long work = request.work() == 0 ? settings.defaultWork() : Math.round(request.work() * settings.workScale());
        cutRequests += work > settings.maxWork() ? 1 : 0;
        return Math.max(MIN_WORK_NANOS, Math.min(work, settings.maxWork()));
    }

    /** Returns the flow that the row names, else one chosen by a hash of the model name, weighted by flow share. */
    private ScenarioPlan.Flow flow(TraceRequest request) {
        List<ScenarioPlan.Flow> flows = plan.flows().stream()
                .filter(flow -> flow.requestClass().equals(request.requestClass())
                        && (request.tenant().isEmpty() || flow.tenant().equals(request.tenant())))
                .toList();
        List<ScenarioPlan.Flow> candidates = flows.isEmpty() ? plan.flows() : flows;
        CRC32 crc = new CRC32();
        crc.update(request.model().getBytes(StandardCharsets.UTF_8));
        return candidates.get(ScenarioPlan.Flow.choose(candidates, crc.getValue() / CRC_RANGE));
    }

    private static String model(TraceRequest request) {
        String name = request.model().replaceAll(INVALID_NAME_CHARACTERS, "_");
        String shortened = name.substring(0, Math.min(name.length(), MAX_MODEL_NAME_LENGTH));
        return "m" + sizeClassMb(request.memoryMb()) + "-" + shortened;
    }

    /** Returns the smallest size class that fits the memory, else the largest. */
    private static int sizeClassMb(double memoryMb) {
        if (Double.isNaN(memoryMb)) {
            return DEFAULT_SIZE_CLASS_MB;
        }
        for (int sizeClass : SIZE_CLASSES_MB) {
            if (memoryMb <= sizeClass) {
                return sizeClass;
            }
        }
        return SIZE_CLASSES_MB[SIZE_CLASSES_MB.length - 1];
    }

    /** Returns lines for a table: replayed requests, skipped rows, and the digest of the sequence. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("replayed " + number + " calls of " + settings.file().getFileName() + " at " + settings.speed()
                + " times its speed; digest " + info.digest());
        if (summary != null) {
            lines.add(summary.rows() + " rows of " + summary.layout().word() + "; " + summary.reordered()
                    + " put back in time order, " + skipped.count() + " left out (" + SKIPPED_FILE + ")");
            new TreeMap<>(skipped.reasons())
                    .forEach((reason, count) -> lines.add("  left out, " + reason + ": " + count));
        } else if (failure == null) {
            lines.add("the file was not read to its end");
        }
        lines.add("work cut to " + settings.maxWork() / NANOS_PER_MILLI + " ms: " + cutRequests + " calls");
        return lines;
    }

    /** Returns why the file could not be read, or null. */
    public IOException failure() {
        return failure;
    }

    @Override
    public void close() {
        reader.interrupt();
    }
}
