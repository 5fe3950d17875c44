package pearladder.api;

import java.util.List;

/** One router's decisions: what happened goes in, what is to be done comes out. */
public interface Dispatcher {
    List<Action> on(Moment now, Event event);
}
