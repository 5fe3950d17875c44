package pearladder.testbed;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import pearladder.emulator.Observation;
import pearladder.emulator.Timeline;
import pearladder.kserve.RequestOutcome;

/**
 * The day's clients: each call goes out at its time whether or not earlier ones came back; a client gives up, comes back
 * when told to, and repeats only what its category lets it repeat. One of these lives on one thread; a day that sends more
 * than an event loop can has several. How a try travels is the wire's: sockets, or a rehearsal's virtual network.
 */
public final class LoadGenerator {
    /** How a try travels to a router and its answer back. */
    public interface Wire {
        /** A try that is out; dropping it closes its connection. */
        interface Out {
            void drop();
        }

        Out send(Request request, Heard heard);
    }

    /**
     * A try as its router gets it.
     *
     * @param patience nanoseconds
     * @param mark empty where there is none
     */
    public record Request(
            ClientLoadBalancer.Target target,
            String id,
            RequestSource.Drawn drawn,
            CategoryTerms terms,
            String mark,
            boolean repeat,
            long patience) {}

    /** What a client hears of its try: one of the two, once. */
    public interface Heard {
        /** @param state null where the answer names none; version empty where there is none; wait nanoseconds to come back */
        void answered(RequestOutcome state, int status, String version, long wait);

        /** @param how "unreachable" where nothing left, else "cut" */
        void unanswered(String how);
    }

    /** How much longer than its patience a client listens, only to see what comes too late. */
    private static final long LISTENS = 400_000_000L;

    private static final long LEAST = 20_000_000L;

    private final class Call {
        final RequestSource.Drawn drawn;
        final CategoryTerms terms;
        final long due;
        final String mark;
        int tries;

        Call(RequestSource.Drawn drawn) {
            this.drawn = drawn;
            this.terms = plan.rules().categories().get(drawn.category());
            this.due = begun + drawn.due();
            this.mark = terms.effect() == CategoryTerms.Effect.FINGERPRINTED ? "m" + drawn.number() : "";
        }
    }

    private final Timeline time;
    private final Wire wire;
    private final ScenarioPlan plan;
    private final ClientLoadBalancer front;
    private final LoadStatistics books;
    private final Consumer<Observation> seen;
    private final RequestSource traffic;
    private final SplittableRandom chance;
    private boolean heedless;
    private long begun;
    private RequestSource.Drawn next;
    private int open;
    private Runnable ended;

    /** @param lane its number among those of the day, for its own chance */
    public LoadGenerator(
            Timeline time,
            Wire wire,
            ScenarioPlan plan,
            int lane,
            RequestSource source,
            ClientLoadBalancer front,
            LoadStatistics books,
            Consumer<Observation> seen) {
        this.time = time;
        this.wire = wire;
        this.plan = plan;
        this.front = front;
        this.books = books;
        this.seen = seen;
        this.traffic = source;
        this.chance = new SplittableRandom(plan.seed() * 31 + 7 + lane * 1_000_003L);
    }

    /** Sends the day's calls from a moment on; tells when the last one has ended. */
    public void play(long start, Runnable done) {
        begun = start;
        ended = done;
        next = traffic.next();
        turn();
    }

    /** Clients that come back at once, whatever they were told. */
    public void heedless(boolean on) {
        heedless = on;
    }

    private void turn() {
        long now = time.now();
        while (next != null && begun + next.due() <= now) {
            books.sent(now - begun - next.due());
            open++;
            send(new Call(next));
            next = traffic.next();
        }
        if (next != null) {
            time.at(begun + next.due(), this::turn);
        } else if (open == 0) {
            ended.run();
        }
    }

    private void send(Call call) {
        long now = time.now();
        long left = call.due + call.terms.abandon() - now;
        if (left < LEAST) {
            end(call, LoadStatistics.End.UNANSWERED);
            return;
        }
        long patience = Math.min(left, Math.round(call.terms.abandon() * call.drawn.patience()));
        ClientLoadBalancer.Target target = front.next(call.drawn.hall(), now);
        String id = "c" + call.drawn.number() + "." + call.tries++;
        books.tried();
        new Try(call, new Request(target, id, call.drawn, call.terms, call.mark, call.tries > 1, patience)).go(now);
    }

