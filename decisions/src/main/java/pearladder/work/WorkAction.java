package pearladder.work;

import pearladder.api.Span;

/** What is to be done with background work, in the order given. */
public sealed interface WorkAction {
    /** Do it now; tell how it ended. */
    record Begin(String id, int attempt) implements WorkAction {}

    /** It will not be done, and nothing more is heard of it. */
    record GiveUp(String id, String why) implements WorkAction {}

    /** Call again after so long. */
    record Wake(Span after) implements WorkAction {}

    /** A change of mode, with its figures. */
    record Log(String text) implements WorkAction {}
}
