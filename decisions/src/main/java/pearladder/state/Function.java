package pearladder.state;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pearladder.api.Span;

/** A function: what its calls told, where it is placed, and the short cached list of its workers. */
public final class Function {
    public final String id;
    public int lanes;
    public double memoryMb;
    public Span usualLoad;
    public final List<Place> list = new ArrayList<>();
    public final Map<Worker, Place> places = new LinkedHashMap<>();
    public final Decaying calls;
    public final Decaying warmAnswers;
    public final Decaying warmSeconds;
    public final List<Worker> scan = new ArrayList<>();
    /** The same workers, to be asked for only. */
    public final Set<Worker> scanned = new HashSet<>();

    public long scanAt;
    public long scanEdition = -1;
    public long taken;
    /** The share of the like function's load for which copies are to stand ahead; 0 where none is wanted. */
    public double wantedShare;

    public Function wantedLike;

    public Function(String id, Span demand, Span pace) {
        this.id = id;
        this.calls = new Decaying(demand);
        this.warmAnswers = new Decaying(pace);
        this.warmSeconds = new Decaying(pace);
    }
}
