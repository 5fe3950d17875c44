package pearladder.background;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * Which piece of background work is begun when. It is called through on(now, event): what happened goes in, what is to be
 * done comes out.
 *
 * Ranks go first to last. Within a class each account gets an equal share by start-time fair queueing (Goyal, Vin and Cheng,
 * SIGCOMM 1996): a piece starts at the larger of the class's virtual time and its account's last finish, and the smallest
 * start is begun first; an account can be ahead of another by one piece of each at the most. Among one account's own pieces
 * the one that is due first goes first. A class spends no more than its budget: what a piece cost beyond what was expected
 * is paid back before the next begins. A piece that can't begin by its time is given up at once, not when its time is up.
 */
public final class BackgroundScheduler {
    private static final TimeSpan BEAT = TimeSpan.millis(50);
    private static final double LONGEST_BACK_OFF = 100;

    private final class Piece {
        final JobEvent.Asked asked;
        final Group group;
        final long number;
        double start;
        MonotonicTime notBefore;
        int attempt;
        boolean running;

        Piece(JobEvent.Asked asked, Group group) {
            this.asked = asked;
            this.group = group;
            this.number = numbered++;
            this.notBefore = now;
        }

        long due() {
            return asked.by() == null ? Long.MAX_VALUE : asked.by().nanos();
        }
    }

    /** One class with what it has left to spend and what waits in it. */
    private final class Group {
        final JobClass duty;
        final Map<String, List<Piece>> waiting = new LinkedHashMap<>();
        final Map<String, Double> finished = new LinkedHashMap<>();
        ResourceCost left;
        MonotonicTime filledAt;
        double virtual;
        int running;
        int held;
        boolean starved;

        Group(JobClass duty) {
            this.duty = duty;
            this.left = duty.budget().times(duty.saved());
            this.filledAt = now;
        }

        void fill() {
            left = left.plus(duty.budget(), now.since(filledAt).toSeconds())
                    .atMost(duty.budget().times(duty.saved()));
            filledAt = now;
        }

        /** How long until what is left bears a cost: all of it, or all that can ever be saved. */
        double secondsUntil(ResourceCost cost) {
            ResourceCost needed = cost.atMost(duty.budget().times(duty.saved()));
            return Math.max(0, needed.plus(left, -1).shareOf(duty.budget()));
        }
    }

    private final long seed;
    private final TimeSpan strainedAt;
    private final TreeMap<Integer, List<Group>> ranks = new TreeMap<>();
    private final Map<String, Group> groups = new LinkedHashMap<>();
    private final Map<String, Piece> pieces = new LinkedHashMap<>();
    private MonotonicTime now = new MonotonicTime(0);
    private List<JobAction> todo = new ArrayList<>();
    private double strain;
    private long numbered;
    private long drawn;
    private boolean stopping;
    private boolean awake;

    /**
     * @param seed of the chance in back-offs
     * @param strainedAt an event loop that is so late bears rank 0 only; one that is on time bears all ranks
     */
    public BackgroundScheduler(long seed, List<JobClass> duties, TimeSpan strainedAt, MonotonicTime begun) {
        this.seed = seed;
        this.strainedAt = strainedAt;
        this.now = begun;
        for (JobClass duty : duties) {
            Group group = new Group(duty);
            groups.put(duty.name(), group);
            ranks.computeIfAbsent(duty.rank(), rank -> new ArrayList<>()).add(group);
        }
    }

    /** What happened at a moment, and what is to be done. */
    public List<JobAction> on(MonotonicTime at, JobEvent event) {
        now = at;
        todo = new ArrayList<>();
        if (event instanceof JobEvent.Asked asked) {
            asked(asked);
        } else if (event instanceof JobEvent.Ended ended) {
            ended(ended);
        } else if (event instanceof JobEvent.Cancelled cancelled) {
            Piece piece = pieces.get(cancelled.id());
            if (piece != null && !piece.running) {
                forget(piece);
            }
        } else if (event instanceof JobEvent.Strained strained) {
            strain = Math.max(0, Math.min(1, strained.behind().dividedBy(strainedAt)));
        } else if (event instanceof JobEvent.Stopping) {
            stopping = true;
            List.copyOf(pieces.values()).stream()
                    .filter(piece -> !piece.running && !piece.group.duty.atStop())
                    .forEach(piece -> giveUp(piece, "the router stops"));
        } else if (event instanceof JobEvent.Due) {
            awake = false;
        }
        begin();
        return todo;
    }

    /** Pieces that wait or run. */
    public int size() {
        return pieces.size();
    }

    private void asked(JobEvent.Asked asked) {
        Group group = groups.get(asked.duty());
        if (group == null || pieces.containsKey(asked.id())) {
            todo.add(new JobAction.GiveUp(
                    asked.id(), group == null ? "no such class: " + asked.duty() : "asked for already"));
            return;
        }
        if (stopping && !group.duty.atStop()) {
            todo.add(new JobAction.GiveUp(asked.id(), "the router stops"));
            return;
        }
        Piece piece = new Piece(asked, group);
        pieces.put(asked.id(), piece);
        queue(piece);
        if (group.held > group.duty.waiting()) {
            Piece last = group.waiting.values().stream()
                    .flatMap(List::stream)
                    .max(Comparator.comparingLong(Piece::due).thenComparingLong(one -> one.number))
                    .orElseThrow();
            giveUp(last, group.duty.name() + " holds " + group.duty.waiting() + " pieces already");
        }
    }

