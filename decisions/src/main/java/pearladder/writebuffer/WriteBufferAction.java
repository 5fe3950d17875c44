package pearladder.writebuffer;

import pearladder.routing.api.TimeSpan;

/** What is to be done, in the order given. */
public sealed interface WriteBufferAction {
    /** The entry that came joins the end of those that are held. */
    record Take() implements WriteBufferAction {}

    /** The entry that came is let go. */
    record LeaveOut() implements WriteBufferAction {}

    /** Write the first so many of those held; tell how it went. */
    record Write(int entries) implements WriteBufferAction {}

    /** Add an entry that says how many were left out. */
    record TellLeftOut(long entries) implements WriteBufferAction {}

    /** An order may go out now. */
    record Go(String order) implements WriteBufferAction {}

    /** An order must not go out any more. */
    record Withhold(String order, String why) implements WriteBufferAction {}

    record Wake(TimeSpan after) implements WriteBufferAction {}

    /** A change of mode, with its figures. */
    record Log(String text) implements WriteBufferAction {}
}
