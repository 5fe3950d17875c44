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

/** Does the router's background work when the scheduler says so. The event loop calls it; the jobs themselves leave it. */
final class BackgroundWork {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.background");

    /** One piece: what is done, and what becomes of it. */
    private record Job(Supplier<Future<ResourceCost>> run, Promise<Void> done) {}

    private final Timers timers;
    private final BackgroundScheduler scheduler;
    private final Map<String, Job> jobs = new HashMap<>();
    private Promise<Void> stopped;
    private long numbered;
    private boolean ended;

    BackgroundWork(Timers timers, BackgroundScheduler scheduler) {
        this.timers = timers;
        this.scheduler = scheduler;
    }

    /**
     * Asks for a piece of work.
     *
     * @param by when it must have begun, or null
     * @param run does it off the event loop and brings what it cost
     * @return done once it is; it fails in words where it was given up
     */
    Future<Void> ask(
            String duty, String account, ResourceCost cost, MonotonicTime by, Supplier<Future<ResourceCost>> run) {
        String id = duty + "-" + ++numbered;
        Promise<Void> done = Promise.promise();
        jobs.put(id, new Job(run, done));
        tell(new JobEvent.Asked(id, duty, account, cost, by));
        return done.future();
    }

    /** How late the event loop is. */
    void strained(pearladder.routing.api.TimeSpan behind) {
        tell(new JobEvent.Strained(behind));
    }

    /** Begins nothing new but what is to be done at a stop; done once nothing is left. */
    Future<Void> stop() {
        if (stopped == null) {
            stopped = Promise.promise();
            tell(new JobEvent.Stopping());
            emptied();
        }
        return stopped.future();
    }

    private void emptied() {
        if (stopped != null && scheduler.size() == 0) {
            ended = true;
            stopped.tryComplete();
        }
    }

    private void tell(JobEvent event) {
        if (!ended) {
            scheduler.on(timers.now(), event).forEach(this::act);
            emptied();
        }
    }

    private void act(JobAction action) {
        if (action instanceof JobAction.Begin begin) {
            begin(begin.id());
        } else if (action instanceof JobAction.GiveUp up) {
            Job job = jobs.remove(up.id());
            if (job != null) {
                LOG.atInfo()
                        .addKeyValue("work", up.id())
                        .addKeyValue("cause", up.why())
                        .log("given up");
                job.done().fail(up.why());
            }
        } else if (action instanceof JobAction.Wake wake) {
            timers.after(wake.after(), () -> tell(new JobEvent.Due()));
        } else if (action instanceof JobAction.Log log) {
            LOG.info(log.text());
        }
    }

    private void begin(String id) {
        Job job = jobs.get(id);
        run(job).onComplete(
                        cost -> {
                            jobs.remove(id);
                            // who waited may ask for the next piece at once, and a stop must wait for that one too
                            job.done().complete();
                            tell(new JobEvent.Ended(id, true, cost));
                        },
                        failed -> {
                            LOG.atWarn()
                                    .addKeyValue("work", id)
                                    .addKeyValue("cause", String.valueOf(failed.getMessage()))
                                    .log("failed");
                            tell(new JobEvent.Ended(id, false, ResourceCost.NONE));
                        });
    }

    /** Guards against a job that throws where it should have failed: it would count as running, and hold up a stop, for ever. */
    private static Future<ResourceCost> run(Job job) {
        try {
            return job.run().get();
        } catch (RuntimeException thrown) {
            return Future.failedFuture(thrown);
        }
    }
}
