package pearladder.router.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.api.Action;
import pearladder.api.Dispatcher;
import pearladder.api.Event;
import pearladder.api.Facts;
import pearladder.api.Moment;
import pearladder.api.Outcome;
import pearladder.api.Span;
import pearladder.kserve.FinalState;

/**
 * The calls that a router holds: each is told to the module, its legs go out as the module says, and it gets its one final
 * answer. What the module decides is done here and nowhere else.
 */
public final class Calls implements Conductor.Hands {
    /**
     * A call as it was understood at the door.
     *
     * @param named the name that workers see
     * @param mark against repeats, or null
     * @param account null where there are none
     * @param lanes calls that a loaded copy runs at once
     * @param usualLoad null where it is not known
     * @param hint of its work, or null
     * @param ending hears how it ended
     */
    public record Asked(
            String named,
            String function,
            String mark,
            Moment came,
            Span timeLeft,
            Facts.Terms category,
            String account,
            int lanes,
            double memoryMb,
            Span usualLoad,
            Span hint,
            boolean repeat,
            Ending ending) {}

    /** Hears how a call ended: whoever chose its function wants to know. */
    public interface Ending {
        /** Hears nothing. */
        Ending NONE = new Ending() {
            @Override
            public void ended(boolean well, List<String> engines) {
                // nobody asked
            }

            @Override
            public void left() {
                // nobody asked
            }
        };

        /** @param well settled, without a worker's error, within its expected time */
        void ended(boolean well, List<String> engines);

        /** Its client left before its answer. */
        void left();
    }

    /** Hears for what share of the load wanted ahead copies of a function stand. */
    public interface Standings {
        void standing(String function, double share);
    }

    private static final Logger LOG = LoggerFactory.getLogger(Calls.class);

    private final Facts facts;
    private final Timers timers;
    private final Engines engines;
    private final Tally tally;
    private final Chronicle chronicle;
    private final Conductor conductor;
    private final Map<String, OpenCall> open = new HashMap<>();
    private Standings standings = (function, share) -> {};
    private long numbered;
    private Runnable emptied;

    /** @param chronicle hears what happens */
    public Calls(Facts facts, Timers timers, Dispatcher module, Engines engines, Tally tally, Chronicle chronicle) {
        this.chronicle = chronicle;
        this.facts = facts;
        this.timers = timers;
        this.engines = engines;
        this.tally = tally;
        this.conductor = new Conductor(timers, module, tally, this);
    }

    /** Who wants copies ahead; told once, before the first call. */
    public void standings(Standings wanted) {
        standings = wanted;
    }

    /** Tells the module of something that happened. */
    public void tell(Event event) {
        conductor.tell(event);
    }

    /** Calls that are held now. */
    public int size() {
        return open.size();
    }

    /** Nothing more reaches the module. */
    public void end() {
        conductor.end();
    }

    /** Runs something once no call is held. */
    public void whenEmpty(Runnable what) {
        if (open.isEmpty()) {
            what.run();
        } else {
            emptied = what;
        }
    }

    /** Gives every call that is held its answer: terminated. */
    public void terminateAll() {
        List.copyOf(open.values()).forEach(call -> terminate(new Action.Terminate(call.id)));
    }

    /** Takes a call; from here on it gets one final answer. */
    public OpenCall take(Asked asked, Reply reply) {
        String id = Long.toString(++numbered);
        OpenCall call = new OpenCall(
                id,
                asked.named(),
                asked.function(),
                asked.ending(),
                asked.mark(),
                asked.account() == null ? "" : asked.account(),
                reply,
                asked.came(),
                asked.came().plus(asked.category().expected()));
        open.put(id, call);
        conductor.tell(new Event.CallCame(
                id,
                call.function,
                asked.category().name(),
                asked.account(),
                asked.timeLeft(),
                asked.lanes(),
                asked.memoryMb(),
                asked.usualLoad(),
                asked.hint(),
                asked.repeat(),
                false));
        return call;
    }

    /** The client is gone: nothing is owed any more, and what still runs for it is called off. */
    public void left(OpenCall call) {
        if (call.over) {
            return;
        }
        call.over = true;
        tally.clientLeft();
        chronicle.ended(call, "left", timers.now().since(call.taken));
        call.ending.left();
        conductor.tell(new Event.ClientLeft(call.id));
        List.copyOf(call.legs).forEach(facts.allowances().cancel() ? this::cancel : this::takeBack);
        forget(call);
    }

    private void forget(OpenCall call) {
        if (call.over && call.legsOut == 0 && open.remove(call.id) != null) {
            call.reply.forgotten();
            if (emptied != null && open.isEmpty()) {
                Runnable then = emptied;
                emptied = null;
                then.run();
            }
        }
    }

