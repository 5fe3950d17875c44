package pearladder.writebuffer;

import pearladder.routing.api.TimeSpan;

/** An action that the owner of a {@link WriteBuffer} has to execute, in the order returned. */
public sealed interface WriteBufferAction {
    /** Append the new entry to the buffer. */
    record AcceptEntry() implements WriteBufferAction {}

    /** Drop the new entry. */
    record DropEntry() implements WriteBufferAction {}

    /** Write this many entries from the head of the buffer and report whether that succeeded. */
    record WriteBatch(int entries) implements WriteBufferAction {}

    /** Add an entry with the number of entries that were dropped. */
    record ReportDropped(long entries) implements WriteBufferAction {}

    /** The load request may be sent now. */
    record SendLoadRequest(String loadRequestId) implements WriteBufferAction {}

    /**
     * The load request must not be sent any more.
     *
     * @param reason short reason for the log
     */
    record WithholdLoadRequest(String loadRequestId, String reason) implements WriteBufferAction {}

    /** Report {@link WriteBufferEvent.Tick} after the delay. */
    record ScheduleTick(TimeSpan delay) implements WriteBufferAction {}

    /** Log a change of the buffer's state, with its figures. */
    record Log(String text) implements WriteBufferAction {}
}
