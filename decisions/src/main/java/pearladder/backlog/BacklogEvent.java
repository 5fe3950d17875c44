package pearladder.backlog;

import pearladder.api.Span;

/** What happened to records that are to be kept. */
public sealed interface BacklogEvent {
    /**
     * An entry came.
     *
     * @param detail it may be left out
     * @param order that must not go out before the entry is safe; empty for none
     */
    record Came(boolean detail, String order) implements BacklogEvent {}

    /** The batch that was to be written is safe. */
    record Written(Span took) implements BacklogEvent {}

    /** Nothing of it is safe. */
    record Failed(String why) implements BacklogEvent {}

    /** The time that was asked for has come. */
    record Due() implements BacklogEvent {}

    /** Nothing more comes; what is held is to be written at once. */
    record Stopping() implements BacklogEvent {}
}
