package pearladder.traces;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks how each layout is read, and how invalid files and rows are reported. */
class TraceFileTest {
    private static final long WINDOW_NANOS = 10_000_000_000L;
    private static final long MS = 1_000_000;

    @TempDir
    private Path folder;

    private final List<TraceRequest> requests = new ArrayList<>();
    private final List<String> reportedRows = new ArrayList<>();
    private SkippedRows skipped = new SkippedRows(false, row -> reportedRows.add(row.toString()));

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("t" + System.nanoTime() + ".csv"), text);
    }

    private TraceFile.Summary read(String text) throws IOException {
        return read(file(text));
    }

    private TraceFile.Summary read(Path file) throws IOException {
        requests.clear();
        reportedRows.clear();
        return TraceFile.read(file, null, DurationTables.NONE, WINDOW_NANOS, skipped, requests::add);
    }

    private List<Long> times() {
        return requests.stream().map(TraceRequest::at).toList();
    }

    @Test
    void readsPlainLayoutWithEmptyFields() throws IOException {
        assertEquals(
                Layout.PLAIN,
                read("arrival_s,model,work_ms,memory_mb,category,account\n0.5,a,20,400,draft,tender\n1,b,,,,\n")
                        .layout());
        assertEquals(new TraceRequest(500 * MS, "a", 20 * MS, 400, "draft", "tender", 2), requests.get(0));
        assertEquals(new TraceRequest(1000 * MS, "b", 0, Double.NaN, "", "", 3), requests.get(1));
    }

    private static String minutes(String function, int... counts) {
        return "o1,app1," + function + ",http,"
                + IntStream.range(0, 1440)
                        .mapToObj(i -> i < counts.length ? Integer.toString(counts[i]) : "0")
                        .collect(Collectors.joining(","));
    }

    private static String header2019() {
        return "HashOwner,HashApp,HashFunction,Trigger,"
                + IntStream.rangeClosed(1, 1440).mapToObj(Integer::toString).collect(Collectors.joining(","));
    }

    @Test
    void spreadsCountsOverTheirMinuteAndJoinsDurationAndMemory() throws IOException {
        Path invocations = file(header2019() + "\n" + minutes("f1", 2, 0, 1) + "\n" + minutes("f2", 0, 3) + "\n");
        Path durations = file("HashOwner,HashApp,HashFunction,Average,Count\no1,app1,f1,120,3\no1,app1,f2,x,3\n");
        Path memory = file("HashOwner,HashApp,SampleCount,AverageAllocatedMb\no1,app1,9,171\n");
        DurationTables beside = DurationTables.read(durations, memory, skipped);
        TraceFile.Summary read = TraceFile.read(invocations, null, beside, WINDOW_NANOS, skipped, requests::add);
        assertEquals(Layout.AZURE_FUNCTIONS_2019, read.layout());
        assertEquals(6, read.requests());
        assertEquals(
                List.of(2L, 3L, 1L),
                IntStream.range(0, 3)
                        .mapToObj(minute -> requests.stream()
                                .filter(request -> request.at() / 60_000_000_000L == minute)
                                .count())
                        .toList());
        assertEquals(times().stream().sorted().toList(), times());
        assertEquals(
                30_000 * MS,
                requests.get(1).at() - requests.get(0).at(),
                "two calls a minute stand half a minute apart");
        assertEquals(120 * MS, requests.get(0).work());
        assertEquals(
                0,
                requests.stream()
                        .filter(request -> request.model().equals("f2"))
                        .findFirst()
                        .orElseThrow()
                        .work());
        assertEquals(171, requests.get(0).memoryMb());
        assertEquals(1, skipped.count());
    }

    @Test
    void invocationStartsItsDurationBeforeItsEndAndIsReordered() throws IOException {
        TraceFile.Summary read = read("app,func,end_timestamp,duration\na,f1,10.0,0.1\na,f2,10.5,2.5\na,f3,11,0\n");
        assertEquals(Layout.AZURE_FUNCTIONS_2021, read.layout());
        assertEquals(
                List.of("f2", "f1", "f3"),
                requests.stream().map(TraceRequest::model).toList());
        assertEquals(List.of(8000 * MS, 9900 * MS, 11_000 * MS), times());
        assertEquals(1, read.reordered());
    }

    @Test
    void tokensBecomeWorkWithAndWithoutTimeZone() throws IOException {
        assertEquals(
                Layout.AZURE_LLM,
                read("TIMESTAMP,ContextTokens,GeneratedTokens\n2023-11-16 18:17:03.9799600,4808,10\n"
                                + "2023-11-16 23:59:59.9,100,1\n2023-11-17 00:00:00.1,100,1\n")
                        .layout());
        assertEquals(4808 * 50_000L + 10 * 2_000_000L, requests.get(0).work());
        assertEquals(200 * MS, requests.get(2).at() - requests.get(1).at(), "time goes on over a day's end");
        read("TIMESTAMP,ContextTokens,GeneratedTokens\n2024-05-10 00:00:00.009930+00:00,2162,5\n"
                + "2024-05-10T02:00:00+02:00,1,1\n");
        assertEquals(2, requests.size());
        assertEquals(-9930_000L, requests.get(0).at() - requests.get(1).at());
    }

    @Test
    void onlySubmissionsOfGoogleLayoutAreRequests() throws IOException {
        TraceFile.Summary read = read("600000000,,3418309,0,4155527081,0,user1,3,9,0.125,0.07446,0.0004,0\n"
                + "600000500,,3418309,0,4155527081,1,user1,3,9,0.125,0.07446,0.0004,0\n"
                + "600001000,,3418314,1,,0,user2,3,9,,,,\n");
        assertEquals(Layout.GOOGLE_2011, read.layout());
        assertEquals(2, requests.size());
        assertEquals(0, skipped.count());
        assertEquals("job-3418309", requests.get(0).model());
        assertEquals(125 * MS, requests.get(0).work());
        assertEquals(MS, requests.get(1).at() - requests.get(0).at());
    }

    @Test
    void readsAlibabaLayoutAndReportsRowThatEndsBeforeItStarts() throws IOException {
        assertEquals(
                Layout.ALIBABA_2018,
                read("M1,1,j_1,1,Terminated,100,103,100.0,0.3\nM2,1,j_1,1,Terminated,104,101,100.0,0.3\n"
                                + "M3,1,j_2,2,Waiting,0,0,50,\n")
                        .layout());
        assertEquals("j_1-M1", requests.get(0).model());
        assertEquals(3000 * MS, requests.get(0).work());
        assertEquals(
                List.of("line 2, end_time: before its start \"101\"", "line 3, start_time: missing"), reportedRows);
    }

    @Test
    void reportsWrongFieldsByLineAndColumnAndCountsThem() throws IOException {
        read("arrival_s,model,work_ms,memory_mb,category,account\n1,a,,,,\nx,a,,,,\n2,,,,,\n3,a,-5,,,\n4,a,1e30,,,\n5\n"
                + "6,a,,,,,,,\n\n7,\"two\nlines\",,,,\n8,a,,many,,\n9,a,,,,\n");
        assertEquals(
                List.of(
                        "line 3, arrival_s: not a number \"x\"",
                        "line 4, model: missing",
                        "line 5, work_ms: out of bounds \"-5\"",
                        "line 6, work_ms: out of bounds \"1e30\"",
                        "line 7: wrong number of columns 1 where 2 to 6 belong",
                        "line 8: wrong number of columns 9 where 2 to 6 belong",
                        "line 12, memory_mb: not a number \"many\""),
                reportedRows);
        assertEquals(3, requests.size());
        assertEquals(7, skipped.count());
        assertEquals(2, skipped.reasons().get("wrong number of columns"));
    }

    @Test
    void strictModeStopsAtFirstWrongRow() {
        skipped = new SkippedRows(true, row -> {});
        assertEquals(
                "line 2, arrival_s: not a number \"x\"",
                assertThrows(
                                SkippedRows.StrictModeException.class,
                                () -> read("arrival_s,model,work_ms,memory_mb,category,account\nx,a\n1,b\n"))
                        .getMessage());
    }

    @Test
    void reordersRowsWithinWindowAndReportsThemBeyondIt() throws IOException {
        TraceFile.Summary read =
                read("arrival_s,model,work_ms,memory_mb,category,account\n20,a\n15,b\n40,c\n29,d\n31,e\n45,f\n");
        assertEquals(
                List.of("b", "a", "e", "c", "f"),
                requests.stream().map(TraceRequest::model).toList().stream()
                        .filter(model -> !model.equals("d"))
                        .toList());
        assertEquals(times().stream().sorted().toList(), times());
        assertTrue(read.reordered() >= 2);
        read("arrival_s,model,work_ms,memory_mb,category,account\n100,a\n120,b\n50,c\n");
        assertEquals(List.of("line 4: out of time order beyond the window by 50000 ms"), reportedRows);
    }

    @Test
    void gzipByteOrderMarkAndCarriageReturnsMakeNoDifference() throws IOException {
        String text = "arrival_s,model,work_ms,memory_mb,category,account\n1,a,5,,,\n2,b,6,,,\n";
        read(text);
        List<TraceRequest> plain = List.copyOf(requests);
        read("\uFEFF" + text.replace("\n", "\r\n"));
        assertEquals(plain, requests);
        Path zipped = folder.resolve("t.csv.gz");
        try (OutputStream out = new GZIPOutputStream(Files.newOutputStream(zipped))) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        }
        read(zipped);
        assertEquals(plain, requests);
    }

    @Test
    void rejectsFilesThatAreNoTraceWithAReason() throws IOException {
        for (Map.Entry<String, String> wrong : Map.of(
                        "",
                        "the file is empty",
                        "a,b\n1,2\n",
                        "of no known layout",
                        "\"never closed\n1,2\n",
                        "it can't be read to its end")
                .entrySet()) {
            String message = assertThrows(TraceFile.InvalidTraceException.class, () -> read(wrong.getKey()))
                    .getMessage();
            assertTrue(message.contains(wrong.getValue()), message);
        }
        Path foreign = Files.write(folder.resolve("latin.csv"), new byte[] {'a', (byte) 0xE9, ',', '1', '\n'});
        assertTrue(assertThrows(IOException.class, () -> read(foreign))
                .getMessage()
                .contains("UTF-8"));
        assertTrue(assertThrows(TraceFile.InvalidTraceException.class, () -> read(folder.resolve("none")))
                .getMessage()
                .contains("can't be read"));
        assertTrue(assertThrows(
                        TraceFile.InvalidTraceException.class,
                        () -> TraceFile.read(
                                file("1,2\n"), Layout.PLAIN, DurationTables.NONE, 0, skipped, requests::add))
                .getMessage()
                .contains("is not that of plain"));
    }
}
