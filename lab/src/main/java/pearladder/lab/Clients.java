package pearladder.lab;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import pearladder.emulator.Seen;
import pearladder.kserve.FinalState;
import pearladder.kserve.Headers;

/**
 * The day's clients: each call goes out at its time whether or not earlier ones came back; a client gives up, comes back
 * when told to, and repeats only what its category lets it repeat. One of these runs on one event loop; a day that sends
 * more than a loop can has several.
 */
final class Clients {
    /** How much longer than its patience a client listens, only to see what comes too late. */
    private static final long LISTENS = 400_000_000L;
    private static final long LEAST = 20_000_000L;
    private static final long WATCH = 10_000_000L;
    private static final long PAUSE = 40_000_000L;
    private static final int WARM_UPS = 100;

    private final class Call {
        final Source.Drawn drawn;
        final CategoryTerms terms;
        final long due;
        final String mark;
        int tries;

        Call(Source.Drawn drawn) {
            this.drawn = drawn;
            this.terms = plan.rules().categories().get(drawn.category());
            this.due = begun + drawn.due();
            this.mark = terms.effect() == CategoryTerms.Effect.FINGERPRINTED ? "m" + drawn.number() : "";
        }
    }

    private final Vertx vertx;
    private final DayPlan plan;
    private final Front front;
    private final Books books;
    private final Consumer<Seen> seen;
    private final HttpClient client;
    private final Source traffic;
    private final SplittableRandom chance;
    private long begun;
    private Source.Drawn next;
    private int open;
    private Runnable ended;

