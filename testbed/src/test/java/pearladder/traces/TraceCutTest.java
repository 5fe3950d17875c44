package pearladder.traces;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks that writing a trace, or parts of it, in the plain layout loses nothing; each property over several seeds. */
class TraceCutTest {
    private static final int SEEDS = 20;
    private static final long WINDOW_NANOS = 10_000_000_000L;

    @TempDir
    private Path folder;

    @Test
    void convertedTraceIsReadBackUnchanged() throws IOException {
        for (int seed = 0; seed < SEEDS; seed++) {
            List<TraceRequest> trace = randomTrace(seed);
            assertEquals(digest(trace), digest(readBack(cut(trace, 0, Long.MAX_VALUE, 1))), "seed " + seed);
        }
    }

    @Test
    void traceCutInTwoAndJoinedIsWhole() throws IOException {
        for (int seed = 0; seed < SEEDS; seed++) {
            List<TraceRequest> trace = randomTrace(seed);
            long middle = trace.get(trace.size() - 1).at() / 2;
            List<TraceRequest> joined = new ArrayList<>(readBack(cut(trace, 0, middle, 1)));
            for (TraceRequest request : readBack(cut(trace, middle, Long.MAX_VALUE, 1))) {
                joined.add(later(request, middle));
            }
            assertEquals(digest(trace), digest(joined), "seed " + seed);
        }
    }

    @Test
    void requestsOfAModelAreKeptAllOrNone() throws IOException {
        for (int seed = 0; seed < SEEDS; seed++) {
            List<TraceRequest> trace = randomTrace(seed);
            List<TraceRequest> half = readBack(cut(trace, 0, Long.MAX_VALUE, 0.5));
            List<String> models =
                    half.stream().map(TraceRequest::model).distinct().toList();
            long ofThoseModels = trace.stream()
                    .filter(request -> models.contains(request.model()))
                    .count();
            assertEquals(ofThoseModels, half.size(), "a model's calls come all or none");
        }
    }

    private static List<TraceRequest> randomTrace(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<TraceRequest> trace = new ArrayList<>();
        long at = 0;
        for (int i = 0; i < 300; i++) {
            trace.add(new TraceRequest(
                    at,
                    "m \"" + random.nextInt(9) + "\",é",
                    random.nextInt(3) * random.nextLong(1L << 40),
                    random.nextBoolean() ? Double.NaN : random.nextInt(5000) / 10.0,
                    "c" + random.nextInt(3),
                    "",
                    0));
            at += random.nextLong(5_000_000_000L);
        }
        return trace;
    }

    private static TraceRequest later(TraceRequest request, long nanos) {
        return new TraceRequest(
                request.at() + nanos,
                request.model(),
                request.work(),
                request.memoryMb(),
                request.requestClass(),
                request.tenant(),
                0);
    }

    private static String cut(List<TraceRequest> trace, long from, long to, double share) throws IOException {
        StringBuilder out = new StringBuilder();
        try (TraceWriter cut = new TraceWriter(out, from, to, share, 3)) {
            trace.forEach(cut);
        }
        return out.toString();
    }

    private List<TraceRequest> readBack(String text) throws IOException {
        Path file = Files.writeString(folder.resolve("t.csv"), text);
        SkippedRows skipped = new SkippedRows(false, row -> {});
        List<TraceRequest> requests = new ArrayList<>();
        TraceFile.read(file, null, DurationTables.NONE, WINDOW_NANOS, skipped, requests::add);
        assertEquals(0, skipped.count());
        return requests;
    }

    private static String digest(List<TraceRequest> requests) {
        TraceInfo info = new TraceInfo();
        requests.forEach(info);
        return info.digest();
    }
}
