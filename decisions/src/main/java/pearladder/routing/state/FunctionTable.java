package pearladder.routing.state;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The known functions. Clients may name any number of functions that no worker can serve, so the number of functions
 * that none has served yet is limited: the one that was requested least recently is forgotten first. A function with an
 * open request is kept.
 */
final class FunctionTable {
    /** Bounds the time of one request while most of these functions have open requests. */
    private static final int MAX_EXAMINED = 16;

    private final int maxUnserved;
    private final DecayTimes decayTimes;
    private final Map<String, Function> functions = new LinkedHashMap<>();
    /** The functions that no worker has served yet, the least recently requested first. */
    private final Map<String, Function> unserved = new LinkedHashMap<>();

    /** @param maxUnserved limit of the functions that no worker has served and that have no open request */
    FunctionTable(int maxUnserved, DecayTimes decayTimes) {
        this.maxUnserved = maxUnserved;
        this.decayTimes = decayTimes;
    }

    /** Returns all functions, in the order in which they became known. */
    Collection<Function> all() {
        return functions.values();
    }

    /** Returns the function, or null if it isn't known. */
    Function find(String functionId) {
        return functions.get(functionId);
    }

    /** Returns the function, which is created if it isn't known. */
    Function findOrCreate(String functionId) {
        return functions.computeIfAbsent(functionId, id -> new Function(id, decayTimes.demand(), decayTimes.rates()));
    }

    /** Records that a function was requested, and forgets others above the limit. */
    void onRequested(Function function) {
        if (function.served) {
            return;
        }
        unserved.remove(function.id);
        unserved.put(function.id, function);
        for (int examined = 0; unserved.size() > maxUnserved && examined < MAX_EXAMINED; examined++) {
            examineLeastRecent(function);
        }
    }

    /** Forgets the least recently requested function, or moves it to the end while it is in use. */
    private void examineLeastRecent(Function requested) {
        Iterator<Function> leastRecent = unserved.values().iterator();
        Function function = leastRecent.next();
        leastRecent.remove();
        if (function == requested || function.isInUse()) {
            unserved.put(function.id, function);
        } else {
            functions.remove(function.id);
            detach(function);
        }
    }

    /** Records that a worker has served the function, so that it no longer counts towards the limit. */
    void onServed(Function function) {
        function.served = true;
        unserved.remove(function.id);
    }

    /** Removes the functions that meet the condition, with their placements. */
    void removeIf(Predicate<Function> condition) {
        functions.values().removeIf(function -> {
            boolean removed = condition.test(function);
            if (removed) {
                unserved.remove(function.id);
                detach(function);
            }
            return removed;
        });
    }

    private static void detach(Function function) {
        function.placements.values().forEach(placement -> placement.worker.placements.remove(placement));
    }
}
