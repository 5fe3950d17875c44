package pearladder.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import pearladder.kserve.LoadReport;
import pearladder.kserve.Route;

/**
 * A stand-in engine. Running calls share its cores (processor sharing, each at most one core); a call whose model has no
 * free lane waits; a missing model is loaded: fetched from the shelf, then started.
 */
public final class WorkerModel {
    /** How a call met its copy. */
    public enum Met {
        STOOD,
        LOAD_BEGUN,
        LOAD_JOINED,
        LOAD_FAILED
    }

    /** How an engine ends a call or an order. */
    public enum End {
        OK,
        ERROR,
        FULL,
        ABSENT
    }

    /** A call as it reaches an engine; mark is empty where there is none, workNanos 0 for the model's usual. */
    public record Asked(String router, String call, int leg, String model, String mark, long workNanos) {}

    /** An answer; copies is for orders: how many stand. */
    public record Answer(End end, Met met, int crowd, int copies, LoadReport report) {}

    /** A handle on a call that is held here. */
    public final class Held {
        private final Asked asked;
        private final Consumer<Answer> reply;
        private final int crowd;
        private Met met;
        private Copy on;
        private double left;
        private boolean ended;

        private Held(Asked asked, int crowd, Consumer<Answer> reply) {
            this.asked = asked;
            this.reply = reply;
            this.crowd = crowd;
        }

        /** The caller is gone: waiting work is dropped, running work stops where this kind does that. */
        public void cancel() {
            if (ended) {
                return;
            }
            if (on == null) {
                waiting.remove(this);
                ended = true;
            } else if (kind.cancelStops()) {
                advance();
                release(this);
                serve();
            }
        }
    }

    private static final class Copy {
        final String model;
        final ModelKind kind;
        boolean standing;
        boolean stale;
        long begunAt;
        long fetchedAt;
        int busy;
        long idleSince;
        final List<Consumer<Boolean>> awaited = new ArrayList<>();

        Copy(String model, ModelKind kind) {
            this.model = model;
            this.kind = kind;
        }
    }

    private final Timeline time;
    private final String id;
    private final WorkerKind kind;
    private final Function<String, ModelKind> models;
    private final ModelStore shelf;
    private final Consumer<Observation> seen;
    private final SplittableRandom random;
    private final List<Copy> copies = new ArrayList<>();
    private final ArrayDeque<Held> waiting = new ArrayDeque<>();
    private final List<Held> running = new ArrayList<>();
    private final ArrayDeque<Copy> toLoad = new ArrayDeque<>();
    private final Map<String, Long> images = new LinkedHashMap<>();
    private final IdempotencyCache marks;
    private final ArrayDeque<double[]> pressure = new ArrayDeque<>();
    private Timeline.Planned next;
    private long at;
    private int loading;
    private long startedAt;
    private boolean cold;
    private boolean up = true;
    private boolean draining;
    private double slowness = 1;
    private boolean frozen;
    private double failing;
    private double losing;
    private double leakPerSecond;
    private long leakingSince;
    private double lostForGood;
    private int life;
    private LoadReport report;
    private long reportedAt;
    private long reportDelay;
    private final ArrayDeque<Object[]> late = new ArrayDeque<>();

    /** @param marks those of its group; @param cold whether it has just started */
    public WorkerModel(
            Timeline time,
            String id,
            WorkerKind kind,
            Function<String, ModelKind> models,
            ModelStore shelf,
            IdempotencyCache marks,
            long seed,
            boolean cold,
            Consumer<Observation> seen) {
        this.marks = marks;
        this.time = time;
        this.id = id;
        this.kind = kind;
        this.models = models;
        this.shelf = shelf;
        this.seen = seen;
        this.random = new SplittableRandom(seed);
        this.cold = cold;
        this.startedAt = time.now();
        this.at = time.now();
    }

    public String id() {
        return id;
    }

    public WorkerKind kind() {
        return kind;
    }

    public boolean up() {
        return up;
    }

    public boolean draining() {
        return draining;
    }

