package pearladder.api;

import java.util.List;
import pearladder.state.Known;

/** What happened. Ids are the caller's; the module looks them up at its door. */
public sealed interface Event {
    enum Standing {
        IN_SERVICE,
        DRAINING,
        GONE
    }

    enum ListKind {
        CHANGES,
        WHOLE,
        REMEMBERED,
        FAILED
    }

    /** A worker as the list shows it; since is null when it has run for long. */
    record Listing(
            String worker, String zone, String kind, long cell, Standing standing, double weight, Moment since) {}

    record Listed(ListKind kind, List<Listing> listings) implements Event {}

    /** A call; hint and usualLoad are null where they are not told, account is null where there are none. */
    record CallCame(
            String call,
            String function,
            String category,
            String account,
            Span timeLeft,
            int lanes,
            double memoryMb,
            Span usualLoad,
            Span hint,
            boolean resent,
            boolean write)
            implements Event {}

    record StreamBegan(String call, int leg, String worker, Span took) implements Event {}

    /** How the call met its copy, as a settled answer tells it. */
    enum Copy {
        UNTOLD,
        STOOD,
        LOAD_BEGUN,
        LOAD_JOINED,
        LOAD_FAILED
    }

    /** One leg ended; over says that the call has ended too; alike is -1 where it is not told. */
    record LegEnded(
            String call,
            int leg,
            String worker,
            Outcome outcome,
            Span took,
            boolean over,
            Copy copy,
            int alike,
            Report report)
            implements Event {}

    record ClientLeft(String call) implements Event {}

    record Probed(String worker, Outcome outcome, Span took, Report report) implements Event {}

    record LoadAnswered(String worker, String function, Outcome outcome, int copies, Span took) implements Event {}

    /**
     * Copies of a function are to stand ahead of its calls, for a share of what another function's copies bear now; like
     * itself, those that stand are only kept. A share of 0 takes the wish back.
     */
    record Wanted(String function, String like, double share, int lanes, double memoryMb, Span usualLoad)
            implements Event {}

    /** What of an earlier life may be believed; told after the remembered list, before the first call. */
    record Recalled(Known known) implements Event {}

    record Due(String tag) implements Event {}

    record PeerSaid(int peer, String text) implements Event {}

    /** A worker's own report; a value that is not reported is NaN. */
    record Report(double held, double waiting, double busy, double loads, double pinned) {}
}
