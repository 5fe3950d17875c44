package pearladder.background;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * The jobs of one class: its budget, and start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) between its
 * tenants. A job's start tag is the larger of the class's virtual time and its tenant's last finish tag; the smallest
 * start tag goes first, so one tenant is ahead of another by at most one job of each. Jobs of one tenant go by
 * deadline.
 */
final class JobQueue {
    /** Least weight of a job, so that jobs without a cost share by their number. */
    private static final double MIN_WEIGHT = 1e-6;

    final JobClass jobClass;
    /** Waiting jobs by tenant, each list by deadline; no list is empty. */
    private final Map<String, List<Job>> waitingByTenant = new LinkedHashMap<>();
    /** Finish tag of each tenant that is ahead of the virtual time. */
    private final Map<String, Double> finishTags = new LinkedHashMap<>();

    private double virtualTime;
    /** What may be spent now; below zero while a job that cost more than expected is paid back. */
    private ResourceCost available;

    private MonotonicTime refilledAt;
    private int runningCount;
    private int waitingCount;
    /** Whether jobs wait while the event loop is too late for the class's rank. */
    private boolean isSuspended;

    /** A queue with its whole burst available. */
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

    /** Does nothing where the job is not waiting. */
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

    /** The waiting job with the latest deadline, of all tenants. */
    Job lastByDeadline() {
        return waitingByTenant.values().stream()
                .flatMap(List::stream)
                .max(Job.BY_DEADLINE)
                .orElseThrow();
    }

    /** Waiting jobs that can't be started by their deadlines, as the budget they need will not be there. */
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

    /** Remembers whether the class is suspended; returns whether that has changed. */
    boolean setSuspended(boolean suspended) {
        boolean hasChanged = isSuspended != suspended;
        isSuspended = suspended;
        return hasChanged;
    }

    // ---- starting and ending

    /** The job to start next, or null where none may start now. */
    Job next(MonotonicTime now) {
        if (runningCount >= jobClass.maxRunning()) {
            return null;
        }
        Job first = firstByStartTag(now);
        return first != null && secondsUntil(first.expectedCost()) <= 0 ? first : null;
    }

    /** The job with the smallest start tag among each tenant's first one that may start now. */
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

    /** Takes a job out of the queue and spends what it is expected to cost. */
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

    /** Corrects what was spent when the job was started by what it really cost. */
    void end(Job job, ResourceCost cost, MonotonicTime now) {
        job.isRunning = false;
        runningCount--;
        refill(now);
        available = available.minus(cost).plus(job.expectedCost());
    }

    /** A cost as one figure, so that a job that costs ten times as much counts ten times. */
    private double weight(Job job) {
        return Math.max(MIN_WEIGHT, job.expectedCost().shareOf(jobClass.budgetPerSecond()));
    }

    // ---- budget

    void refill(MonotonicTime now) {
        double seconds = now.since(refilledAt).toSeconds();
        available = available.plus(jobClass.budgetPerSecond().times(seconds)).atMost(jobClass.burst());
        refilledAt = now;
    }

    /** Time until a cost is available; of a cost above the burst, until the whole burst is. */
    private double secondsUntil(ResourceCost cost) {
        ResourceCost missing = cost.atMost(jobClass.burst()).minus(available);
        return Math.max(0, missing.shareOf(jobClass.budgetPerSecond()));
    }
}
