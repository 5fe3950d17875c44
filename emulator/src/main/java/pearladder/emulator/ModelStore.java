package pearladder.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The shared store: fetches share its capacity, and past a limit it turns them away. */
public final class ModelStore {
    private static final class Fetch {
        double left;
        Consumer<Boolean> done;
    }

    private final Timeline time;
    private final double capacity;
    private final int limit;
    private final List<Fetch> under = new ArrayList<>();
    private Timeline.Planned next;
    private long at;
    private double slowness = 1;
    private boolean refusing;
    private boolean damaged;
    private long fetched;
    private long refused;

    /** @param capacity fetches that go at full speed together; @param limit fetches under way at the most */
    public ModelStore(Timeline time, double capacity, int limit) {
        this.time = time;
        this.capacity = capacity;
        this.limit = limit;
    }

    /** Runs so many times slower, 1 for the usual. */
    public void setSlowdown(double times) {
        advance();
        slowness = Math.max(1, times);
        plan();
    }

    public void setRejectingAll(boolean all) {
        refusing = all;
    }

    /** What it serves is damaged: a fetch takes its time and brings nothing that starts. */
    public void setServingDamagedImages(boolean on) {
        damaged = on;
    }

    public long fetched() {
        return fetched;
    }

    public long refused() {
        return refused;
    }

    /** Begins a fetch that would take so long alone; tells whether it came through. */
    public void fetch(long aloneNanos, Consumer<Boolean> done) {
        if (refusing || under.size() >= limit) {
            refused++;
            time.after(1_000_000, () -> done.accept(false));
            return;
        }
        advance();
        Fetch fetch = new Fetch();
        fetch.left = aloneNanos;
        fetch.done = done;
        under.add(fetch);
        plan();
    }

    private double rate() {
        return Math.min(1, capacity / Math.max(1, under.size())) / slowness;
    }

    private void advance() {
        double gone = (time.now() - at) * rate();
        at = time.now();
        under.forEach(fetch -> fetch.left -= gone);
    }

    private void plan() {
        if (next != null) {
            next.callOff();
        }
        if (!under.isEmpty()) {
            double least = under.stream().mapToDouble(fetch -> fetch.left).min().orElse(0);
            next = time.after((long) Math.ceil(Math.max(0, least) / rate()), this::due);
        }
    }

    private void due() {
        advance();
        List<Fetch> ended = under.stream().filter(fetch -> fetch.left < 1).toList();
        under.removeAll(ended);
        plan();
        for (Fetch fetch : ended) {
            fetched++;
            fetch.done.accept(!damaged);
        }
    }
}
