import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** New configurations in quick succession, in a large fleet of which a part was replaced, end the router. */
final class Case7 {
    private static final int WORKERS = 3200;
    /** Six in ten. */
    private static final int REPLACED = 1920;

    private static final int REPLACED_BY_EVENT = 160;
    private static final int MEMORY_MB = 128;
    private static final int SOCKETS = 1024;
    private static final int RELOADS = 40;
    private static final long RELOAD_GAP_MILLIS = 50;
    private static final long BUDGET_MILLIS = 3000;
    private static final long LOST_AFTER_MILLIS = BUDGET_MILLIS + 550;

    private Case7() {}

    public static void main(String[] arguments) throws Exception {
        Cases.limit(115);
        Cases.open(Path.of("record.txt"));
        int verdict = 2;
        Feed feed = new Feed(events(new Fleet(WORKERS, worker())));
        try (Cases.Router router =
                new Cases.Router(Path.of(arguments[0]), Settings.json(), MEMORY_MB, SOCKETS, feed)) {
            router.awaitReady();
            verdict = play(router, feed);
        } catch (Exception failure) {
            Cases.log("the case could not run: " + failure);
        }
        Cases.log("exit " + verdict);
        System.exit(verdict);
    }

    private static Worker worker() throws Exception {
        return new Worker("any") {
            @Override
            void go(Connection connection, String request, String fields, byte[] body) throws Exception {
                Cases.note("a worker runs " + request);
                super.go(connection, request, fields, body);
            }
        };
    }

    /** The whole list, then the changes by which six in ten workers are replaced at their addresses. */
    private static List<String> events(Fleet fleet) throws Exception {
        List<String> members = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            members.add(Worker.member(id(i), "in_service", 0, fleet.ports.get(i)));
        }
        Feed feed = new Feed(Feed.start(members));
        long started = System.currentTimeMillis() - 60_000;
        for (int first = 0; first < REPLACED; first += REPLACED_BY_EVENT) {
            List<String> changes = new ArrayList<>();
            for (int i = first; i < first + REPLACED_BY_EVENT; i++) {
                int port = fleet.ports.get(i);
                changes.add(Worker.member(id(i), "terminating", 0, port));
                changes.add(Worker.member(id(i), "terminated", 0, port));
                changes.add(Worker.member(id(WORKERS + i), "in_service", started, port));
            }
            feed.tell(changes.toArray(new String[0]));
        }
        feed.close();
        return feed.events();
    }

    private static String id(int number) {
        return String.format("s-%08x", number * 2654435761L & 0xffffffffL);
    }

    private static int play(Cases.Router router, Feed first) throws Exception {
        Cases.log("ready; the configuration has " + Files.size(router.config()) + " bytes, memory " + MEMORY_MB + " MB");
        Client client = new Client(router.port);
        List<Long> numbers = new ArrayList<>();
        boolean[] over = {false};
        Thread sender = Cases.daemon("usual client", () -> send(client, numbers, over));
        Thread.sleep(1000);
        if (Cases.TROUBLE) {
            reload(router, first);
        }
        Thread.sleep(10_000);
        over[0] = true;
        sender.join();
        Thread.sleep(LOST_AFTER_MILLIS);
        return judge(router, client, numbers);
    }

    /** 100 requests a second. */
    private static void send(Client client, List<Long> numbers, boolean[] over) throws Exception {
        Random random = new Random(3);
        while (!over[0]) {
            Map<String, String> fields =
                    Requests.fields(random, Long.toString(BUDGET_MILLIS), random.nextInt(60));
            long number = client.send("draft", fields, new byte[50]);
            numbers.add(number);
            Cases.note("the client sends " + fields.get("rid") + " as " + number);
            Thread.sleep(10);
        }
    }

    /** Each new configuration names another address of discovery; the one before tells nothing more, and then closes. */
    private static void reload(Cases.Router router, Feed first) throws Exception {
        Feed present = first;
        for (int i = 1; i <= RELOADS && router.process.isAlive(); i++) {
            Feed next = new Feed(present.events());
            router.write(Settings.json(), MEMORY_MB, SOCKETS, next);
            router.signal("HUP");
            Cases.note("SIGHUP " + i + ", discovery at port " + next.port());
            Feed old = present;
            old.silence(true);
            Cases.daemon("old feed", () -> {
                Thread.sleep(1500);
                old.close();
            });
            present = next;
            Thread.sleep(RELOAD_GAP_MILLIS);
        }
        Cases.log("the signals are sent");
    }

    private static int judge(Cases.Router router, Client client, List<Long> numbers) throws Exception {
        Map<String, Integer> ends = new TreeMap<>();
        int lost = 0;
        for (long number : numbers) {
            Client.Answer answer = client.answers.get(number);
            long millis = answer == null ? -1 : (answer.atNanos() - client.sentAt.get(number)) / 1_000_000;
            lost += answer == null || millis > LOST_AFTER_MILLIS ? 1 : 0;
            String end = answer == null ? "no answer" : answer.served() ? "served" : answer.error();
            ends.merge(end, 1, Integer::sum);
            Cases.note("request " + number + ": " + end + (answer == null ? "" : " after " + millis + " ms"));
        }
        Cases.log("requests: " + ends + ", lost: " + lost);
        boolean runs = router.process.isAlive();
        Cases.log(runs ? "the router runs" : "the router has ended with status " + router.process.exitValue());
        for (String line : router.log().split("\n")) {
            if (line.contains("OutOfMemoryError")) {
                Cases.log("its log: " + line);
            }
        }
        return runs && lost == 0 ? 0 : 1;
    }
}
