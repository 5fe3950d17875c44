package pearladder.api;

import java.util.List;
import pearladder.state.Known;

/** One router's decisions: what happened goes in, what is to be done comes out. */
public interface Dispatcher {
    List<Action> on(Moment now, Event event);

    /** What was learnt and would be lost with this process, as ages; nothing by default. */
    default Known known(Moment now) {
        return Known.NOTHING;
    }
}
