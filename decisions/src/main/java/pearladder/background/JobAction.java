package pearladder.background;

import pearladder.routing.api.TimeSpan;

/** An action that the owner of a {@link BackgroundScheduler} has to execute, in the order returned. */
public sealed interface JobAction {
    /**
     * Run the job now and report {@link JobEvent.JobEnded}.
     *
     * @param attempt number of the attempt, from 1
     */
    record StartJob(String id, int attempt) implements JobAction {}

    /**
     * Drop the job; no further action follows for it.
     *
     * @param reason short reason for the log and for the submitter
     */
    record DropJob(String id, String reason) implements JobAction {}

    /** Report {@link JobEvent.Tick} after the delay. */
    record ScheduleTick(TimeSpan delay) implements JobAction {}

    /** Log a change of the scheduler's state, with its figures. */
    record Log(String text) implements JobAction {}
}
