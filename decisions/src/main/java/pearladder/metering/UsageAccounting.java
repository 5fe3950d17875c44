package pearladder.metering;

import java.math.BigInteger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * Who bears the memory that models hold. Evidence goes in through {@link #handle}, in the order of time but for a stated
 * lateness; shares of intervals that are over come out; {@link #end} closes what is left.
 *
 * A copy counts from the moment its load is begun until the engine says that it is gone, its process ends, or nothing
 * renewed it for as long as idle copies are kept. An interval's memory on an engine is split by the work of the accounts'
 * calls there, in it and the four before it, so that one call in a quiet minute bears its own work and not the minute. Where
 * nobody has worked yet the account bears it whose call began the load. Parts are whole numbers by the largest remainder:
 * they sum to the whole, whatever the order in which records are merged.
 */
public final class UsageAccounting {
    private static final int REMEMBERED = 5;

    /** A model's copies on an engine. */
    private static final class Holding {
        final String engine;
        final String model;
        int copies;
        long at;
        long touched;
        long amount;
        String loader = "";
        final Deque<TreeMap<String, Long>> work = new ArrayDeque<>();
        final TreeMap<String, Integer> loads = new TreeMap<>();

        Holding(String engine, String model) {
            this.engine = engine;
            this.model = model;
            work.add(new TreeMap<>());
        }
    }

    private final long interval;
    private final long kept;
    private final long late;
    private final PriorityQueue<InstanceObservation> waiting =
            new PriorityQueue<>(Comparator.comparingLong(InstanceObservation::at)
                    .thenComparing(UsageAccounting::rank)
                    .thenComparing(InstanceObservation::router)
                    .thenComparing(InstanceObservation::toString));
    private final TreeMap<String, Holding> holdings = new TreeMap<>();
    private final Map<String, Long> memory = new HashMap<>();
    private List<UsageShare> shares = new ArrayList<>();
    private long begins = Long.MIN_VALUE;
    private long newest = Long.MIN_VALUE;
    private long tooLate;

    /**
     * @param interval of a split, milliseconds
     * @param kept idle copies are kept for so long, milliseconds
     * @param late evidence may come so much later than what is newer, milliseconds
     */
    public UsageAccounting(long interval, long kept, long late) {
        this.interval = interval;
        this.kept = kept;
        this.late = late;
    }

    /** What a record told; the shares of intervals that can't change any more. */
    public List<UsageShare> on(InstanceObservation evidence) {
        shares = new ArrayList<>();
        waiting.add(evidence);
        newest = Math.max(newest, evidence.at());
        while (!waiting.isEmpty() && waiting.peek().at() < newest - late) {
            follow(waiting.poll());
        }
        return shares;
    }

    /** Nothing more comes: all that is left, up to a moment or to the last evidence with what stands after it. */
    public List<UsageShare> end(long until) {
        shares = new ArrayList<>();
        while (!waiting.isEmpty()) {
            follow(waiting.poll());
        }
        while (begins != Long.MIN_VALUE
                && begins + interval <= until
                && holdings.values().stream().anyMatch(holding -> holding.copies > 0 || holding.amount > 0)) {
            close();
        }
        if (begins != Long.MIN_VALUE && begins < until) {
            holdings.values().forEach(holding -> to(holding, until));
            holdings.values().forEach(this::split);
        }
        return shares;
    }

    /** Evidence that came later than the stated lateness; it counts in the first interval that is open. */
    public long tooLate() {
        return tooLate;
    }

    /** At one moment, what ends goes before what begins, and what is said before what is done. */
    private static int rank(InstanceObservation evidence) {
        return evidence instanceof InstanceObservation.Memory
                ? 0
                : evidence instanceof InstanceObservation.Gone
                        ? 1
                        : evidence instanceof InstanceObservation.LoadFailed
                                ? 2
                                : evidence instanceof InstanceObservation.Loading
                                        ? 3
                                        : evidence instanceof InstanceObservation.Copies ? 4 : 5;
    }

    private void follow(InstanceObservation evidence) {
        if (begins == Long.MIN_VALUE) {
            begins = Math.floorDiv(evidence.at(), interval) * interval;
        }
        if (evidence.at() < begins) {
            tooLate++;
        }
        long at = Math.max(begins, evidence.at());
        while (at >= begins + interval) {
            close();
        }
        if (evidence instanceof InstanceObservation.Memory said) {
            holdings.values().stream()
                    .filter(holding -> holding.model.equals(said.model()))
                    .forEach(holding -> to(holding, at));
            memory.put(said.model(), said.megabytes());
        } else if (evidence instanceof InstanceObservation.Gone gone) {
            holdings.values().stream()
                    .filter(holding -> holding.engine.equals(gone.engine()))
                    .forEach(holding -> set(holding, at, 0));
        } else if (evidence instanceof InstanceObservation.LoadFailed failed) {
            Holding holding = holding(failed.engine(), failed.model(), at);
            set(holding, at, Math.max(0, holding.copies - 1));
        } else if (evidence instanceof InstanceObservation.Loading loading) {
            Holding holding = holding(loading.engine(), loading.model(), at);
            holding.loads.merge(loading.account(), 1, Integer::sum);
            if (holding.copies == 0) {
                holding.loader = loading.account();
            }
            set(holding, at, Math.max(1, holding.copies));
            // a load may last for longer than an idle copy is kept
            holding.touched = Math.max(holding.touched, at + loading.lasting());
        } else if (evidence instanceof InstanceObservation.Copies said) {
            Holding holding = holding(said.engine(), said.model(), at);
            set(holding, at, said.copies());
        } else if (evidence instanceof InstanceObservation.Worked worked) {
            Holding holding = holding(worked.engine(), worked.model(), at);
            if (holding.copies == 0) {
                holding.loader = worked.account();
            }
            set(holding, at, Math.max(1, holding.copies));
            holding.work.peekLast().merge(worked.account(), worked.micros(), Long::sum);
        }
    }

    private Holding holding(String engine, String model, long at) {
        Holding holding = holdings.computeIfAbsent(engine + "\n" + model, key -> new Holding(engine, model));
        to(holding, at);
        return holding;
    }

    /** From here on so many copies stand. */
    private void set(Holding holding, long at, int copies) {
        to(holding, at);
        holding.touched = holding.copies > 0 ? Math.max(holding.touched, at) : at;
        holding.copies = copies;
    }

    /** Counts up to a moment, or to the one at which nothing had renewed the copies for too long. */
    private void to(Holding holding, long at) {
        long end = Math.min(at, holding.touched + kept);
        if (holding.copies > 0 && end > holding.at) {
            holding.amount = Math.addExact(
                    holding.amount,
                    Math.multiplyExact(holding.copies * (end - holding.at), memory.getOrDefault(holding.model, 0L)));
        }
        if (at >= holding.touched + kept) {
            holding.copies = 0;
        }
        holding.at = Math.max(holding.at, at);
    }

    /** Ends the interval that is open. */
    private void close() {
        long ends = begins + interval;
        for (Holding holding : holdings.values()) {
            to(holding, ends);
            split(holding);
            holding.work.add(new TreeMap<>());
            while (holding.work.size() > REMEMBERED) {
                holding.work.poll();
            }
        }
        holdings.values()
                .removeIf(
                        holding -> holding.copies == 0 && holding.work.stream().allMatch(Map::isEmpty));
        begins = ends;
    }

    private void split(Holding holding) {
        TreeMap<String, Long> weights = new TreeMap<>();
        holding.work.forEach(one -> one.forEach((account, micros) -> weights.merge(account, micros, Long::sum)));
        weights.values().removeIf(micros -> micros <= 0);
        if (weights.isEmpty()) {
            weights.put(holding.loader, 1L);
        }
        TreeMap<String, Long> parts = parts(holding.amount, weights);
        holding.work.peekLast().keySet().forEach(account -> parts.putIfAbsent(account, 0L));
        holding.loads.keySet().forEach(account -> parts.putIfAbsent(account, 0L));
        parts.forEach((account, amount) -> {
            int loads = holding.loads.getOrDefault(account, 0);
            long work = holding.work.peekLast().getOrDefault(account, 0L);
            if (amount > 0 || loads > 0 || work > 0) {
                shares.add(new UsageShare(account, holding.model, holding.engine, begins, amount, loads, work));
            }
        });
        holding.amount = 0;
        holding.loads.clear();
    }

    /** Whole parts that sum to the whole: rounded down, and what is left goes by the largest remainder, then by name. */
    static TreeMap<String, Long> parts(long whole, TreeMap<String, Long> weights) {
        record Rest(String account, BigInteger remainder) {}

        BigInteger sum = BigInteger.valueOf(0);
        for (long weight : weights.values()) {
            sum = sum.add(BigInteger.valueOf(weight));
        }
        TreeMap<String, Long> parts = new TreeMap<>();
        List<Rest> rests = new ArrayList<>();
        long given = 0;
        for (Map.Entry<String, Long> one : weights.entrySet()) {
            BigInteger[] part = BigInteger.valueOf(whole)
                    .multiply(BigInteger.valueOf(one.getValue()))
                    .divideAndRemainder(sum);
            parts.put(one.getKey(), part[0].longValueExact());
            rests.add(new Rest(one.getKey(), part[1]));
            given += part[0].longValueExact();
        }
        rests.sort(Comparator.comparing(Rest::remainder).reversed().thenComparing(Rest::account));
        for (int i = 0; given < whole; i++, given++) {
            parts.merge(rests.get(i).account(), 1L, Long::sum);
        }
        return parts;
    }
}
