package pearladder.writebuffer;

import pearladder.routing.api.TimeSpan;

/** What happened that a {@link WriteBuffer} has to know of. */
public sealed interface WriteBufferEvent {
    /**
     * An entry is to be written.
     *
     * @param isDetail whether it may be dropped rather early
     * @param loadRequestId load request that must not be sent before the entry is on disk; empty for none
     */
    record EntryReceived(boolean isDetail, String loadRequestId) implements WriteBufferEvent {}

    /** The whole batch is on disk. */
    record Written(TimeSpan took) implements WriteBufferEvent {}

    /**
     * No entry of the batch is on disk.
     *
     * @param reason in a few words, for the log
     */
    record WriteFailed(String reason) implements WriteBufferEvent {}

    /** The time asked for by {@link WriteBufferAction.ScheduleTick} has passed. */
    record Tick() implements WriteBufferEvent {}

    /** No more entries come; those in the buffer are to be written at once. */
    record ShutdownBegun() implements WriteBufferEvent {}
}
