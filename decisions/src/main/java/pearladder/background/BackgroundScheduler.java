package pearladder.background;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Decides when each background job is started. Every event is passed to {@link #on}, which returns the actions to
 * execute.
 *
 * <p>Job classes are served by rank; within a class, tenants share fairly ({@link JobQueue}). A class spends no more
 * than its budget: the cost of a job beyond its estimate is refilled before the next one starts. A job that can't start
 * by its deadline is dropped at once, not when the deadline has passed.
 */
public final class BackgroundScheduler {
    /** Interval between evaluations of the waiting jobs; short compared with back-offs and deadlines. */
    private static final TimeSpan TICK_INTERVAL = TimeSpan.millis(50);
    /** Longest back-off as a multiple of the first one. */
    private static final double MAX_BACKOFF_FACTOR = 100;
    /** A back-off is multiplied by a random number between this and this plus one. */
    private static final double MIN_JITTER = 0.5;

    private static final double CRC32_VALUES = 4294967296.0;
    /** Tolerance that keeps rounding errors in the overload from suspending a rank. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final long seed;
    private final TimeSpan fullOverloadLag;
    private final TreeMap<Integer, List<JobQueue>> queuesByRank = new TreeMap<>();
    private final Map<String, JobQueue> queues = new LinkedHashMap<>();
    /** Waiting and running jobs by identifier. */
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    /** Event-loop lag scaled from 0 for none to 1, at which only rank 0 is started. */
    private double overload;

    private long submittedCount;
    private long randomCount;
    private boolean isShuttingDown;
    private boolean isTickScheduled;

    /** Time of the event that is being handled. */
    private MonotonicTime now;
    /** Actions for the event that is being handled. */
    private List<JobAction> actions = new ArrayList<>();

    /**
     * Creates a scheduler without jobs.
     *
     * @param seed seed of the random part of back-offs
     * @param fullOverloadLag event-loop lag from which on only rank 0 is started; without lag all ranks are started
     */
    public BackgroundScheduler(
            long seed, List<JobClass> jobClasses, TimeSpan fullOverloadLag, MonotonicTime startedAt) {
        this.seed = seed;
        this.fullOverloadLag = fullOverloadLag;
        this.now = startedAt;
        for (JobClass jobClass : jobClasses) {
            JobQueue queue = new JobQueue(jobClass, startedAt);
            queues.put(jobClass.name(), queue);
            queuesByRank
                    .computeIfAbsent(jobClass.rank(), rank -> new ArrayList<>())
                    .add(queue);
        }
    }

    /**
     * Handles an event.
     *
     * @return the actions to execute, in this order
     */
    public List<JobAction> on(MonotonicTime eventTime, JobEvent event) {
        now = eventTime;
        actions = new ArrayList<>();
        if (event instanceof JobEvent.JobSubmitted submitted) {
            onSubmitted(submitted);
        } else if (event instanceof JobEvent.JobEnded ended) {
            onEnded(ended);
        } else if (event instanceof JobEvent.JobCancelled cancelled) {
            onCancelled(cancelled);
        } else if (event instanceof JobEvent.LoopLagMeasured measured) {
            overload = Math.max(0, Math.min(1, measured.loopLag().dividedBy(fullOverloadLag)));
        } else if (event instanceof JobEvent.ShutdownBegun) {
            onShutdown();
        } else if (event instanceof JobEvent.Tick) {
            isTickScheduled = false;
        }
        startJobs();
        scheduleTick();
        return actions;
    }

    /** Returns the number of waiting and running jobs. */
    public int size() {
        return jobs.size();
    }

    private void onSubmitted(JobEvent.JobSubmitted submitted) {
        JobQueue queue = queues.get(submitted.jobClass());
        String reason = rejectionReason(submitted, queue);
        if (reason != null) {
            actions.add(new JobAction.DropJob(submitted.id(), reason));
            return;
        }
        Job job = new Job(submitted, queue, submittedCount++, now);
        jobs.put(job.id(), job);
        queue.add(job);
        if (queue.isOverfull()) {
            JobClass jobClass = queue.jobClass;
            drop(queue.lastByDeadline(), jobClass.name() + " already has " + jobClass.maxWaiting() + " waiting jobs");
        }
    }

    /** Returns why a job is not accepted; null if it is accepted. */
    private String rejectionReason(JobEvent.JobSubmitted submitted, JobQueue queue) {
        if (queue == null) {
            return "unknown job class: " + submitted.jobClass();
        }
        if (jobs.containsKey(submitted.id())) {
            return "a job with this identifier is already waiting or running";
        }
        return isShuttingDown && !queue.jobClass.runsAtShutdown() ? "the router is shutting down" : null;
    }

    private void onCancelled(JobEvent.JobCancelled cancelled) {
        Job job = jobs.get(cancelled.id());
        if (job != null && !job.isRunning) {
            remove(job);
        }
    }

    private void onShutdown() {
        isShuttingDown = true;
        List.copyOf(jobs.values()).stream()
                .filter(job -> !job.isRunning && !job.queue.jobClass.runsAtShutdown())
                .forEach(job -> drop(job, "the router is shutting down"));
    }

    private void onEnded(JobEvent.JobEnded ended) {
        Job job = jobs.get(ended.id());
        if (job == null || !job.isRunning) {
            return;
        }
        job.queue.end(job, ended.cost(), now);
        JobClass jobClass = job.queue.jobClass;
        boolean mayRetry = job.attempt <= jobClass.maxRetries() && (!isShuttingDown || jobClass.runsAtShutdown());
        if (ended.isSuccess()) {
            jobs.remove(ended.id());
        } else if (mayRetry) {
            job.notBefore = now.plus(jobClass.backoff().times(backoffFactor(job.attempt)));
            job.queue.add(job);
        } else {
            drop(job, "failed " + job.attempt + " times");
        }
    }

    private double backoffFactor(int attempt) {
        return Math.min(MAX_BACKOFF_FACTOR, Math.pow(2, attempt - 1)) * (MIN_JITTER + nextRandom());
    }

    /** Returns a reproducible random number from 0 inclusive to 1 exclusive. */
    private double nextRandom() {
        CRC32 crc = new CRC32();
        crc.update((seed + ":" + randomCount++).getBytes(StandardCharsets.UTF_8));
        return crc.getValue() / CRC32_VALUES;
    }

    private void drop(Job job, String reason) {
        remove(job);
        actions.add(new JobAction.DropJob(job.id(), reason));
    }

    private void remove(Job job) {
        jobs.remove(job.id());
        job.queue.remove(job);
    }

    // ---- starting jobs

    private void startJobs() {
        queuesByRank.forEach((rank, queuesOfRank) -> {
            boolean isActive = rank <= highestActiveRank();
            for (JobQueue queue : queuesOfRank) {
                updateSuspension(queue, !isActive && queue.waitingCount() > 0);
                if (isActive) {
                    startJobs(queue);
                }
                queue.findLate(now).forEach(job -> drop(job, "it can't start by its deadline"));
            }
        });
    }

    /**
     * Returns the highest rank that is started. Each rank has an equal part of the overload from 0 to 1, so that a
     * small overload suspends none.
     */
    private int highestActiveRank() {
        int rankCount = queuesByRank.lastKey() + 1;
        return (int) Math.floor((1 - overload) * rankCount + ROUNDING_TOLERANCE);
    }

    private void updateSuspension(JobQueue queue, boolean isSuspended) {
        if (queue.setSuspended(isSuspended)) {
            actions.add(new JobAction.Log(String.format(
                    "background jobs %s %s: overload %.2f, %d jobs waiting",
                    queue.jobClass.name(), isSuspended ? "suspended" : "resumed", overload, queue.waitingCount())));
        }
    }

    private void startJobs(JobQueue queue) {
        queue.refill(now);
        for (Job job = queue.next(now); job != null; job = queue.next(now)) {
            queue.start(job);
            actions.add(new JobAction.StartJob(job.id(), job.attempt));
        }
    }

    private void scheduleTick() {
        if (!isTickScheduled && jobs.values().stream().anyMatch(job -> !job.isRunning)) {
            isTickScheduled = true;
            actions.add(new JobAction.ScheduleTick(TICK_INTERVAL));
        }
    }
}