    /** @param lane its number among those of the day, for its own chance */
    Clients(Vertx vertx, DayPlan plan, int lane, Source source, Front front, Books books, Consumer<Seen> seen) {
        this.vertx = vertx;
        this.plan = plan;
        this.front = front;
        this.books = books;
        this.seen = seen;
        this.traffic = source;
        this.chance = new SplittableRandom(plan.seed() * 31 + 7 + lane * 1_000_003L);
        this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(1000).setTcpNoDelay(true)
                .setKeepAliveTimeout(20), new PoolOptions().setHttp1MaxSize(20_000).setMaxWaitQueueSize(-1));
    }

    /** Notes every pause of this process: what came meanwhile was seen late, whoever was on time. */
    private void watch(long last) {
        vertx.setTimer(WATCH / 1_000_000, fired -> {
            long now = System.nanoTime();
            if (now - last > PAUSE) {
                seen.accept(new Seen(now, Seen.PAUSED, "", "", 0, "", "", "", now - last - WATCH));
            }
            watch(now);
        });
    }

    /** Asks each router a few hundred things of no weight, so that the first calls don't measure class loading here. */
    Future<Void> warmUp(List<Integer> ports) {
        Future<Void> all = Future.succeededFuture();
        for (int i = 0; i < WARM_UPS; i++) {
            List<Future<Void>> round = ports.stream().map(port -> client.request(HttpMethod.GET, port, "127.0.0.1",
                    "/v2/health/live").compose(HttpClientRequest::send).compose(HttpClientResponse::body)
                    .<Void>mapEmpty()).toList();
            all = all.compose(done -> Future.join(round).mapEmpty());
        }
        return all;
    }

    /** Sends the day's calls from a moment on; tells when the last one has ended. */
    void play(long start, Runnable done) {
        begun = start;
        ended = done;
        next = traffic.next();
        watch(System.nanoTime());
        turn();
    }

    private void turn() {
        long now = System.nanoTime();
        while (next != null && begun + next.due() <= now) {
            books.sent(now - begun - next.due());
            open++;
            send(new Call(next));
            next = traffic.next();
        }
        if (next != null) {
            vertx.setTimer(Math.max(1, (begun + next.due() - now) / 1_000_000), fired -> turn());
        } else if (open == 0) {
            ended.run();
        }
    }

    private void send(Call call) {
        long now = System.nanoTime();
        long left = call.due + call.terms.abandon() - now;
        if (left < LEAST) {
            end(call, Books.End.UNANSWERED);
            return;
        }
        long patience = Math.min(left, Math.round(call.terms.abandon() * call.drawn.patience()));
        Front.Target target = front.next(call.drawn.hall(), now);
        String id = "c" + call.drawn.number() + "." + call.tries++;
        books.tried();
        new Try(call, id, target, now, patience).go();
    }

    private final class Try {
        final Call call;
        final String id;
        final Front.Target target;
        final long sent;
        final long patience;
        HttpClientRequest request;
        boolean over;
        long timer;

        Try(Call call, String id, Front.Target target, long sent, long patience) {
            this.call = call;
            this.id = id;
            this.target = target;
            this.sent = sent;
            this.patience = patience;
        }

        void note(String what, String note, double figure) {
            seen.accept(new Seen(System.nanoTime(), what, target.router(), id, 0, "", call.drawn.model(), note, figure));
        }

        void go() {
            boolean leaves = chance.nextDouble() < plan.clients().leaving();
            long stays = leaves ? Math.round(patience * chance.nextDouble()) : patience + LISTENS;
            seen.accept(new Seen(sent, Seen.SENT, target.router(), id, 0, "", call.drawn.model(), call.terms.name(),
                    patience));
            timer = vertx.setTimer(Math.max(1, stays / 1_000_000), fired -> unanswered(leaves ? "left" : "gave up"));
            client.request(new RequestOptions().setMethod(HttpMethod.POST).setHost("127.0.0.1").setPort(target.port())
                    .setURI("/v2/models/" + call.drawn.model() + "/infer")).onComplete(this::write,
                            unreached -> unanswered("unreachable"));
        }

        private void write(HttpClientRequest asked) {
            if (over) {
                asked.reset();
                return;
            }
            request = asked;
            request.putHeader("content-type", "application/json").putHeader(Headers.CALL, id)
                    .putHeader(Headers.CATEGORY, call.terms.name())
                    .putHeader(Headers.PATIENCE, Long.toString(Math.max(1, patience / 1_000_000)));
            if (!call.drawn.account().isEmpty()) {
                request.putHeader(Headers.ACCOUNT, call.drawn.account());
            }
            if (!call.mark.isEmpty()) {
                request.putHeader(Headers.MARK, call.mark);
            }
            if (call.tries > 1) {
                request.putHeader(Headers.REPEAT, "1");
            }
            request.send(Buffer.buffer("{\"parameters\":{\"work_ms\":" + call.drawn.work() / 1e6
                    + "},\"inputs\":[{\"name\":\"in\",\"datatype\":\"BYTES\",\"shape\":[1],\"data\":[\"text\"]}]}"))
                    .onComplete(this::answered, cut -> unanswered("cut"));
        }

        private void answered(HttpClientResponse response) {
            response.body().onComplete(body -> {
                if (over) {
                    return;
                }
                over = true;
                vertx.cancelTimer(timer);
                FinalState state = FinalState.of(response.getHeader(Headers.STATE));
                String version = response.getHeader(Headers.VERSION);
                seen.accept(new Seen(System.nanoTime(), Seen.ANSWERED, target.router(), id, 0, "", call.drawn.model()
                        + (version == null ? "" : "@" + version), state == null ? "status " + response.statusCode()
                        : state.word(), 0));
                String wait = response.getHeader(Headers.RETRY_AFTER_MS);
                ended(state, wait != null && wait.matches("[0-9]{1,9}") ? Long.parseLong(wait) * 1_000_000L : 0);
            }, half -> unanswered("cut"));
        }

        private void unanswered(String how) {
            if (over) {
                return;
            }
            over = true;
            vertx.cancelTimer(timer);
            if (request != null) {
                request.reset();
            }
            note(Seen.UNANSWERED, how, 0);
            if (how.equals("left") || !how.equals("unreachable") && !mayRepeat(call) || !retry(call, 0)) {
                end(call, Books.End.UNANSWERED);
            }
        }

        private void ended(FinalState state, long wait) {
            long took = System.nanoTime() - call.due;
            if (state == FinalState.SETTLED) {
                end(call, took <= call.terms.expected() ? Books.End.SETTLED
                        : took <= call.terms.abandon() ? Books.End.LATE : Books.End.UNANSWERED);
                return;
            }
            boolean dismissed = state == FinalState.DISMISSED;
            if (!dismissed && !mayRepeat(call) || !retry(call, wait)) {
                end(call, dismissed ? Books.End.DISMISSED : Books.End.TERMINATED);
            }
        }
    }

    /** What a category lets a client repeat after a try that may have taken effect. */
    private static boolean mayRepeat(Call call) {
        return switch (call.terms.effect()) {
            case RETRIABLE -> true;
            case FINGERPRINTED -> call.terms.group() == CategoryTerms.Group.ALL
                    && System.nanoTime() - call.due < call.terms.remembered() / 2;
            case BINDING -> false;
        };
    }

    /** Comes back when told to, or after its pause, each with a random part; false where no try is left. */
    private boolean retry(Call call, long wait) {
        long pause = Math.round(Math.max(wait, plan.clients().pause()) * (0.75 + 0.5 * chance.nextDouble()));
        long left = call.due + call.terms.abandon() - System.nanoTime() - pause;
        if (call.tries >= plan.clients().tries() || left < LEAST) {
            return false;
        }
        vertx.setTimer(Math.max(1, pause / 1_000_000), fired -> send(call));
        return true;
    }

    private void end(Call call, Books.End how) {
        books.ended(call.terms, call.drawn.account(), call.drawn.due(), System.nanoTime() - call.due, how);
        open--;
        if (next == null && open == 0) {
            ended.run();
        }
    }
}