    private void queue(Piece piece) {
        Group group = piece.group;
        String account = piece.asked.account();
        List<Piece> own = group.waiting.computeIfAbsent(account, name -> new ArrayList<>());
        own.add(piece);
        own.sort(Comparator.comparingLong(Piece::due).thenComparingLong(one -> one.number));
        group.held++;
    }

    private void forget(Piece piece) {
        pieces.remove(piece.asked.id());
        unqueue(piece);
    }

    private void unqueue(Piece piece) {
        List<Piece> own = piece.group.waiting.get(piece.asked.account());
        if (own != null && own.remove(piece)) {
            piece.group.held--;
            if (own.isEmpty()) {
                piece.group.waiting.remove(piece.asked.account());
            }
        }
    }

    private void giveUp(Piece piece, String why) {
        forget(piece);
        todo.add(new JobAction.GiveUp(piece.asked.id(), why));
    }

    private void ended(JobEvent.Ended ended) {
        Piece piece = pieces.get(ended.id());
        if (piece == null || !piece.running) {
            return;
        }
        Group group = piece.group;
        piece.running = false;
        group.running--;
        group.fill();
        group.left = group.left.plus(ended.cost(), -1).plus(piece.asked.cost(), 1);
        if (ended.well()) {
            pieces.remove(ended.id());
        } else if (piece.attempt > group.duty.retries() || stopping && !group.duty.atStop()) {
            giveUp(piece, "failed " + piece.attempt + " times");
        } else {
            double times = Math.min(LONGEST_BACK_OFF, Math.pow(2, piece.attempt - 1)) * (0.5 + chance());
            piece.notBefore = now.plus(group.duty.backOff().times(times));
            queue(piece);
        }
    }

    private double chance() {
        CRC32 crc = new CRC32();
        crc.update((seed + ":" + drawn++).getBytes(StandardCharsets.UTF_8));
        return crc.getValue() / 4294967296.0;
    }

    // ---- what is begun

    /** The highest rank that works at this strain: each rank bears its equal part of it, so a trace of strain stops none. */
    private int lowest() {
        return (int) Math.floor((1 - strain) * (ranks.lastKey() + 1) + 1e-9);
    }

    private void begin() {
        for (Map.Entry<Integer, List<Group>> rank : ranks.entrySet()) {
            boolean works = rank.getKey() <= lowest();
            for (Group group : rank.getValue()) {
                starve(group, !works && group.held > 0);
                if (works) {
                    begin(group);
                }
                late(group);
            }
        }
        if (!awake && pieces.values().stream().anyMatch(piece -> !piece.running)) {
            awake = true;
            todo.add(new JobAction.Wake(BEAT));
        }
    }

    private void starve(Group group, boolean on) {
        if (group.starved != on) {
            group.starved = on;
            todo.add(new JobAction.Log(String.format(
                    "background work %s %s: strain %.2f, %d pieces wait",
                    group.duty.name(), on ? "stands still" : "goes on", strain, group.held)));
        }
    }

    private void begin(Group group) {
        group.fill();
        Piece next;
        while (group.running < group.duty.atOnce()
                && (next = first(group)) != null
                && group.secondsUntil(next.asked.cost()) <= 0) {
            unqueue(next);
            next.running = true;
            next.attempt++;
            group.running++;
            group.left = group.left.plus(next.asked.cost(), -1);
            group.virtual = next.start;
            group.finished.put(next.asked.account(), next.start + weight(next));
            // an account that is behind the class's time says nothing any more
            double time = group.virtual;
            group.finished.values().removeIf(finish -> finish <= time);
            todo.add(new JobAction.Begin(next.asked.id(), next.attempt));
        }
    }

    /** A cost as one figure, so that a piece that costs ten times as much counts ten times. */
    private static double weight(Piece piece) {
        return Math.max(1e-6, piece.asked.cost().shareOf(piece.group.duty.budget()));
    }

    /** The piece with the smallest start of those that may begin now: each account's most urgent one is looked at. */
    private Piece first(Group group) {
        Piece best = null;
        for (Map.Entry<String, List<Piece>> own : group.waiting.entrySet()) {
            for (Piece piece : own.getValue()) {
                if (piece.notBefore.compareTo(now) <= 0) {
                    piece.start = Math.max(group.virtual, group.finished.getOrDefault(own.getKey(), 0.0));
                    boolean sooner = best == null
                            || piece.start < best.start
                            || piece.start == best.start && piece.due() < best.due();
                    best = sooner ? piece : best;
                    break;
                }
            }
        }
        return best;
    }

    /** Gives up at once what can't begin by its time: the budget that it needs will not be there. */
    private void late(Group group) {
        List<Piece> late = new ArrayList<>();
        for (List<Piece> own : group.waiting.values()) {
            for (Piece piece : own) {
                if (piece.asked.by() == null) {
                    break;
                }
                MonotonicTime soonest = now.plus(TimeSpan.seconds(group.secondsUntil(piece.asked.cost())));
                if (piece.asked.by().isBefore(soonest) || piece.asked.by().isBefore(piece.notBefore)) {
                    late.add(piece);
                }
            }
        }
        late.forEach(piece -> giveUp(piece, "it can't begin by its time"));
    }
}