    public void drain() {
        draining = true;
    }

    /** Runs so many times slower than usual. */
    public void slow(double times) {
        advance();
        slowness = Math.max(1, times);
        plan();
    }

    /** Stands still, with all that runs on it, or goes on. */
    public void freeze(boolean on) {
        advance();
        frozen = on;
        plan();
    }

    /** Fails a share of its calls at once. */
    public void failing(double share) {
        failing = share;
    }

    /** Loses a share of its answers to orders; the loads themselves happen. */
    public void losing(double share) {
        losing = share;
    }

    /** Loses memory for good, in MB a second from now on; a restart mends it, and 0 leaves what is lost as it is. */
    public void leak(double perSecond) {
        double lost = leaked();
        leakPerSecond = perSecond;
        leakingSince = perSecond > 0 ? time.now() - Math.round(lost / perSecond * 1e9) : time.now();
        lostForGood = perSecond > 0 ? 0 : lost;
    }

    private double leaked() {
        return lostForGood + leakPerSecond * (time.now() - leakingSince) / 1e9;
    }

    /** Its reports tell what was so long ago. */
    public void reportLate(long nanos) {
        reportDelay = nanos;
    }

    /** Dies: everything held is lost without an answer. */
    public void die() {
        up = false;
        life++;
        advance();
        waiting.forEach(held -> held.ended = true);
        running.forEach(held -> held.ended = true);
        waiting.clear();
        running.clear();
        gone(copies.stream().filter(copy -> copy.standing).count());
        copies.clear();
        toLoad.clear();
        images.clear();
        pressure.clear();
        loading = 0;
        plan();
    }

    /** Comes back empty and cold. */
    public void start() {
        up = true;
        draining = false;
        cold = true;
        slowness = 1;
        frozen = false;
        failing = 0;
        losing = 0;
        leakPerSecond = 0;
        lostForGood = 0;
        startedAt = time.now();
        at = time.now();
        report = null;
        late.clear();
    }

    /** The models whose names match are released anew: their copies and images go void. */
    public void release(String pattern) {
        images.keySet().removeIf(model -> Route.matches(pattern, model));
        for (Copy copy : List.copyOf(copies)) {
            if (Route.matches(pattern, copy.model)) {
                copy.stale = true;
                if (copy.standing && copy.busy == 0) {
                    drop(copy);
                }
            }
        }
    }

    /** The share of its capacity that it bears now. */
    double present() {
        if (!cold) {
            return 1;
        }
        double age = (double) (time.now() - startedAt) / Math.max(1, kind.warmNanos());
        cold = age < 1;
        return Math.min(1, kind.startShare() + (1 - kind.startShare()) * age);
    }

    private boolean pushed(double work) {
        if (present() >= 1) {
            pressure.clear();
            return false;
        }
        pressure.add(new double[] {time.now(), work});
        while (!pressure.isEmpty() && time.now() - pressure.peek()[0] > kind.fallNanos()) {
            pressure.poll();
        }
        double sent = pressure.stream().mapToDouble(p -> p[1]).sum();
        double bears = kind.cores() * kind.speed() * present() * kind.fallNanos();
        if (sent <= kind.fallMultiple() * bears) {
            return false;
        }
        seen.accept(new Observation(time.now(), Observation.FELL, "", "", 0, id, "", "", sent / bears));
        die();
        return true;
    }

