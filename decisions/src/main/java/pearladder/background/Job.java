package pearladder.background;

import java.util.Comparator;
import pearladder.routing.api.MonotonicTime;

/** A waiting or running job. {@link BackgroundScheduler} and {@link JobQueue} own it. */
final class Job {
    /** The earliest deadline first, then in the order in which they were submitted. */
    static final Comparator<Job> BY_DEADLINE =
            Comparator.comparingLong(Job::deadlineNanos).thenComparingLong(job -> job.number);

    final JobEvent.JobSubmitted request;
    final JobQueue queue;
    private final long number;
    /** Start tag of fair queueing, in seconds of the class's budget; set when the job is considered for a start. */
    double startTag;
    /** Earliest start: the time of submission, or the end of the back-off if the job has failed. */
    MonotonicTime notBefore;
    /** Number of the last attempt; 0 before the first. */
    int attempt;

    boolean isRunning;

    /** @param number sequence number of the job by order of submission */
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
