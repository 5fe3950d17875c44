package pearladder.background;

import pearladder.routing.api.TimeSpan;

/** What has to be done with background jobs, in the order given. */
public sealed interface JobAction {
    /**
     * Run the job now and report {@link JobEvent.Ended}.
     *
     * @param attempt 1 for the first
     */
    record Begin(String id, int attempt) implements JobAction {}

    /**
     * The job is dropped; nothing more is said about it.
     *
     * @param why reason in a few words, for the log and for whoever submitted it
     */
    record GiveUp(String id, String why) implements JobAction {}

    /** Report {@link JobEvent.Due} after this time. */
    record Wake(TimeSpan after) implements JobAction {}

    /** Log a change of the scheduler's state, with its figures. */
    record Log(String text) implements JobAction {}
}