    /** Takes a call; the answer comes later, or never where the engine dies first. Null where it was answered at once. */
    public Held ask(Asked asked, Consumer<Answer> reply) {
        if (!up) {
            return null;
        }
        ModelKind model = models.apply(asked.model());
        seen.accept(Observation.leg(time.now(), Observation.ARRIVED, asked, id, asked.mark()));
        double work =
                model == null ? 0 : (asked.workNanos() > 0 ? asked.workNanos() : model.workNanos()) * model.times();
        if (pushed(work)) {
            return null;
        }
        if (model == null) {
            return refuse(asked, End.ABSENT, reply);
        }
        int crowd = (int) (running.stream()
                        .filter(h -> h.asked.model().equals(asked.model()))
                        .count()
                + waiting.stream()
                        .filter(h -> h.asked.model().equals(asked.model()))
                        .count());
        if (failing > 0 && random.nextDouble() < failing) {
            seen.accept(Observation.leg(time.now(), Observation.RAN, asked, id, "failed"));
            reply.accept(new Answer(End.ERROR, null, crowd, 0, report()));
            return null;
        }
        if (marks.has(asked.mark())) {
            return drop(asked, crowd, reply);
        }
        Held held = new Held(asked, crowd, reply);
        held.left = work;
        Copy free = free(asked.model());
        if (draining || free == null && waiting.size() >= kind.queue()) {
            return refuse(asked, End.FULL, reply);
        }
        boolean loadingNow = copies.stream().anyMatch(c -> c.model.equals(asked.model()) && !c.standing && !c.stale);
        boolean any = loadingNow || copies.stream().anyMatch(c -> c.model.equals(asked.model()) && !c.stale);
        if (free != null) {
            held.met = Met.STOOD;
            run(held, free);
            return held;
        }
        held.met = !any ? Met.LOAD_BEGUN : loadingNow ? Met.LOAD_JOINED : Met.STOOD;
        if (!any || kind.ownCopies() && !loadingNow) {
            Copy begun = load(asked.model(), model);
            if (begun == null && !any) {
                return refuse(asked, End.FULL, reply);
            }
            held.met = begun != null ? Met.LOAD_BEGUN : held.met;
        }
        waiting.add(held);
        return held;
    }

    private Held refuse(Asked asked, End end, Consumer<Answer> reply) {
        seen.accept(Observation.leg(time.now(), Observation.REFUSED, asked, id, end.name()));
        reply.accept(new Answer(end, null, 0, 0, report()));
        return null;
    }

    /** A repeat of what has run is answered and not run again. */
    private Held drop(Asked asked, int crowd, Consumer<Answer> reply) {
        seen.accept(Observation.leg(time.now(), Observation.DROPPED, asked, id, asked.mark()));
        reply.accept(new Answer(End.OK, Met.STOOD, crowd, 0, report()));
        return null;
    }

    private Copy free(String model) {
        Copy best = null;
        for (Copy copy : copies) {
            if (copy.standing
                    && !copy.stale
                    && copy.model.equals(model)
                    && copy.busy < copy.kind.lanes()
                    && (best == null || copy.busy < best.busy)) {
                best = copy;
            }
        }
        return best;
    }

    private double used() {
        return leaked()
                + copies.stream().mapToDouble(copy -> copy.kind.memoryMb()).sum();
    }

    /** Begins a load, making room by unloading idle copies; null where there is no room. */
    private Copy load(String model, ModelKind of) {
        double free = kind.memoryMb() - used();
        double idle = copies.stream()
                .filter(c -> c.standing && c.busy == 0)
                .mapToDouble(c -> c.kind.memoryMb())
                .sum();
        if (free + idle < of.memoryMb()) {
            return null;
        }
        while (kind.memoryMb() - used() < of.memoryMb() && copies.stream().anyMatch(c -> c.standing && c.busy == 0)) {
            copies.stream()
                    .filter(c -> c.standing && c.busy == 0)
                    .min((a, b) -> Long.compare(a.idleSince, b.idleSince))
                    .ifPresent(this::drop);
        }
        Copy copy = new Copy(model, of);
        copies.add(copy);
        toLoad.add(copy);
        startLoads();
        return copy;
    }

    private void startLoads() {
        while (loading < kind.loaders() && !toLoad.isEmpty()) {
            Copy copy = toLoad.poll();
            loading++;
            copy.begunAt = time.now();
            copy.fetchedAt = time.now();
            int then = life;
            if (kind.images() && images.containsKey(copy.model)) {
                time.after(copy.kind.startNanos(), () -> loaded(copy, true, then));
            } else {
                shelf.fetch(copy.kind.fetchNanos(), ok -> {
                    copy.fetchedAt = time.now();
                    if (life == then && ok) {
                        images.put(copy.model, time.now());
                        time.after(copy.kind.startNanos(), () -> loaded(copy, true, then));
                    } else {
                        loaded(copy, false, then);
                    }
                });
            }
        }
    }

