import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients send the same again as soon as it is turned away; the usual clients' requests get no answer in time. */
final class Case6 {
    private static final int USUAL_CLIENTS = 10;
    private static final int BAD_CLIENTS = 300;
    private static final int BAD_OPEN = 31;
    private static final int BAD_BODY = 1900;
    private static final long BUDGET_MILLIS = 3000;
    /** Half a second after its time, and the 50 ms by which every time limit is longer. */
    private static final long LOST_AFTER_MILLIS = BUDGET_MILLIS + 550;

    private record Sent(Client client, long number, long atNanos, boolean duringTrouble) {}

    private Case6() {}

    public static void main(String[] arguments) throws Exception {
        Cases.limit(115);
        Cases.open(Path.of("record.txt"));
        int verdict = 2;
        AtomicInteger commands = new AtomicInteger();
        List<Worker> workers = workers(commands);
        Feed feed = new Feed(Feed.start(
                workers.stream().map(worker -> worker.member("in_service", 0)).toList()));
        try (Cases.Router router =
                new Cases.Router(Path.of(arguments[0]), Settings.json(), 192, 1024, feed)) {
            router.awaitReady();
            verdict = play(router, commands);
        } catch (Exception failure) {
            Cases.log("the case could not run: " + failure);
        }
        Cases.log("exit " + verdict);
        System.exit(verdict);
    }

    private static List<Worker> workers(AtomicInteger commands) throws Exception {
        ScheduledExecutorService pool = Executors.newScheduledThreadPool(4);
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            workers.add(new Worker("s-" + i) {
                @Override
                void go(Connection connection, String request, String fields, byte[] body) {
                    commands.incrementAndGet();
                    Cases.note(id + " runs " + request);
                    pool.schedule(
                            () -> {
                                connection.answer(request, "ACK", "tell=up,meter=backlog:0;x1:0", body);
                                return null;
                            },
                            40,
                            TimeUnit.MILLISECONDS);
                }
            });
        }
        return workers;
    }

    private static int play(Cases.Router router, AtomicInteger commands) throws Exception {
        List<Client> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            usual.add(new Client(router.port));
        }
        List<Sent> sent = new ArrayList<>();
        Random random = new Random(7);
        send(usual, sent, random, 4000, false);
        Cases.log("before: " + commands + " requests reached a worker");
        Cases.Lateness lateness = new Cases.Lateness();
        Process bad = null;
        if (Cases.TROUBLE) {
            bad = Cases.start(
                    BadClients.class,
                    Integer.toString(router.port),
                    Integer.toString(BAD_CLIENTS),
                    Integer.toString(BAD_OPEN),
                    Integer.toString(BAD_BODY),
                    "draft",
                    Long.toString(BUDGET_MILLIS));
            Cases.log(BAD_CLIENTS + " bad clients start");
        }
        Thread.sleep(2000);
        int before = commands.get();
        send(usual, sent, random, 12_000, true);
        Cases.log("in 12 s beside the bad clients: " + (commands.get() - before) + " requests reached a worker");
        Thread.sleep(LOST_AFTER_MILLIS);
        if (bad != null) {
            bad.destroy();
            Cases.log("the bad clients end");
        }
        Thread.sleep(LOST_AFTER_MILLIS + 3000);
        return judge(sent, router, lateness);
    }

    /** Each usual client sends a request every 200 ms. */
    private static void send(List<Client> usual, List<Sent> sent, Random random, long millis, boolean trouble)
            throws Exception {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            for (int i = 0; i < usual.size(); i++) {
                Client client = usual.get(i);
                Map<String, String> fields =
                        Requests.fields(random, Long.toString(BUDGET_MILLIS), random.nextInt(60));
                long number = client.send("draft", fields, new byte[20]);
                sent.add(new Sent(client, number, System.nanoTime(), trouble));
                Cases.note("client " + i + " sends " + fields.get("rid") + " as " + number);
            }
            Thread.sleep(200);
        }
    }

    private static int judge(List<Sent> sent, Cases.Router router, Cases.Lateness lateness) {
        Map<String, Integer> ends = new TreeMap<>();
        int lost = 0;
        for (Sent request : sent) {
            Client.Answer answer = request.client().answers.get(request.number());
            long millis = answer == null ? -1 : (answer.atNanos() - request.atNanos()) / 1_000_000;
            boolean isLost = answer == null || millis > LOST_AFTER_MILLIS;
            lost += isLost ? 1 : 0;
            String end = answer == null ? "no answer" : answer.served() ? "served" : answer.error();
            ends.merge((request.duringTrouble() ? "trouble " : "before ") + end + (isLost ? ", lost" : ""), 1, Integer::sum);
            Cases.note("request " + request.number() + ": " + end + (answer == null ? "" : " after " + millis + " ms")
                    + (isLost ? ", lost" : ""));
        }
        Cases.log("usual requests: " + ends);
        Cases.log("router runs: " + router.process.isAlive() + ", lateness of the usual clients' process "
                + lateness.maxMillis() + " ms");
        if (lateness.maxMillis() > 250) {
            Cases.log("the clients themselves were late: the case could not run");
            return 2;
        }
        Cases.log(lost + " of " + sent.size() + " requests were answered later than half a second after their time");
        return lost > 0 || !router.process.isAlive() ? 1 : 0;
    }
}
