package pearladder.backlog;

import pearladder.api.Span;

/** What is to be done, in the order given. */
public sealed interface BacklogAction {
    /** The entry that came joins the end of those that are held. */
    record Take() implements BacklogAction {}

    /** The entry that came is let go. */
    record LeaveOut() implements BacklogAction {}

    /** Write the first so many of those held; tell how it went. */
    record Write(int entries) implements BacklogAction {}

    /** Add an entry that says how many were left out. */
    record TellLeftOut(long entries) implements BacklogAction {}

    /** An order may go out now. */
    record Go(String order) implements BacklogAction {}

    /** An order must not go out any more. */
    record Withhold(String order, String why) implements BacklogAction {}

    record Wake(Span after) implements BacklogAction {}

    /** A change of mode, with its figures. */
    record Log(String text) implements BacklogAction {}
}