    private void loaded(Copy copy, boolean ok, int then) {
        if (life != then) {
            return;
        }
        loading--;
        boolean stands = ok && !copy.stale;
        seen.accept(new Observation(
                time.now(),
                Observation.LOADED,
                "",
                "",
                0,
                id,
                copy.model,
                stands ? "" : ok ? "released anew" : "no image",
                fetchShare(copy)));
        if (stands) {
            copy.standing = true;
            idle(copy);
        } else {
            copies.remove(copy);
        }
        List.copyOf(copy.awaited).forEach(order -> order.accept(stands));
        boolean another = copies.stream().anyMatch(c -> c.model.equals(copy.model) && !c.stale);
        if (!stands && !another) {
            for (Held held : List.copyOf(waiting)) {
                if (held.asked.model().equals(copy.model)) {
                    waiting.remove(held);
                    held.ended = true;
                    seen.accept(Observation.leg(time.now(), Observation.REFUSED, held.asked, id, "load failed"));
                    held.reply.accept(new Answer(End.ABSENT, Met.LOAD_FAILED, held.crowd, 0, report()));
                }
            }
        }
        startLoads();
        serve();
    }

    private double fetchShare(Copy copy) {
        return (double) (copy.fetchedAt - copy.begunAt) / Math.max(1, time.now() - copy.begunAt);
    }

    private void drop(Copy copy) {
        if (copies.remove(copy)) {
            gone(1);
        }
    }

    private void gone(long count) {
        if (count > 0) {
            seen.accept(new Observation(time.now(), Observation.UNLOADED, "", "", 0, id, "", "", count));
        }
    }

    private void idle(Copy copy) {
        copy.idleSince = time.now();
        long since = copy.idleSince;
        time.after(kind.keptNanos(), () -> {
            if (copy.busy == 0 && copy.idleSince == since) {
                drop(copy);
            }
        });
    }

    private void run(Held held, Copy copy) {
        if (marks.has(held.asked.mark())) {
            // it waited here while a repeat of it ran elsewhere in the group
            held.ended = true;
            drop(held.asked, held.crowd, held.reply);
            return;
        }
        advance();
        held.on = copy;
        copy.busy++;
        running.add(held);
        marks.add(held.asked.mark());
        seen.accept(Observation.leg(time.now(), Observation.RAN, held.asked, id, ""));
        plan();
    }

    private void release(Held held) {
        held.ended = true;
        running.remove(held);
        held.on.busy--;
        if (held.on.busy == 0) {
            if (held.on.stale) {
                drop(held.on);
            } else {
                idle(held.on);
            }
        }
        plan();
    }

    /** Gives free lanes to waiting calls, oldest first, and begins the loads that they still need. */
    private void serve() {
        for (Held held : List.copyOf(waiting)) {
            Copy copy = free(held.asked.model());
            if (copy != null) {
                waiting.remove(held);
                run(held, copy);
            } else if (copies.stream().noneMatch(c -> c.model.equals(held.asked.model()) && !c.stale)) {
                load(held.asked.model(), models.apply(held.asked.model()));
            }
        }
    }

    private double rate() {
        double share = Math.min(1, (double) kind.cores() / Math.max(1, running.size()));
        return share * kind.speed() / slowness;
    }

    private void advance() {
        double gone = frozen ? 0 : (time.now() - at) * rate();
        at = time.now();
        running.forEach(held -> held.left -= gone);
    }

    private void plan() {
        if (next != null) {
            next.callOff();
            next = null;
        }
        if (!running.isEmpty() && !frozen) {
            double least = running.stream().mapToDouble(held -> held.left).min().orElse(0);
            next = time.after((long) Math.ceil(Math.max(0, least) / rate()), this::due);
        }
    }

