package pearladder.background;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Queue of the jobs of one class: keeps its budget, and shares it between its tenants by start-time fair queueing
 * (Goyal, Vin and Cheng, SIGCOMM 1996). A job's start tag is the larger of the class's virtual time and its tenant's
 * last finish tag; the job with the smallest start tag is started first, so one tenant is ahead of another by at most
 * one job of each. Jobs of one tenant are started by deadline.
 */
final class JobQueue {
    /** Minimum weight of a job, so that tenants whose jobs have no cost share by the number of jobs. */
    private static final double MIN_WEIGHT = 1e-6;

    final JobClass jobClass;
    /** Waiting jobs by tenant, each list by deadline; no list is empty. */
    private final Map<String, List<Job>> waitingByTenant = new LinkedHashMap<>();
    /** Finish tag of each tenant that is ahead of the virtual time. */
    private final Map<String, Double> finishTags = new LinkedHashMap<>();

    private double virtualTime;
    /** Budget that may be spent now; negative after a job that cost more than expected, until it is refilled. */
    private ResourceCost available;

    private MonotonicTime refilledAt;
    private int runningCount;
    private int waitingCount;
    /** Whether jobs wait because the event-loop lag is too high for the class's rank. */
    private boolean isSuspended;

    /** Creates a queue with its whole burst available. */
    JobQueue(JobClass jobClass, MonotonicTime createdAt) {
        this.jobClass = jobClass;
        this.available = jobClass.burst();
        this.refilledAt = createdAt;
    }

    // ---- waiting jobs

    void add(Job job) {
        List<Job> own = waitingByTenant.computeIfAbsent(job.tenant(), tenant -> new ArrayList<>());
        own.add(job);
        own.sort(Job.BY_DEADLINE);
        waitingCount++;
    }

    /** Removes a job; does nothing if it is not waiting. */
    void remove(Job job) {
        List<Job> own = waitingByTenant.get(job.tenant());
        if (own != null && own.remove(job)) {
            waitingCount--;
            if (own.isEmpty()) {
                waitingByTenant.remove(job.tenant());
            }
        }
    }

    int waitingCount() {
        return waitingCount;
    }

    boolean isOverfull() {
        return waitingCount > jobClass.maxWaiting();
    }

    /** Returns the waiting job with the latest deadline, of all tenants. */
    Job lastByDeadline() {
        return waitingByTenant.values().stream()
                .flatMap(List::stream)
                .max(Job.BY_DEADLINE)
                .orElseThrow();
    }

    /** Returns the waiting jobs whose budget is refilled, or whose back-off ends, only after their deadlines. */
    List<Job> findLate(MonotonicTime now) {
        List<Job> late = new ArrayList<>();
        for (List<Job> own : waitingByTenant.values()) {
            own.stream()
                    .filter(Job::hasDeadline)
                    .filter(job -> isLate(job, now))
                    .forEach(late::add);
        }
        return late;
    }

    private boolean isLate(Job job, MonotonicTime now) {
        MonotonicTime startBy = job.request.startBy();
        MonotonicTime earliestStart = now.plus(TimeSpan.seconds(secondsUntil(job.expectedCost())));
        return startBy.isBefore(earliestStart) || startBy.isBefore(job.notBefore);
    }

    /** Sets whether the class is suspended; returns whether that has changed. */
    boolean setSuspended(boolean suspended) {
        boolean hasChanged = isSuspended != suspended;
        isSuspended = suspended;
        return hasChanged;
    }

    // ---- starting and ending

    /** Returns the job to start next, or null if none may start now. */
    Job next(MonotonicTime now) {
        if (runningCount >= jobClass.maxRunning()) {
            return null;
        }
        Job first = firstByStartTag(now);
        return first != null && secondsUntil(first.expectedCost()) <= 0 ? first : null;
    }

    /** Returns the job with the smallest start tag among each tenant's first one that may start now. */
    private Job firstByStartTag(MonotonicTime now) {
        Job first = null;
        for (Map.Entry<String, List<Job>> entry : waitingByTenant.entrySet()) {
            Job candidate = firstReady(entry.getValue(), now);
            if (candidate == null) {
                continue;
            }
            candidate.startTag = Math.max(virtualTime, finishTags.getOrDefault(entry.getKey(), 0.0));
            boolean isSooner = first == null
                    || candidate.startTag < first.startTag
                    || candidate.startTag == first.startTag && candidate.deadlineNanos() < first.deadlineNanos();
            first = isSooner ? candidate : first;
        }
        return first;
    }

    private static Job firstReady(List<Job> jobs, MonotonicTime now) {
        return jobs.stream()
                .filter(job -> job.notBefore.compareTo(now) <= 0)
                .findFirst()
                .orElse(null);
    }

    /** Removes a job from the queue and deducts its expected cost from the budget. */
    void start(Job job) {
        remove(job);
        job.isRunning = true;
        job.attempt++;
        runningCount++;
        available = available.minus(job.expectedCost());
        virtualTime = job.startTag;
        finishTags.put(job.tenant(), job.startTag + weight(job));
        finishTags.values().removeIf(finishTag -> finishTag <= virtualTime);
    }

    /** Replaces the expected cost that was deducted at the start of the job by its actual cost. */
    void end(Job job, ResourceCost cost, MonotonicTime now) {
        job.isRunning = false;
        runningCount--;
        refill(now);
        available = available.minus(cost).plus(job.expectedCost());
    }

    /** Returns the cost of a job as one number: a job that costs ten times as much counts ten times. */
    private double weight(Job job) {
        return Math.max(MIN_WEIGHT, job.expectedCost().shareOf(jobClass.budgetPerSecond()));
    }

    // ---- budget

    void refill(MonotonicTime now) {
        double seconds = now.since(refilledAt).toSeconds();
        available = available.plus(jobClass.budgetPerSecond().times(seconds)).atMost(jobClass.burst());
        refilledAt = now;
    }

    /** Returns the time until a cost is available; for a cost above the burst, until the whole burst is. */
    private double secondsUntil(ResourceCost cost) {
        ResourceCost missing = cost.atMost(jobClass.burst()).minus(available);
        return Math.max(0, missing.shareOf(jobClass.budgetPerSecond()));
    }
}
