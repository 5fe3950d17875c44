package pearladder.background;

import pearladder.routing.api.TimeSpan;

/** What has to be done with background jobs, in the order given. */
public sealed interface JobAction {
    /**
     * Run the job now and report {@link JobEvent.JobEnded}.
     *
     * @param attempt 1 for the first
     */
    record StartJob(String id, int attempt) implements JobAction {}

    /**
     * The job is dropped; nothing more is said about it.
     *
     * @param reason why, in a few words, for the log and for whoever submitted it
     */
    record DropJob(String id, String reason) implements JobAction {}

    /** Report {@link JobEvent.Tick} after this time. */
    record ScheduleTick(TimeSpan delay) implements JobAction {}

    /** Log a change of the scheduler's state, with its figures. */
    record Log(String text) implements JobAction {}
}
