import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for the surroundings of one router on the platform: workers, the control feed and clients, on loopback
 * addresses and the real clock. The router is the project's own program, started by `run` of the deploy file.
 */
final class Rig implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final Path root;
    final Path folder;
    final long startNanos = System.nanoTime();
    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, Rig::daemon);
    private final BufferedWriter record;
    final List<AutoCloseable> parts = new ArrayList<>();

    /** @param recordFile what was sent, answered and run is written to this file */
    Rig(Path root, Path recordFile) throws IOException {
        this.root = root;
        this.folder = Files.createTempDirectory("review");
        this.record = Files.newBufferedWriter(recordFile);
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }

    interface Work {
        void run() throws Exception;
    }

    interface Scenario {
        /** Returns 1 if the rule was broken, 0 if it held, 2 without a verdict. */
        int run(Rig rig, boolean trouble) throws Exception;
    }

    /** Runs a scenario and exits with its verdict; with 2 if it could not run. TROUBLE=0 is without the disruption. */
    static void main(Path root, Path recordFile, Scenario scenario) {
        int verdict = 2;
        try (Rig rig = new Rig(root, recordFile)) {
            verdict = scenario.run(rig, !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception | Error failed) {
            failed.printStackTrace();
            verdict = 2;
        }
        System.exit(verdict);
    }

    static void start(Work work) {
        daemon(() -> {
                    try {
                        work.run();
                    } catch (Exception closed) {
                        // a socket was closed
                    }
                })
                .start();
    }

    /** Milliseconds since the start of the rig. */
    double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    synchronized void log(String format, Object... arguments) {
        try {
            record.write(String.format("%10.1f ", now()) + String.format(format, arguments) + "\n");
        } catch (IOException failed) {
            throw new IllegalStateException(failed);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, LOOPBACK)) {
            return any.getLocalPort();
        }
    }

    @Override
    public void close() throws Exception {
        for (int i = parts.size() - 1; i >= 0; i--) {
            parts.get(i).close();
        }
        timer.shutdownNow();
        synchronized (this) {
            record.close();
        }
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    /** Measures how late the stand-ins' own timers are. */
    final class Lateness {
        private volatile double worst;

        Lateness() {
            Rig.start(() -> {
                while (true) {
                    long before = System.nanoTime();
                    Thread.sleep(5);
                    worst = Math.max(worst, (System.nanoTime() - before) / 1e6 - 5);
                }
            });
        }

        double worst() {
            return worst;
        }
    }

    // ---- the router

    /** One router, started by the deploy file's command. */
    final class Router implements AutoCloseable {
        final int port = freePort();
        final Path config = folder.resolve("config-" + port + ".json");
        final Path log = folder.resolve("log-" + port);
        Process process;

        Router() throws IOException {
            parts.add(this);
        }

        void writeConfig(Map<String, String> values) throws IOException {
            String text = "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\"8c1f30d27a5be964\","
                    + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + values.getOrDefault("memory_mb", "192")
                    + ",\"sockets\":" + values.getOrDefault("sockets", "1024") + "},"
                    + "\"feed\":\"" + values.get("feed") + "\",\"known\":" + values.get("known")
                    + ",\"settings\":" + values.get("settings") + "}";
            Path next = folder.resolve("config-" + port + ".next");
            Files.writeString(next, text);
            Files.move(next, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        void start() throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"").matcher(
                    Files.readString(root.resolve("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("no run command");
            }
            Path temporary = Files.createTempDirectory(folder, "tmp");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
            builder.directory(root.toFile());
            builder.environment().put("ROUTER_NAME", "n1");
            builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("ROUTER_CONFIG", config.toString());
            builder.environment().put("TMPDIR", temporary.toString());
            process = builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
            Process started = process;
            Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
            log("router started, process %d", process.pid());
        }

        /** Waits until the router answers `check` with true. */
        boolean awaitReady(long millis) throws Exception {
            long until = System.nanoTime() + millis * 1_000_000;
            while (System.nanoTime() < until && process.isAlive()) {
                try (Client client = new Client(this)) {
                    Answer answer = client.check(500);
                    if (answer != null && answer.served) {
                        log("router is ready");
                        return true;
                    }
                } catch (IOException notYet) {
                    // it does not listen yet
                }
                Thread.sleep(50);
            }
            return false;
        }

        void signal(String name) throws Exception {
            log("signal %s to the router", name);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        @Override
        public void close() throws Exception {
            if (process != null) {
                process.destroyForcibly();
                process.waitFor(10, TimeUnit.SECONDS);
                for (String line : Files.readAllLines(log, StandardCharsets.ISO_8859_1)) {
                    log("router: %s", line.length() > 400 ? line.substring(0, 400) : line);
                }
            }
        }
    }

    // ---- workers

    /** A command as a worker has read it. */
    record Command(String word, String id, Map<String, String> fields, byte[] body, double at) {}

    /** One connection at a worker. */
    final class WorkerSocket {
        final Socket socket;
        final Worker worker;

        WorkerSocket(Socket socket, Worker worker) {
            this.socket = socket;
            this.worker = worker;
        }

        void answer(String id, String word, String fields, byte[] body) {
            write(respArray(bytes(id), bytes(word), bytes(fields), body));
        }

        void write(byte[] data) {
            try {
                synchronized (socket) {
                    socket.getOutputStream().write(data);
                }
            } catch (IOException closed) {
                // the router has closed it
            }
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException closed) {
                // closed already
            }
        }
    }

    /** A worker: runs each request for `workMillis` and answers it, unless a behaviour is set. */
    final class Worker implements AutoCloseable {
        interface Behaviour {
            /** Handles a `go`; returns false for the usual handling. */
            boolean onGo(WorkerSocket socket, Command command);
        }

        final String id;
        final ServerSocket server;
        String zone = "east-hall";
        long cell = 1;
        volatile long workMillis = 20;
        volatile Behaviour behaviour = (socket, command) -> false;
        volatile boolean draining;
        volatile boolean quiet;
        final AtomicInteger goes = new AtomicInteger();

        Worker(String id) throws IOException {
            this(id, 0);
        }

        Worker(String id, int port) throws IOException {
            this.id = id;
            this.server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(LOOPBACK, port), 500);
            parts.add(this);
            Rig.start(() -> {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Rig.start(() -> serve(new WorkerSocket(socket, this)));
                }
            });
        }

        String member(String state) {
            return member(state, 0);
        }

        String member(String state, long startedMillis) {
            return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + server.getLocalPort() + "\",\"zone\":\"" + zone
                    + "\",\"kind\":\"std-4core\",\"cell\":" + cell + ",\"state\":\"" + state
                    + "\",\"weight\":1,\"started_ms\":" + startedMillis + "}";
        }

        private void serve(WorkerSocket socket) throws IOException {
            try (InputStream in = new BufferedInputStream(socket.socket.getInputStream(), 65536)) {
                while (true) {
                    List<byte[]> words = readResp(in);
                    onCommand(socket, words);
                }
            } finally {
                socket.socket.close();
            }
        }

        private void onCommand(WorkerSocket socket, List<byte[]> words) {
            String word = text(words.get(0));
            String tag = text(words.get(1));
            switch (word) {
                case "go" -> {
                    Command command = new Command(word, tag, fields(text(words.get(2))), words.get(3), now());
                    goes.incrementAndGet();
                    if (!quiet) {
                        log("worker %s runs %s item %s", id, tag, command.fields().get("item"));
                    }
                    if (!behaviour.onGo(socket, command)) {
                        finish(socket, command);
                    }
                }
                case "stage" -> {
                    log("worker %s: order to load %s", id, text(words.get(2)));
                    socket.answer(tag, draining ? "AGAIN" : "ACK", "replicas=" + (draining ? 0 : 1), new byte[0]);
                }
                case "ping", "stat" -> socket.answer(
                        tag, draining ? "AILING" : "READY", "meter=backlog:0;x1:0", new byte[0]);
                case "halt" -> {
                    if (!quiet) {
                        log("worker %s: halt %s", id, tag);
                    }
                }
                default -> {
                    // purge has no answer
                }
            }
        }

        void finish(WorkerSocket socket, Command command) {
            timer.schedule(
                    () -> socket.answer(
                            command.id(), draining ? "AGAIN" : "ACK", "tell=up,meter=backlog:0;x1:0", command.body()),
                    workMillis,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    // ---- the control feed

    /** The control feed: numbered events, long polls over HTTP/1.1. */
    final class Feed implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 200, LOOPBACK);
        private final List<String> events;

        Feed(List<String> events) throws IOException {
            this.events = events;
            parts.add(this);
            Rig.start(() -> {
                while (true) {
                    Socket socket = server.accept();
                    Rig.start(() -> serve(socket));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        /** Adds an event about some workers. */
        void tell(boolean full, List<String> members) {
            synchronized (events) {
                int number = events.size() + 1;
                events.add("{\"n\":" + number + ",\"members\":{\"version\":" + number + ",\"full\":" + full
                        + ",\"servers\":[" + String.join(",", members) + "]}}");
                events.notifyAll();
                log("event %d: %s", number, String.join(",", members));
            }
        }

        String known() {
            synchronized (events) {
                return since(0);
            }
        }

        private String since(int number) {
            return "{\"n\":" + events.size() + ",\"events\":["
                    + String.join(",", events.subList(Math.min(number, events.size()), events.size())) + "]}";
        }

        private void serve(Socket socket) throws Exception {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Pattern poll = Pattern.compile("SUB=(\\d+)&wait=(\\d+)");
            while (true) {
                String line = readLine(in);
                String header = line;
                while (!header.isEmpty()) {
                    header = readLine(in);
                }
                Matcher query = poll.matcher(line);
                if (!query.find()) {
                    throw new IOException("unexpected poll " + line);
                }
                String body;
                synchronized (events) {
                    int number = Integer.parseInt(query.group(1));
                    long until = System.nanoTime() + Long.parseLong(query.group(2)) * 1_000_000;
                    long left;
                    while (events.size() <= number && (left = (until - System.nanoTime()) / 1_000_000) > 0) {
                        events.wait(left);
                    }
                    body = since(number);
                }
                out.write(bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body));
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    // ---- clients

    /** An answer: served, or refused or failed with an error word. */
    record Answer(boolean served, String error, byte[] body, double at) {}

    /** A request with all answers that came for it. */
    static final class Call {
        final Client client;
        final String rid;
        final long number;
        final long budget;
        final byte[] body;
        double sentAt;
        volatile double leftAt = Double.NaN;
        final List<Answer> answers = new java.util.concurrent.CopyOnWriteArrayList<>();

        Call(Client client, String rid, long number, long budget, byte[] body) {
            this.client = client;
            this.rid = rid;
            this.number = number;
            this.budget = budget;
            this.body = body;
        }
    }

    final AtomicInteger callNumbers = new AtomicInteger();

    /** A client's connection. */
    final class Client implements AutoCloseable {
        final Socket socket;
        final Map<Long, Call> calls = new ConcurrentHashMap<>();
        volatile double closedAt = Double.NaN;
        private long lastNumber;
        boolean quiet;

        Client(Router router) throws IOException {
            this(router.port);
        }

        Client(int port) throws IOException {
            socket = new Socket(LOOPBACK, port);
            socket.setTcpNoDelay(true);
            Rig.start(this::read);
        }

        private void read() throws IOException {
            try (InputStream in = new BufferedInputStream(socket.getInputStream(), 65536)) {
                while (true) {
                    List<?> message = (List<?>) unpack(in);
                    long number = (Long) message.get(1);
                    Answer answer;
                    if (message.get(2) == null) {
                        Object result = ((List<?>) message.get(3)).get(0);
                        answer = result instanceof Boolean ready
                                ? new Answer(ready, null, new byte[0], now())
                                : new Answer(true, null, (byte[]) result, now());
                    } else {
                        answer = new Answer(false, (String) ((List<?>) message.get(2)).get(0), null, now());
                    }
                    Call call = calls.get(number);
                    if (call == null) {
                        log("answer to an unknown number %d", number);
                    } else {
                        call.answers.add(answer);
                        if (!quiet) {
                            log("%s answered %s", call.rid, answer.served ? "served" : answer.error);
                        }
                    }
                    synchronized (this) {
                        notifyAll();
                    }
                }
            } finally {
                closedAt = now();
                socket.close();
                synchronized (this) {
                    notifyAll();
                }
            }
        }

        synchronized Answer check(long millis) throws Exception {
            Call call = new Call(this, "check", ++lastNumber, millis, null);
            calls.put(call.number, call);
            Pack out = new Pack().array(4).number(0).number(call.number).text("check").array(1).map(0);
            write(out.bytes());
            long until = System.nanoTime() + millis * 1_000_000;
            while (call.answers.isEmpty() && System.nanoTime() < until && Double.isNaN(closedAt)) {
                wait(20);
            }
            return call.answers.isEmpty() ? null : call.answers.get(0);
        }

        byte[] encode(Call call, String method, Map<String, String> fields) {
            Pack out = new Pack().array(4).number(0).number(call.number).text(method).array(2).map(fields.size());
            fields.forEach((name, value) -> out.text(name).text(value));
            return out.binary(call.body).bytes();
        }

        /** Creates a request under the next number; it is not sent yet. */
        synchronized Call next(long budget, byte[] body) {
            int n = callNumbers.incrementAndGet();
            Call call = new Call(this, String.format("9b1f%012x", n), ++lastNumber, budget, body);
            calls.put(call.number, call);
            return call;
        }

        Call send(String method, String function, long budget, byte[] body) throws IOException {
            Call call = next(budget, body);
            byte[] bytes = encode(call, method, fields(call, function));
            if (!quiet) {
                log("%s sent: %s %s budget %d", call.rid, method, function, budget);
            }
            call.sentAt = now();
            write(bytes);
            return call;
        }

        Map<String, String> fields(Call call, String function) {
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("rid", call.rid);
            fields.put("budget", Long.toString(call.budget));
            fields.put("acct", "tanwir-shipping");
            fields.put("token", "5c0f6e1a2b3d4c59" + call.rid);
            fields.put("obj", function);
            fields.put("extras", "memory_mb:512;lanes:2;load_ms:640");
            return fields;
        }

        void interrupt(Call call) throws IOException {
            call.leftAt = now();
            log("%s interrupted", call.rid);
            write(new Pack().array(3).number(2).text("interrupt").array(1).number(call.number).bytes());
        }

        void write(byte[] bytes) throws IOException {
            synchronized (socket) {
                socket.getOutputStream().write(bytes);
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException closed) {
                // closed already
            }
        }
    }

    // ---- the codecs

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                throw new EOFException();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    static List<byte[]> readResp(InputStream in) throws IOException {
        int count = Integer.parseInt(readLine(in).substring(1));
        List<byte[]> words = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int length = Integer.parseInt(readLine(in).substring(1));
            byte[] word = in.readNBytes(length);
            if (word.length < length) {
                throw new EOFException();
            }
            words.add(word);
            readLine(in);
        }
        return words;
    }

    static byte[] respArray(byte[]... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(bytes("*" + words.length + "\r\n"));
        for (byte[] word : words) {
            out.writeBytes(bytes("$" + word.length + "\r\n"));
            out.writeBytes(word);
            out.writeBytes(bytes("\r\n"));
        }
        return out.toByteArray();
    }

    static Map<String, String> fields(String text) {
        Map<String, String> fields = new LinkedHashMap<>();
        if (!text.equals("-")) {
            for (String field : text.split(",")) {
                int equals = field.indexOf('=');
                fields.put(field.substring(0, equals), field.substring(equals + 1));
            }
        }
        return fields;
    }

    /** Writes MessagePack. */
    static final class Pack {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();

        Pack array(int size) {
            out.write(0x90 | size);
            return this;
        }

        Pack map(int size) {
            out.write(0x80 | size);
            return this;
        }

        Pack number(long value) {
            if (value < 128) {
                out.write((int) value);
            } else {
                out.write(0xce);
                for (int shift = 24; shift >= 0; shift -= 8) {
                    out.write((int) (value >> shift));
                }
            }
            return this;
        }

        Pack text(String value) {
            byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
            if (bytes.length < 32) {
                out.write(0xa0 | bytes.length);
            } else {
                out.write(0xd9);
                out.write(bytes.length);
            }
            out.writeBytes(bytes);
            return this;
        }

        Pack binary(byte[] value) {
            out.write(0xc5);
            out.write(value.length >> 8);
            out.write(value.length);
            out.writeBytes(value);
            return this;
        }

        byte[] bytes() {
            return out.toByteArray();
        }
    }

    private static long readNumber(InputStream in, int bytes) throws IOException {
        long value = 0;
        for (int i = 0; i < bytes; i++) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException();
            }
            value = value << 8 | next;
        }
        return value;
    }

    private static byte[] readBytes(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException();
        }
        return bytes;
    }

    /** Reads one MessagePack value. */
    static Object unpack(InputStream in) throws IOException {
        int code = (int) readNumber(in, 1);
        if (code < 0x80) {
            return (long) code;
        }
        if (code < 0x90) {
            return readMap(in, code & 15);
        }
        if (code < 0xa0) {
            return readList(in, code & 15);
        }
        if (code < 0xc0) {
            return text(readBytes(in, code & 31));
        }
        return switch (code) {
            case 0xc0 -> null;
            case 0xc2 -> false;
            case 0xc3 -> true;
            case 0xc4 -> readBytes(in, (int) readNumber(in, 1));
            case 0xc5 -> readBytes(in, (int) readNumber(in, 2));
            case 0xc6 -> readBytes(in, (int) readNumber(in, 4));
            case 0xcc -> readNumber(in, 1);
            case 0xcd -> readNumber(in, 2);
            case 0xce -> readNumber(in, 4);
            case 0xcf -> readNumber(in, 8);
            case 0xd9 -> text(readBytes(in, (int) readNumber(in, 1)));
            case 0xda -> text(readBytes(in, (int) readNumber(in, 2)));
            case 0xdc -> readList(in, (int) readNumber(in, 2));
            case 0xde -> readMap(in, (int) readNumber(in, 2));
            default -> throw new IOException("unexpected code " + code);
        };
    }

    private static Object readList(InputStream in, int size) throws IOException {
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            list.add(unpack(in));
        }
        return list;
    }

    private static Object readMap(InputStream in, int size) throws IOException {
        Map<Object, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < size; i++) {
            map.put(unpack(in), unpack(in));
        }
        return map;
    }

    // ---- settings of a small deployment

    /** The settings of bayan-main, in the form of the wire page's example. */
    private static final String BAYAN_ACCOUNTS = "[{\"Name\":\"tanwir-shipping\",\"QuotaPerS\":86.0,\"Share\":0.54},"
            + "{\"Name\":\"nakhla-insurance\",\"QuotaPerS\":59.0,\"Share\":0.37},"
            + "{\"Name\":\"rawda-legal\",\"QuotaPerS\":14.0,\"Share\":0.09}]";

    private static final String BAYAN_SERVICES =
            "[{\"AimNs\":1000000000,\"DedupScope\":\"all\",\"Effect\":\"free\",\"GiveUpNs\":3000000000,"
                    + "\"KeyTtlNs\":5000000000,\"LateWorth\":0.2,\"Name\":\"segment-draft\",\"Streamed\":false,"
                    + "\"Worth\":3.0},{\"AimNs\":1200000000,\"DedupScope\":\"all\",\"Effect\":\"guarded\","
                    + "\"GiveUpNs\":4000000000,\"KeyTtlNs\":8000000000,\"LateWorth\":0.1,"
                    + "\"Name\":\"memory-commit\",\"Streamed\":false,\"Worth\":9.0}]";

    /** The settings of bayan-main; `overrides` replaces texts of them. */
    static String settings(Map<String, String> overrides) {
        String text = "{\"Accounts\":" + BAYAN_ACCOUNTS + ","
                + "\"Caps\":{\"ConnIdleNs\":30000000000,\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":400000,"
                + "\"DialTimeoutNs\":250000000,\"MaxAttempts\":3,\"MaxOpen\":20000,\"MaxRetryAfterNs\":2000000000,"
                + "\"MayCancel\":true,\"Peers\":false,\"Probes\":true,\"RetryAfter\":true,\"SecondCopies\":true,"
                + "\"StreamsPerConn\":100},\"ClientHabits\":{\"MarksRetry\":true},"
                + "\"FamilyInfo\":{\"CountsAlike\":false,\"IdleMemoryCost\":0.05,\"LingerIdleNs\":9500000000,"
                + "\"LoadControl\":true,\"LoadFree\":0.0,\"LoadRatio\":0.0,\"LoadSpanNs\":0,\"MachineMb\":[12736.0],"
                + "\"OnMiss\":\"load\",\"OrderTimeoutNs\":10000000000,"
                + "\"ReportX0\":\"share of memory that is at work or loading\","
                + "\"ReportX1\":\"loads under way or waiting\",\"TellsWarm\":true},"
                + "\"Goal\":{\"Whole\":0.3,\"WorstClass\":0.2,\"WorstTenant\":0.1,\"WorstWindow\":0.4},"
                + "\"KindOfService\":\"warm\",\"Kinds\":[\"std-4core\"],\"Layers\":[\"engine-fleet\"],"
                + "\"MembershipMode\":\"push\",\"MyNumber\":0,\"OverShareWorth\":0.1,\"PeersTotal\":3,"
                + "\"Penalties\":{\"Connection\":0.0,\"CrossZone\":0.018,\"Handshake\":0.0,\"LateFail\":0.11,"
                + "\"MembershipMode\":0.0,\"Moves\":0.0,\"Origin\":0.037,\"Peer\":0.0,\"Probe\":0.0072,"
                + "\"Waste\":0.05},\"QuantumNs\":4000000,"
                + "\"Rules\":{\"ColdNs\":18000000000,\"GraceToAnswerNs\":16000000,\"MustAskInNs\":10000000000,"
                + "\"OverloadFactor\":2.5,\"OverloadForNs\":1500000000,\"StartCapacity\":0.27,"
                + "\"StopSendingWithinNs\":1000000000},"
                + "\"Services\":" + BAYAN_SERVICES + ","
                + "\"Stage\":0,\"Stats\":{\"Fields\":[\"backlog\",\"x1\"],\"Via\":\"answers\"},"
                + "\"WeightSource\":\"none\",\"WorthBy\":\"request\",\"Zone\":\"east-hall\","
                + "\"Zones\":[\"east-hall\",\"west-hall\",\"south-hall\"]}";
        for (Map.Entry<String, String> override : overrides.entrySet()) {
            if (!text.contains(override.getKey())) {
                throw new IllegalArgumentException(override.getKey());
            }
            text = text.replace(override.getKey(), override.getValue());
        }
        return text;
    }

    /** A feed whose first event lists the workers. */
    Feed feed(List<Worker> workers) throws IOException {
        Feed feed = new Feed(new ArrayList<>());
        feed.tell(true, workers.stream().map(worker -> worker.member("in_service")).toList());
        return feed;
    }

    Router router(Feed feed, Map<String, String> values, Map<String, String> settings) throws Exception {
        Router router = new Router();
        Map<String, String> all = new LinkedHashMap<>(values);
        all.putIfAbsent("feed", feed.address());
        all.putIfAbsent("known", feed.known());
        all.put("settings", settings(settings));
        router.writeConfig(all);
        router.start();
        return router;
    }
}
