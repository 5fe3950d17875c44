package pearladder.writebuffer;

import pearladder.routing.api.TimeSpan;

/** An event that a {@link WriteBuffer} handles. */
public sealed interface WriteBufferEvent {
    /**
     * An entry is to be written.
     *
     * @param isDetail whether the entry is a detail, which is dropped earlier than others
     * @param loadRequestId load request that must not be sent before the entry is on disk; empty for none
     */
    record EntryReceived(boolean isDetail, String loadRequestId) implements WriteBufferEvent {}

    /** The whole batch is on disk. */
    record Written(TimeSpan took) implements WriteBufferEvent {}

    /**
     * No entry of the batch is on disk.
     *
     * @param reason short reason for the log
     */
    record WriteFailed(String reason) implements WriteBufferEvent {}

    /** The delay of {@link WriteBufferAction.ScheduleTick} has passed. */
    record Tick() implements WriteBufferEvent {}

    /** No more entries follow; those in the buffer are to be written at once. */
    record ShutdownBegun() implements WriteBufferEvent {}
}
