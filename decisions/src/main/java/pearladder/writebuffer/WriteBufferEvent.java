package pearladder.writebuffer;

import pearladder.routing.api.TimeSpan;

/** What happened to records that are to be kept. */
public sealed interface WriteBufferEvent {
    /**
     * An entry came.
     *
     * @param detail it may be left out
     * @param order that must not go out before the entry is safe; empty for none
     */
    record Came(boolean detail, String order) implements WriteBufferEvent {}

    /** The batch that was to be written is safe. */
    record Written(TimeSpan took) implements WriteBufferEvent {}

    /** Nothing of it is safe. */
    record Failed(String why) implements WriteBufferEvent {}

    /** The time that was asked for has come. */
    record Due() implements WriteBufferEvent {}

    /** Nothing more comes; what is held is to be written at once. */
    record Stopping() implements WriteBufferEvent {}
}
