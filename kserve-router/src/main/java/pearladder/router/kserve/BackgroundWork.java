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
 * Runs background jobs when a {@link BackgroundScheduler} says so. Confined to the event loop; the jobs themselves
 * run off it.
 */
final class BackgroundWork {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.background");

    /**
     * A submitted job.
     *
     * @param task runs the job once
     * @param completion completed when the job has succeeded or was given up
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
     * @param cost that is expected
     * @param startBy when it must have started, or null
     * @param task runs it off the event loop and returns its actual cost
     * @return completed once the job has succeeded; fails with the reason where it was given up
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

    /** Reports how late the event loop is. */
    void onEventLoopLag(TimeSpan lag) {
        handle(new JobEvent.LoopLagMeasured(lag));
    }

    /** Starts no new jobs but those that a stop requires; completed once no job is left. */
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
        if (action instanceof JobAction.StartJob begin) {
            begin(begin.id());
        } else if (action instanceof JobAction.DropJob giveUp) {
            giveUp(giveUp.id(), giveUp.reason());
        } else if (action instanceof JobAction.ScheduleTick wake) {
            timers.after(wake.delay(), () -> handle(new JobEvent.Tick()));
        } else if (action instanceof JobAction.Log log) {
            LOG.info(log.text());
        }
    }

    private void giveUp(String id, String reason) {
        Job job = jobs.remove(id);
        if (job != null) {
            LOG.atInfo().addKeyValue("work", id).addKeyValue("cause", reason).log("given up");
            job.completion().fail(reason);
        }
    }

    private void begin(String id) {
        Job job = jobs.get(id);
        run(job).onComplete(cost -> onSuccess(id, job, cost), failure -> onFailure(id, failure));
    }

    /**
     * Guards against a job that throws where it should fail: it would count as running, and hold up a stop, for ever.
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
        // first the completion: it may submit the next job at once, and a stop must wait for that one too
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
