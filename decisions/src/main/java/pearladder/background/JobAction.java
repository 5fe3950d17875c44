package pearladder.background;

import pearladder.routing.api.TimeSpan;

/** What is to be done with background work, in the order given. */
public sealed interface JobAction {
    /** Do it now; tell how it ended. */
    record Begin(String id, int attempt) implements JobAction {}

    /** It will not be done, and nothing more is heard of it. */
    record GiveUp(String id, String why) implements JobAction {}

    /** Call again after so long. */
    record Wake(TimeSpan after) implements JobAction {}

    /** A change of mode, with its figures. */
    record Log(String text) implements JobAction {}
}