    private void due() {
        advance();
        for (Held held : running.stream().filter(h -> h.left < 1).toList()) {
            release(held);
            double failing = held.on.kind.failing();
            boolean fails = failing > 0 && random.nextDouble() < failing;
            held.reply.accept(new Answer(fails ? End.ERROR : End.OK, held.met, held.crowd, 0, report()));
        }
        serve();
        plan();
    }

    /** An order to hold copies; it is answered once they stand or it is clear that they will not. */
    public void hold(String router, String model, int wanted, Consumer<Answer> told) {
        if (!up) {
            return;
        }
        boolean lost = losing > 0 && random.nextDouble() < losing;
        Consumer<Answer> reply = lost ? answer -> {} : told;
        seen.accept(new Observation(time.now(), Observation.ORDERED, router, "", 0, id, model, "", wanted));
        ModelKind of = models.apply(model);
        if (of == null || draining) {
            reply.accept(new Answer(of == null ? End.ERROR : End.FULL, null, 0, standing(model), report()));
            return;
        }
        List<Copy> there =
                copies.stream().filter(c -> c.model.equals(model) && !c.stale).toList();
        there.stream().filter(c -> c.standing && c.busy == 0).forEach(this::idle);
        List<Copy> awaited =
                new ArrayList<>(there.stream().filter(c -> !c.standing).toList());
        for (int i = there.size(); i < wanted; i++) {
            Copy begun = load(model, of);
            if (begun == null) {
                reply.accept(new Answer(End.FULL, null, 0, standing(model), report()));
                return;
            }
            awaited.add(begun);
        }
        if (standing(model) >= wanted || awaited.isEmpty()) {
            reply.accept(new Answer(End.OK, null, 0, standing(model), report()));
            return;
        }
        int[] left = {awaited.size()};
        boolean[] failed = {false};
        for (Copy copy : awaited) {
            copy.awaited.add(ok -> {
                failed[0] |= !ok;
                if (--left[0] == 0) {
                    reply.accept(new Answer(failed[0] ? End.ERROR : End.OK, null, 0, standing(model), report()));
                }
            });
        }
    }

    /** Unloads the idle copies of a model. */
    public void unload(String model) {
        copies.stream()
                .filter(copy -> copy.model.equals(model) && copy.standing && copy.busy == 0)
                .toList()
                .forEach(this::drop);
    }

    /** How many copies of a model stand. */
    public int standing(String model) {
        return (int) copies.stream()
                .filter(c -> c.model.equals(model) && c.standing && !c.stale)
                .count();
    }

    /** The models that stand or load, a copy a line; true where it stands. */
    public List<Map.Entry<String, Boolean>> index() {
        return copies.stream().map(copy -> Map.entry(copy.model, copy.standing)).toList();
    }

    /** Calls held: running and waiting. */
    public int held() {
        return running.size() + waiting.size();
    }

    /** The memory that loaded and loading copies take, in MB. */
    public double memoryUsed() {
        return used();
    }

    /** Its load report: renewed seldom, told late, with a little noise. */
    public LoadReport report() {
        if (report == null || time.now() - reportedAt >= kind.reportNanos()) {
            reportedAt = time.now();
            double noise = 0.95 + 0.1 * random.nextDouble();
            double pinned = copies.stream()
                            .filter(c -> !c.standing || c.busy > 0)
                            .mapToDouble(c -> c.kind.memoryMb())
                            .sum()
                    / kind.memoryMb();
            report = new LoadReport(
                    held() * noise,
                    waiting.size() * noise,
                    Math.min(1, (double) running.size() / kind.cores()),
                    loading + toLoad.size(),
                    pinned);
            late.add(new Object[] {time.now(), report});
        }
        LoadReport told = report;
        if (reportDelay > 0) {
            told = null;
            for (Object[] old : late) {
                told = (Long) old[0] <= time.now() - reportDelay || told == null ? (LoadReport) old[1] : told;
            }
        }
        while (late.size() > 1 && (Long) late.peek()[0] < time.now() - reportDelay - kind.reportNanos()) {
            late.poll();
        }
        return told;
    }
}
