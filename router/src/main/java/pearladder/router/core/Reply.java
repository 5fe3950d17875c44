package pearladder.router.core;

import pearladder.api.Span;

/** Where the one final answer of a call goes. Each call gets one of the three, or none where its client left. */
public interface Reply {
    void settled(EngineSaid said);

    void dismissed(Span retryAfter);

    void terminated();

    /** Nothing of the call is out any more, and nothing more will be told of it. */
    default void forgotten() {}
}
