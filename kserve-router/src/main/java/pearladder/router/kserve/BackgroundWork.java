package pearladder.router.kserve;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.background.BackgroundScheduler;
import pearladder.background.JobAction;
import pearladder.background.JobEvent;
import pearladder.background.ResourceCost;
import pearladder.router.core.Timers;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Runs background jobs as a {@link BackgroundScheduler} decides. Confined to the event loop; the jobs themselves run
 * on other threads.
 */
final class BackgroundWork {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.background");

    /**
     * A submitted job.
     *
     * @param task runs the job once
     * @param completion completed when the job has succeeded or was dropped
     */
    private record Job(Supplier<Future<ResourceCost>> task, Promise<Void> completion) {}

    private final Timers timers;
    private final BackgroundScheduler scheduler;
    private final Map<String, Job> jobs = new HashMap<>();
    private long jobCount;
    /** Null until {@link #stop}. */
    private Promise<Void> stopCompletion;

    private boolean stopped;

    BackgroundWork(Timers timers, BackgroundScheduler scheduler) {
        this.timers = timers;
        this.scheduler = scheduler;
    }

    /**
     * Submits a job.
     *
     * @param jobClass one of {@link pearladder.background.JobClasses}
     * @param cost the expected cost
     * @param startBy the latest time at which the job may start, or null
     * @param task runs the job off the event loop and returns its actual cost
     * @return a future that completes once the job has succeeded, or fails with the reason if the job was dropped
     */
    Future<Void> submit(
            String jobClass,
            String tenant,
            ResourceCost cost,
            MonotonicTime startBy,
            Supplier<Future<ResourceCost>> task) {
        String id = jobClass + "-" + ++jobCount;
        Promise<Void> completion = Promise.promise();
        jobs.put(id, new Job(task, completion));
        handle(new JobEvent.JobSubmitted(id, jobClass, tenant, cost, startBy));
        return completion.future();
    }

    /** Reports the event-loop lag to the scheduler. */
    void onEventLoopLag(TimeSpan lag) {
        handle(new JobEvent.LoopLagMeasured(lag));
    }

    /** Starts no more jobs but those that run at shutdown; the future completes once no job is left. */
    Future<Void> stop() {
        if (stopCompletion == null) {
            stopCompletion = Promise.promise();
            handle(new JobEvent.ShutdownBegun());
            completeStopIfIdle();
        }
        return stopCompletion.future();
    }

    private void completeStopIfIdle() {
        if (stopCompletion != null && scheduler.size() == 0) {
            stopped = true;
            stopCompletion.tryComplete();
        }
    }

    private void handle(JobEvent event) {
        if (!stopped) {
            scheduler.on(timers.now(), event).forEach(this::execute);
            completeStopIfIdle();
        }
    }

    private void execute(JobAction action) {
        if (action instanceof JobAction.StartJob start) {
            start(start.id());
        } else if (action instanceof JobAction.DropJob drop) {
            drop(drop.id(), drop.reason());
        } else if (action instanceof JobAction.ScheduleTick wake) {
            timers.after(wake.delay(), () -> handle(new JobEvent.Tick()));
        } else if (action instanceof JobAction.Log log) {
            LOG.info(log.text());
        }
    }

    private void drop(String id, String reason) {
        Job job = jobs.remove(id);
        if (job != null) {
            LOG.atInfo().addKeyValue("work", id).addKeyValue("cause", reason).log("background job dropped");
            job.completion().fail(reason);
        }
    }

    private void start(String id) {
        Job job = jobs.get(id);
        run(job).onComplete(cost -> onSuccess(id, job, cost), failure -> onFailure(id, failure));
    }

    /**
     * Runs a job. An exception that the task throws fails the job; otherwise the job would count as running, and block
     * a stop, forever.
     */
    private static Future<ResourceCost> run(Job job) {
        try {
            return job.task().get();
        } catch (RuntimeException failure) {
            return Future.failedFuture(failure);
        }
    }

    private void onSuccess(String id, Job job, ResourceCost cost) {
        jobs.remove(id);
        // completed first, since this may submit the next job at once, and a stop must wait for that job too
        job.completion().complete();
        handle(new JobEvent.JobEnded(id, true, cost));
    }

    private void onFailure(String id, Throwable failure) {
        LOG.atWarn()
                .addKeyValue("work", id)
                .addKeyValue("cause", String.valueOf(failure.getMessage()))
                .log("failed");
        handle(new JobEvent.JobEnded(id, false, ResourceCost.NONE));
    }
}