    private final class Try implements Heard {
        final Call call;
        final Request request;
        Wire.Out out;
        Timeline.Planned patience;
        boolean over;

        Try(Call call, Request request) {
            this.call = call;
            this.request = request;
        }

        void note(String what, String model, String note) {
            seen.accept(
                    new Observation(time.now(), what, request.target().router(), request.id(), 0, "", model, note, 0));
        }

        void go(long now) {
            boolean leaves = chance.nextDouble() < plan.clients().leaving();
            long stays = leaves ? Math.round(request.patience() * chance.nextDouble()) : request.patience() + LISTENS;
            seen.accept(new Observation(
                    now,
                    Observation.SENT,
                    request.target().router(),
                    request.id(),
                    0,
                    "",
                    call.drawn.model(),
                    call.terms.name(),
                    request.patience()));
            patience = time.after(stays, () -> unanswered(leaves ? "left" : "gave up"));
            Wire.Out sent = wire.send(request, this);
            if (over) {
                sent.drop();
            }
            out = sent;
        }

        @Override
        public void answered(RequestOutcome state, int status, String version, long wait) {
            if (over) {
                return;
            }
            over = true;
            patience.callOff();
            note(
                    Observation.ANSWERED,
                    call.drawn.model() + (version.isEmpty() ? "" : "@" + version),
                    state == null ? "status " + status : state.code());
            ended(state, heedless ? 0 : wait);
        }

        @Override
        public void unanswered(String how) {
            if (over) {
                return;
            }
            over = true;
            patience.callOff();
            if (out != null) {
                out.drop();
            }
            note(Observation.UNANSWERED, call.drawn.model(), how);
            if (how.equals("left") || !how.equals("unreachable") && !mayRepeat(call) || !retry(call, 0)) {
                end(call, LoadStatistics.End.UNANSWERED);
            }
        }

        private void ended(RequestOutcome state, long wait) {
            long took = time.now() - call.due;
            if (state == RequestOutcome.SETTLED) {
                end(
                        call,
                        took <= call.terms.expected()
                                ? LoadStatistics.End.SETTLED
                                : took <= call.terms.abandon()
                                        ? LoadStatistics.End.LATE
                                        : LoadStatistics.End.UNANSWERED);
                return;
            }
            boolean dismissed = state == RequestOutcome.DISMISSED;
            if (!dismissed && !mayRepeat(call) || !retry(call, wait)) {
                end(call, dismissed ? LoadStatistics.End.DISMISSED : LoadStatistics.End.TERMINATED);
            }
        }
    }

    /** What a category lets a client repeat after a try that may have taken effect. */
    private boolean mayRepeat(Call call) {
        return switch (call.terms.effect()) {
            case RETRIABLE -> true;
            case FINGERPRINTED -> call.terms.group() == CategoryTerms.Group.ALL
                    && time.now() - call.due < call.terms.remembered() / 2;
            case BINDING -> false;
        };
    }

    /** Comes back when told to, or after its pause, each with a random part; false where no try is left. */
    private boolean retry(Call call, long wait) {
        long pause = heedless
                ? LEAST
                : Math.round(Math.max(wait, plan.clients().pause()) * (0.75 + 0.5 * chance.nextDouble()));
        long left = call.due + call.terms.abandon() - time.now() - pause;
        if (call.tries >= plan.clients().tries() || left < LEAST) {
            return false;
        }
        time.after(pause, () -> send(call));
        return true;
    }

    private void end(Call call, LoadStatistics.End how) {
        books.ended(call.terms, call.drawn.account(), call.drawn.due(), time.now() - call.due, how);
        open--;
        if (next == null && open == 0) {
            ended.run();
        }
    }
}
