package pearladder.background;

import java.util.Comparator;
import pearladder.routing.api.MonotonicTime;

/** A job that waits or runs. {@link BackgroundScheduler} and {@link JobQueue} own it. */
final class Job {
    /** The earliest deadline first, then in the order in which they were submitted. */
    static final Comparator<Job> BY_DEADLINE =
            Comparator.comparingLong(Job::deadlineNanos).thenComparingLong(job -> job.number);

    final JobEvent.JobSubmitted request;
    final JobQueue queue;
    private final long number;
    /** Start tag of fair queueing, in seconds of the class's budget; set when the job is considered. */
    double startTag;
    /** Earliest start: when it was submitted, or after the back-off when it has failed. */
    MonotonicTime notBefore;
    /** Number of the last attempt; 0 before the first. */
    int attempt;

    boolean isRunning;

    /** @param number of the job in the order in which they were submitted */
    Job(JobEvent.JobSubmitted request, JobQueue queue, long number, MonotonicTime submittedAt) {
        this.request = request;
        this.queue = queue;
        this.number = number;
        this.notBefore = submittedAt;
    }

    String id() {
        return request.id();
    }

    String tenant() {
        return request.tenant();
    }

    ResourceCost expectedCost() {
        return request.expectedCost();
    }

    boolean hasDeadline() {
        return request.startBy() != null;
    }

    long deadlineNanos() {
        return hasDeadline() ? request.startBy().nanos() : Long.MAX_VALUE;
    }
}
