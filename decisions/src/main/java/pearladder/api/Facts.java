package pearladder.api;

import java.util.List;

/** What an instance is told once, at its start. Spans of zero and null lists mean that nothing is set. */
public record Facts(
        int number,
        int peers,
        String zone,
        Span quantum,
        List<Terms> categories,
        List<Account> accounts,
        Allowances allowances,
        Answering answering,
        ColdStart coldStart,
        Ration ration,
        Copies copies,
        Reports reports,
        Roll roll,
        Prices prices) {

    public enum Effect {
        RETRIABLE,
        FINGERPRINTED,
        BINDING
    }

    /** The workers that drop a repeat of a fingerprinted call. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** What is agreed for a category of calls. */
    public record Terms(
            String name,
            Span expected,
            Span abandon,
            double credit,
            double lateCredit,
            Effect effect,
            Group group,
            Span remembered,
            boolean streamed,
            double expectedStretch) {}

    public record Account(String name, double share, double perSecond) {}

    /** @param connecting how long a connection to a worker may take to come up before a call leaves on it */
    public record Allowances(
            int legs,
            boolean secondLegs,
            boolean cancel,
            boolean probes,
            boolean peers,
            boolean retryAfter,
            Span longestRetryAfter,
            double overShareCredit,
            boolean creditByWork,
            Span connecting) {}

    /** How long after its decision a call may leave at the latest. */
    public Span sending() {
        return quantum.plus(allowances.connecting());
    }

    /** How late a final answer and the last send to a draining worker may come. */
    public record Answering(Span grace, Span drainGrace) {}

    /** A cold worker starts at a share of its capacity and falls at a multiple of it sent for a span. */
    public record ColdStart(double startShare, Span warmAfter, double fallMultiple, Span fallAfter) {}

    /** Orders to load within a window: a few, and a share of the calls taken in it. A window of zero: no limit. */
    public record Ration(double free, double share, Span window) {}

    public record Copies(
            Span kept,
            boolean orders,
            boolean loadsOnMiss,
            Span orderTimeout,
            boolean tellsWarm,
            boolean tellsCrowd,
            List<Double> memoryOfKinds) {}

    public record Reports(List<String> values, boolean inAnswers) {}

    /** How the list of workers comes: pushed, or asked for within a span. */
    public record Roll(boolean asked, Span askWithin) {}

    public record Prices(
            double crossing, double waste, double probe, double fetch, double lateFailure, double idleMemory) {}
}