    /** Whether a call still gets its one final answer, which is given now; false where it had one before. */
    private boolean answers(OpenCall call, FinalState state) {
        if (call == null || call.over) {
            return false;
        }
        call.over = true;
        Moment now = timers.now();
        tally.answered(state, now.since(call.taken).nanos());
        chronicle.ended(call, state.word(), now.since(call.taken));
        call.ending.ended(
                state == FinalState.SETTLED && !call.erred && now.before(call.expectedBy),
                call.legs.stream().map(leg -> leg.engine).distinct().toList());
        return true;
    }

    // ---- what the module asks for

    @Override
    public void send(Action.Send send) {
        OpenCall call = open.get(send.call());
        if (call == null) {
            LOG.error("a leg for a call that is not held: {}", send.call());
            return;
        }
        OpenLeg leg = new OpenLeg(call, call.legs.size(), send.worker(), timers.now());
        call.legs.add(leg);
        call.legsOut++;
        if (call.over) {
            ended(leg, Outcome.VOID, null);
        } else {
            leg.sending = engines.send(leg, send.limit(), (outcome, said) -> ended(leg, outcome, said));
        }
    }

    private void ended(OpenLeg leg, Outcome outcome, EngineSaid said) {
        OpenCall call = leg.call;
        leg.ended = true;
        call.legsOut--;
        tally.legEnded(outcome);
        chronicle.legEnded(leg, outcome, said, timers.now().since(leg.sent));
        call.erred |= outcome == Outcome.ERROR || said != null && said.copy() == Event.Copy.LOAD_FAILED;
        if (outcome == Outcome.SUCCESS && answers(call, FinalState.SETTLED)) {
            call.reply.settled(said);
            List.copyOf(call.legs).forEach(this::takeBack);
        }
        conductor.tell(new Event.LegEnded(
                call.id,
                leg.number,
                leg.engine,
                outcome,
                timers.now().since(leg.sent),
                call.over,
                said == null ? Event.Copy.UNTOLD : said.copy(),
                said == null ? -1 : said.crowd(),
                said == null ? null : said.report()));
        forget(call);
    }

    /**
     * Guards against a leg that leaves after its call has ended, because its connection came up late: no allowance is needed
     * for what no engine has heard of.
     */
    private void takeBack(OpenLeg leg) {
        if (!leg.ended && leg.sending != null) {
            leg.sending.takeBack();
        }
    }

    private void cancel(OpenLeg leg) {
        if (!leg.ended && leg.sending != null) {
            leg.sending.cancel();
        }
    }

    @Override
    public void cancel(Action.Cancel cancel) {
        OpenCall call = open.get(cancel.call());
        if (call != null && cancel.leg() < call.legs.size()) {
            cancel(call.legs.get(cancel.leg()));
        }
    }

    @Override
    public void dismiss(Action.Dismiss dismiss) {
        OpenCall call = open.get(dismiss.call());
        if (answers(call, FinalState.DISMISSED)) {
            call.reply.dismissed(dismiss.retryAfter());
        }
        if (call != null) {
            forget(call);
        }
    }

    @Override
    public void terminate(Action.Terminate terminate) {
        OpenCall call = open.get(terminate.call());
        if (answers(call, FinalState.TERMINATED)) {
            call.reply.terminated();
            List.copyOf(call.legs).forEach(this::takeBack);
        }
        if (call != null) {
            forget(call);
        }
    }

    @Override
    public void hold(Action.Hold hold) {
        chronicle.ordering(hold.worker(), hold.function(), hold.copies(), refusal -> {
            if (refusal.isEmpty()) {
                order(hold);
            } else {
                conductor.tell(new Event.LoadAnswered(hold.worker(), hold.function(), Outcome.VOID, 0, Span.NONE));
            }
        });
    }

    private void order(Action.Hold hold) {
        Moment sent = timers.now();
        tally.ordered();
        engines.order(
                hold.worker(), hold.function(), hold.copies(), facts.copies().orderTimeout(), (outcome, copies) -> {
                    Span took = timers.now().since(sent);
                    chronicle.ordered(hold.worker(), hold.function(), outcome, copies, took);
                    conductor.tell(new Event.LoadAnswered(hold.worker(), hold.function(), outcome, copies, took));
                });
    }

    @Override
    public void unload(Action.Unload unload) {
        engines.unload(unload.worker(), unload.function(), facts.copies().orderTimeout());
    }

    @Override
    public void probe(Action.Probe probe) {
        Moment sent = timers.now();
        engines.probe(
                probe.worker(),
                facts.copies().orderTimeout(),
                (outcome, said) -> conductor.tell(new Event.Probed(
                        probe.worker(), outcome, timers.now().since(sent), said == null ? null : said.report())));
    }

    @Override
    public void closeIdle(Action.CloseIdle close) {
        engines.closeIdle(close.worker());
    }

    @Override
    public void subscribe(Action.Subscribe subscribe) {
        if (subscribe.on()) {
            engines.watchList();
        }
    }

    @Override
    public void standing(Action.Standing standing) {
        standings.standing(standing.function(), standing.share());
    }

    @Override
    public void fetchList() {
        engines.watchList();
    }
}
