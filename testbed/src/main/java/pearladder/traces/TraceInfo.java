package pearladder.traces;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Describes a trace: its span, the rate over time, the skew of the models, and a digest of the sequence of requests.
 */
public final class TraceInfo implements Consumer<TraceRequest> {
    private static final int CHART_ROWS = 20;
    private static final int MAX_BAR_LENGTH = 40;
    private static final int DIGEST_DIGITS = 16;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, long[]> models = new HashMap<>();
    private final TreeMap<Long, Long> seconds = new TreeMap<>();
    private final MessageDigest digest;
    private long first;
    private long last;
    private long requests;
    private double work;

    /** Creates the information on an empty trace. */
    public TraceInfo() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    @Override
    public void accept(TraceRequest request) {
        first = requests == 0 ? request.at() : first;
        last = request.at();
        requests++;
        work += request.work() / NANOS_PER_MILLI;
        models.computeIfAbsent(request.model(), m -> new long[1])[0]++;
        seconds.merge((request.at() - first) / 1_000_000_000L, 1L, Long::sum);
        digest.update((request.at() - first + "," + request.model() + "," + request.work() + "," + request.memoryMb()
                        + "," + request.requestClass() + "," + request.tenant() + "\n")
                .getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the digest of the requests accepted so far; reading a file twice gives the same digest. */
    public String digest() {
        try {
            return HexFormat.of()
                    .formatHex(((MessageDigest) digest.clone()).digest())
                    .substring(0, DIGEST_DIGITS);
        } catch (CloneNotSupportedException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** Returns the number of requests accepted. */
    public long requests() {
        return requests;
    }

    /** Returns the lines that "trace info" prints. */
    public List<String> lines(TraceFile.Summary read, SkippedRows skipped) {
        List<String> lines = new ArrayList<>();
        double span = (last - first) / NANOS_PER_SECOND;
        lines.add(String.format(
                Locale.ROOT,
                "layout %s: %d rows, %d calls over %.1f s (%.2f a second), digest %s",
                read.layout().word(),
                read.rows(),
                requests,
                span,
                span == 0 ? requests : requests / span,
                digest()));
        lines.add(String.format(
                Locale.ROOT, "%d put back in time order, %d left out", read.reordered(), skipped.count()));
        new TreeMap<>(skipped.reasons()).forEach((reason, count) -> lines.add("  left out, " + reason + ": " + count));
        long[] counts = models.values().stream().mapToLong(c -> c[0]).sorted().toArray();
        long once = Arrays.stream(counts).filter(count -> count == 1).count();
        lines.add(String.format(
                Locale.ROOT,
                "%d models; called once: %d; share of calls of the first 1, 10, 100: %.3f %.3f %.3f;"
                        + " mean work %.1f ms",
                counts.length,
                once,
                shareOfMostRequested(counts, 1),
                shareOfMostRequested(counts, 10),
                shareOfMostRequested(counts, 100),
                requests == 0 ? 0 : work / requests));
        addRateChart(lines, Math.max(1, (long) Math.ceil((span + 1) / CHART_ROWS)));
        return lines;
    }

    /** Returns the share of all requests that go to the {@code modelCount} most requested models. */
    private double shareOfMostRequested(long[] sorted, int modelCount) {
        long sum = 0;
        for (int i = sorted.length - 1; i >= Math.max(0, sorted.length - modelCount); i--) {
            sum += sorted[i];
        }
        return requests == 0 ? 0 : (double) sum / requests;
    }

    /** Adds a line for each span of {@code rowSeconds}, with its rate as a number and as a bar. */
    private void addRateChart(List<String> lines, long rowSeconds) {
        TreeMap<Long, Long> bars = new TreeMap<>();
        seconds.forEach((second, count) -> bars.merge(second / rowSeconds, count, Long::sum));
        long most = bars.values().stream().mapToLong(Long::longValue).max().orElse(1);
        bars.forEach((bar, count) -> lines.add(String.format(
                Locale.ROOT, "%8d s %9.2f a second %s", bar * rowSeconds, (double) count / rowSeconds, "#".repeat((int)
                                Math.max(1, MAX_BAR_LENGTH * count / most)))));
    }
}
