package pearladder;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.zip.CRC32;
import pearladder.api.Action;
import pearladder.api.Dispatcher;
import pearladder.api.Event;
import pearladder.api.Event.Copy;
import pearladder.api.Event.Standing;
import pearladder.api.Facts;
import pearladder.api.Moment;
import pearladder.api.Outcome;
import pearladder.api.Span;
import pearladder.state.Call;
import pearladder.state.Decaying;
import pearladder.state.Function;
import pearladder.state.Known;
import pearladder.state.Leg;
import pearladder.state.Place;
import pearladder.state.Worker;

/*
 * All decisions of one router. It is called through pearladder.api.Dispatcher: on(now, event) takes what
 * happened and returns what is to be done, in order. Events, actions and the facts told at the start are in
 * pearladder.api; the plain records kept here are in pearladder.state. It reads no clock, shares nothing.
 *
 * Ordinary path, sticky first-fit (docs/design.md): each function has a short list of workers; a call takes
 * the first listed worker with room, else the first with room in an order of workers rotated by a hash of
 * the function, which joins the list; with no room anywhere the call is dismissed at once.
 *
 * Beside it stand five mechanisms, each a part of its own below:
 *   1 SetAside       a worker that fails or is slow against the fleet leaves the lists for a while
 *   2 ColdAllowance  a worker that has just started gets no more than our part of what it can bear
 *   3 FurtherLegs    what may be sent again, when, and how much of that in all
 *   4 LoadOrders     copies that are in use are held, and one is added where calls crowd, within the ration
 *   5 StoreGuard     loads are begun only as fast as they come up; beyond that, calls join a load under way
 */
public final class Policy implements Dispatcher {
    private static final Span BEAT = Span.millis(100);
    private static final Span HEALTH = Span.seconds(3);      // fade of what is known of a worker's health
    private static final Span PACE = Span.seconds(5);        // fade of rates and usual times
    private static final Span STRAINS = Span.seconds(1);     // fade of a worker's strain
    private static final Span DEMAND = Span.seconds(30);     // fade of a function's demand
    private static final int LIST = 4;                       // workers listed for a function
    private static final int MARKS = 64;                     // marks of each worker on the ring
    private static final double SPARE = 1;                   // room for calls beside the mean holding
    private static final Span FULL_FOR = Span.millis(300);   // a worker that refused as full is passed over
    private static final double STRAIN = 0.3;                // of the expected time that warm calls may take
    private static final double BEARING = 4;                 // calls out that a worker bears, at first,
    private static final double FEW = 3;                     // from each of so many routers; more share them
    private static final double MOST_STRAIN = 1.8;           // in strains: no overdraft beyond it
    private static final double LOADING = 2;                 // reported loads that fill a worker's rooms
    private static final double BUSY = 0.5;                  // mean reported loads under which no load waits
    private static final int SILENT = 3;                     // overdue legs and no answer since: it hangs
    private static final double FORGOTTEN = 0.01;            // faded calls under which a function is dropped
    private static final double MEAN_SECONDS = 0.1;          // a call's time before any was seen

    /** How tightly room is judged: in mean holdings of a worker, and in what it bears. */
    private enum Room {
        SNUG(1.5, 1), PACED(1.5, 1), WIDE(3, 2.5);

        final double margin;
        final double overdraft;

        Room(double margin, double overdraft) {
            this.margin = margin;
            this.overdraft = overdraft;
        }
    }

    private final long seed;
    private long drawn;
    private final Facts facts;
    private final Map<String, Facts.Terms> terms = new HashMap<>();
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<String, Worker> workers = new TreeMap<>();
    private final Map<String, Function> functions = new LinkedHashMap<>();
    private final Decaying warmAnswers = new Decaying(PACE);
    private final Decaying warmSeconds = new Decaying(PACE);
    private final Decaying hintSeconds = new Decaying(PACE);
    private final Decaying taken = new Decaying(PACE);
    private final List<Worker> inService = new ArrayList<>();        // by id
    private final List<Worker> met = new ArrayList<>();              // those of them ever sent to, by id
    private final List<Worker> newcomers = new ArrayList<>();        // those of them that may still be cold
    private final TreeMap<Long, Worker> ring = new TreeMap<>();
    private long edition;
    private int legsOut;
    private boolean begun;

    private final SetAside setAside = new SetAside(Span.seconds(3), Span.seconds(2), 0.4, 8, 4);
    private final ColdAllowance coldAllowance;
    private final FurtherLegs furtherLegs;
    private final LoadOrders loadOrders;
    private final StoreGuard storeGuard = new StoreGuard(1.5, 0.4);

    private Moment now;
    private List<Action> todo;

    public Policy(long seed, Facts facts) {
        this.seed = seed;
        this.facts = facts;
        for (Facts.Terms category : facts.categories()) {
            terms.put(category.name(), category);
        }
        coldAllowance = new ColdAllowance(facts.coldStart(), 0.6);
        furtherLegs = new FurtherLegs(facts.allowances().legs(), facts.allowances().cancel(), 0.2, 3);
        loadOrders = new LoadOrders(facts.ration(), facts.copies().kept(), facts.copies().orders(), 0.55);
    }

    @Override
    public List<Action> on(Moment at, Event event) {
        now = at;
        todo = new ArrayList<>();
        if (!begun) {
            begun = true;
            todo.add(new Action.Wake(now.plus(BEAT), "beat"));
            if (facts.roll().asked()) {
                todo.add(new Action.Subscribe(true));
            }
        }
        if (event instanceof Event.CallCame came) {
            take(came);
        } else if (event instanceof Event.LegEnded ended) {
            Call call = calls.get(ended.call());
            if (call != null && ended.leg() >= 0 && ended.leg() < call.legs.size()) {
                end(call, call.legs.get(ended.leg()), ended);
            }
        } else if (event instanceof Event.Due due && due.tag().equals("beat")) {
            beat();
        } else if (event instanceof Event.Due due && due.tag().equals("list")) {
            todo.add(new Action.Subscribe(true));
        } else if (event instanceof Event.Listed listed) {
            follow(listed);
        } else if (event instanceof Event.ClientLeft left && calls.containsKey(left.call())) {
            close(calls.get(left.call()));
        } else if (event instanceof Event.StreamBegan began && calls.containsKey(began.call())) {
            calls.get(began.call()).streaming = true;
        } else if (event instanceof Event.Wanted wanted) {
            Function function = functions.computeIfAbsent(wanted.function(),
                    id -> new Function(id, DEMAND, PACE));
            function.lanes = Math.max(1, wanted.lanes());
            function.memoryMb = wanted.memoryMb();
            function.usualLoad = wanted.usualLoad();
            function.wantedShare = wanted.share();
            function.wantedLike = functions.get(wanted.like());
        } else if (event instanceof Event.Recalled recalled) {
            recall(recalled.known());
        } else if (event instanceof Event.LoadAnswered answered) {
            Worker worker = workers.get(answered.worker());
            Function function = functions.get(answered.function());
            if (worker != null && function != null) {
                loadOrders.answered(place(function, worker), answered);
            }
        }
        return todo;
    }

    // ---- what outlives the process

    @Override
    public Known known(Moment at) {
        now = at;
        List<Known.OfWorker> ofWorkers = new ArrayList<>();
        for (Worker worker : inService) {
            Span aside = later(worker.asideUntil) ? worker.asideUntil.since(now) : Span.NONE;
            ofWorkers.add(new Known.OfWorker(worker.id,
                    worker.since == null ? null : now.since(worker.since), aside));
        }
        List<Known.OfFunction> ofFunctions = new ArrayList<>();
        for (Function function : functions.values()) {
            List<Known.Copy> copies = function.places.values().stream().filter(place -> instances(place) > 0)
                    .map(place -> new Known.Copy(place.worker.id, place.instances, now.since(place.touched),
                            function.list.contains(place))).toList();
            ofFunctions.add(new Known.OfFunction(function.id, Math.max(1, function.lanes), function.memoryMb,
                    function.usualLoad, function.calls.read(now), function.warmAnswers.read(now),
                    function.warmSeconds.read(now), copies));
        }
        return new Known(Span.NONE, ofWorkers, ofFunctions, loadOrders.orders.stream().map(now::since).toList(),
                storeGuard.loadSeconds.read(now), storeGuard.loadCount.read(now));
    }

    /** Taken as it is told: what of it may be believed was decided before. */
    private void recall(Known known) {
        Moment then = now.minus(known.age());
        for (Known.OfWorker of : known.workers()) {
            Worker worker = workers.get(of.worker());
            if (worker != null && worker.onRing) {
                worker.asideUntil = now.plus(of.aside());
                keep(met, worker, true);
            }
        }
        for (Known.OfFunction of : known.functions()) {
            Function function = functions.computeIfAbsent(of.function(), id -> new Function(id, DEMAND, PACE));
            function.lanes = of.lanes();
            function.memoryMb = of.memoryMb();
            function.usualLoad = of.usualLoad();
            function.taken += Math.round(of.calls());
            function.calls.add(then, of.calls());
            function.warmAnswers.add(then, of.warmAnswers());
            function.warmSeconds.add(then, of.warmSeconds());
            for (Known.Copy copy : of.copies()) {
                Worker worker = workers.get(copy.worker());
                if (worker != null && worker.onRing) {
                    Place place = place(function, worker);
                    place.instances = copy.instances();
                    place.touched = now.minus(copy.untouched());
                    if (copy.listed()) {
                        list(place);
                    }
                }
            }
        }
        known.orders().forEach(age -> loadOrders.orders.add(now.minus(age)));
        storeGuard.loadSeconds.add(then, known.loadSeconds());
        storeGuard.loadCount.add(then, known.loadCount());
    }

    // ---- a call comes, is placed, and ends

    private void take(Event.CallCame came) {
        Facts.Terms category = terms.get(came.category());
        if (category == null) {
            throw new IllegalArgumentException("a call of an unknown category: " + came.category());
        }
        Function function = functions.computeIfAbsent(came.function(), id -> new Function(id, DEMAND, PACE));
        function.lanes = Math.max(1, came.lanes());
        function.memoryMb = came.memoryMb();
        function.usualLoad = came.usualLoad();
        function.calls.add(now, 1);
        function.taken++;
        taken.add(now, 1);
        loadOrders.taken();
        Call call = new Call(came.call(), function, category, now, now.plus(came.timeLeft()), came.hint());
        calls.put(call.id, call);
        place(call, null);
    }

    /** Sends the call to the first worker with room, or gives the final answer at once. */
    private void place(Call call, Worker avoided) {
        Place place = choose(call, avoided);
        if (place != null) {
            list(place);
            send(call, place);
        } else {
            answer(call);
        }
    }

    /** The list, then the scan. Where copies come by order, a call rather waits than begins a load. */
    private Place choose(Call call, Worker avoided) {
        boolean orders = facts.copies().orders();
        Place place = listed(call, avoided, Room.SNUG);
        place = place != null ? place : listed(call, avoided, Room.PACED);
        place = place != null || orders ? place : scanned(call, avoided, Room.SNUG);
        place = place != null ? place : listed(call, avoided, Room.WIDE);
        place = place != null || !orders ? place : scanned(call, avoided, Room.SNUG);
        return place != null ? place : scanned(call, avoided, Room.WIDE);
    }

    private Place listed(Call call, Worker avoided, Room room) {
        for (Place place : call.function.list) {
            if (place.worker != avoided && hasRoom(call, place, room)) {
                return place;
            }
        }
        return null;
    }

    private Place scanned(Call call, Worker avoided, Room room) {
        Function function = call.function;
        for (int i = 0; i < inService.size(); i++) {
            Worker worker = scan(function, i);
            Place known = function.places.get(worker);
            Place place = known != null ? known : new Place(function, worker);
            if (worker != avoided && hasRoom(call, place, room)) {
                return place(function, worker);
            }
        }
        return null;
    }

    /** The worker that all routers would pick first, if each had room everywhere. */
    private Worker home(Function function) {
        for (int i = 0; i < inService.size(); i++) {
            Worker worker = scan(function, i);
            if (usable(worker) && coldAllowance.bears(worker)) {
                return worker;
            }
        }
        return null;
    }

    private void list(Place place) {
        List<Place> list = place.function.list;
        if (!list.contains(place)) {
            if (list.size() >= LIST) {
                list.remove(list.size() - 1);
            }
            list.add(place);
            List<Worker> order = place.function.scan;
            list.sort((a, b) -> Integer.compare(order.indexOf(a.worker), order.indexOf(b.worker)));
        }
    }

    /** The design's room for the function, and the worker's own holding against the fleet's mean. */
    private boolean hasRoom(Call call, Place place, Room room) {
        Worker worker = place.worker;
        if (!usable(worker) || later(place.refusedUntil) || later(worker.refusedUntil)
                || place.inFlight >= place.function.lanes * (instances(place) + 1)) {
            return false;
        }
        double mean = (double) legsOut / Math.max(1, inService.size());
        boolean heard = worker.heard != null && !now.since(worker.heard).longerThan(PACE);
        double held = heard ? worker.out.size() : Math.max(worker.out.size(), mean);
        if (!listsACopy(place.function)) {
            room = Room.WIDE;
        }
        double borne = bearing(worker) * (strain(worker) > MOST_STRAIN ? 1 : room.overdraft);
        if (held > room.margin * (mean + SPARE) || !bears(call, place, borne, room)) {
            return false;
        }
        return furtherLegs.mayGoTo(call, worker) && coldAllowance.bears(worker) && storeGuard.mayBegin(place);
    }

    private boolean listsACopy(Function function) {
        return function.list.stream().anyMatch(place -> instances(place) > 0);
    }

    private boolean usable(Worker worker) {
        return worker.standing == Standing.IN_SERVICE && !later(worker.asideUntil);
    }

    private boolean later(Moment moment) {
        return moment != null && now.before(moment);
    }

    /** Instances believed to stand; the belief ends when nothing renewed it while idle copies are kept. */
    private int instances(Place place) {
        if (place.touched == null || now.since(place.touched).longerThan(facts.copies().kept())) {
            place.instances = place.inFlight > 0 ? Math.min(1, place.instances) : 0;
        }
        return place.instances;
    }

    /*
     * The part of A_k that the ledger can't count: how many of our calls a worker bears at once. It widens
     * while calls that found their copy are quick and shrinks when they near their expected time or the
     * worker is full, whoever crowds it: calls that only wait pin memory.
     */
    private double bearing(Worker worker) {
        return worker.bearing > 0 ? worker.bearing : BEARING * ours();
    }

    /** Our part of what may be sent where routers are many and none sees the others' calls. */
    private double ours() {
        return Math.min(1, FEW / facts.peers());
    }

    private double strain(Worker worker) {
        double count = worker.strainCount.read(now);
        return count <= 0 ? 0 : worker.strainSum.read(now) / count;
    }

    private void strained(Worker worker, double factor) {
        if (!later(worker.easedUntil)) {
            double held = Math.min(bearing(worker), worker.warmOut() + 1);
            worker.bearing = Math.max(ours() * ours(), held * factor);
            worker.easedUntil = now.plus(FULL_FOR);
        }
    }

    /**
     * Under one call the bearing is a pace: first the worker's, then the function's there, so that heavy
     * users go on and light ones stay. Past it a warm worker still takes the call while its warm answers are
     * quicker than what a load elsewhere is likely to take.
     */
    private boolean bears(Call call, Place place, double borne, Room room) {
        Moment last = room == Room.SNUG ? place.worker.sentAt : place.sentAt;
        if (borne >= 1 || last == null) {
            return place.worker.warmOut() + 1 <= Math.max(1, borne);
        }
        if (place.inFlight == 0 && now.since(last).times(borne).longerThan(expected(place.function))) {
            return true;
        }
        double wait = strain(place.worker) * STRAIN * call.terms.expected().inSeconds();
        return room != Room.SNUG && instances(place) > 0
                && wait < storeGuard.begins() * storeGuard.usual(place.function).inSeconds();
    }

    private void send(Call call, Place place) {
        Worker worker = place.worker;
        Leg leg = new Leg(call, call.legs.size(), place, now, instances(place) > 0);
        call.legs.add(leg);
        call.legsOut++;
        legsOut++;
        storeGuard.begun(place);
        place.inFlight++;
        place.touched = now;
        worker.out.add(leg);
        worker.coldOut += leg.copyBelieved ? 0 : 1;
        place.sentAt = now;
        if (worker.sentAt == null) {
            keep(met, worker, worker.onRing);
        }
        worker.sentAt = now;
        coldAllowance.sent(worker);
        Span left = call.givenUpAt.since(now).minus(facts.quantum().times(2));
        todo.add(new Action.Send(call.id, worker.id, left.atLeast(new Span(1))));
    }

    private void end(Call call, Leg leg, Event.LegEnded ended) {
        if (leg.outcome != null) {
            return;
        }
        leg.outcome = ended.outcome();
        Place place = leg.place;
        Worker worker = place.worker;
        call.legsOut--;
        legsOut--;
        place.inFlight--;
        worker.out.remove(leg);
        worker.coldOut -= leg.copyBelieved ? 0 : 1;
        learn(leg, ended);
        if (ended.over() || call.over) {
            close(call);
        } else if (call.legsOut == 0) {
            boolean free = ended.outcome() == Outcome.FULL && idle(ended.report());
            if (furtherLegs.may(call, free)) {
                furtherLegs.spent.add(now, free ? 0 : 1);
                place(call, ended.outcome() == Outcome.ABSENT ? null : worker);
            } else {
                answer(call);
            }
        }
    }

    /** What an ended leg tells of the copy, of the worker and of the store. */
    private void learn(Leg leg, Event.LegEnded ended) {
        Place place = leg.place;
        Worker worker = place.worker;
        Function function = place.function;
        if (ended.report() != null && !Double.isNaN(ended.report().loads())) {
            worker.loading = ended.report().loads();
        }
        if (!leg.copyBelieved) {
            storeGuard.ended(place);
        }
        double seconds = ended.took().inSeconds();
        switch (ended.outcome()) {
            case SUCCESS -> {
                worker.heard = now;
                worker.settled.add(now, 1);
                place.touched = now;
                place.instances = Math.max(1, place.instances);
                if (!leg.copyBelieved) {
                    storeGuard.met(ended.copy() == Copy.LOAD_BEGUN || ended.copy() == Copy.LOAD_JOINED);
                }
                if (ended.copy() == Copy.LOAD_BEGUN) {
                    place.instances += leg.copyBelieved ? 1 : 0;
                    storeGuard.loaded(function, Math.max(0, seconds - expected(function).inSeconds()));
                } else if (ended.copy() != Copy.LOAD_JOINED) {
                    double weight = leg.call.terms.credit();
                    if (facts.allowances().creditByWork() && leg.call.hint != null) {
                        weight *= leg.call.hint.inSeconds();
                    }
                    worker.strainSum.add(now, weight * seconds / leg.call.terms.expected().inSeconds());
                    worker.strainCount.add(now, weight * STRAIN);
                    if (strain(worker) > 1) {
                        strained(worker, Math.max(0.6, Math.min(0.85, 1 / strain(worker))));
                    } else if (worker.warmOut() + 2 > bearing(worker)) {
                        double bearing = bearing(worker);
                        worker.bearing = bearing + (bearing < 1 ? 0.15 * bearing : ours() / bearing);
                    }
                    worker.answers.add(now, 1);
                    worker.slowness.add(now, seconds / expected(leg.call).inSeconds());
                    if (leg.call.hint != null) {
                        hintSeconds.add(now, leg.call.hint.inSeconds());
                    }
                    warmAnswers.add(now, 1);
                    warmSeconds.add(now, seconds);
                    function.warmAnswers.add(now, 1);
                    function.warmSeconds.add(now, seconds);
                }
            }
            case FULL -> {
                worker.heard = now;
                if (idle(ended.report())) {
                    failed(worker, 0.5);
                } else {
                    place.refusedUntil = now.plus(FULL_FOR);
                    worker.refusedUntil = now.plus(FULL_FOR);
                    strained(worker, 0.7);
                    storeGuard.refused(worker);
                }
            }
            case ABSENT -> {
                place.instances = 0;
                if (ended.copy() == Copy.LOAD_FAILED) {
                    storeGuard.failed();
                }
            }
            case ERROR, BROKEN, UNREACHABLE -> {
                if (ended.copy() == Copy.LOAD_FAILED) {
                    storeGuard.failed();
                } else {
                    failed(worker, 1);
                }
            }
            case TIMED_OUT, WITHDRAWN -> {
                worker.answers.add(now, 1);
                worker.slowness.add(now, overdue(leg));
            }
            case VOID -> { }
        }
    }

    private void failed(Worker worker, double weight) {
        worker.answers.add(now, 1);
        worker.failures.add(now, weight);
    }

    /** Guards against workers that turn calls away with room to spare: a fault, half as bad as one that ran. */
    private static boolean idle(Event.Report report) {
        return report != null && report.waiting() < BEARING && report.loads() < BEARING;
    }

    /** The final answer where nothing was settled: a dismissal where trying again is harmless. */
    private void answer(Call call) {
        if (call.over || call.streaming) {
            return;
        }
        if (furtherLegs.mayDismiss(call)) {
            Span pause = expected(call.function).times(2).atMost(facts.allowances().longestRetryAfter());
            todo.add(new Action.Dismiss(call.id, facts.allowances().retryAfter() ? pause : Span.NONE));
        } else {
            todo.add(new Action.Terminate(call.id));
        }
        close(call);
    }

    private void close(Call call) {
        call.over = true;
        if (call.legsOut == 0) {
            calls.remove(call.id);
        }
    }

    // ---- what a function's calls usually take

    private Span expected(Function function) {
        double mean = (warmSeconds.read(now) + MEAN_SECONDS) / (warmAnswers.read(now) + 1);
        double answers = function.warmAnswers.read(now) + 2;
        return Span.seconds((function.warmSeconds.read(now) + 2 * mean) / answers);
    }

    private Span expected(Call call) {
        Span usual = expected(call.function);
        if (call.hint == null || hintSeconds.read(now) <= 0) {
            return usual;
        }
        return usual.plus(call.hint.times(warmSeconds.read(now) / hintSeconds.read(now))).times(0.5);
    }

    /** A leg's age against what it should take, a load included where the worker has answered since. */
    private double overdue(Leg leg) {
        Worker worker = leg.place.worker;
        boolean silent = leg.copyBelieved && (worker.heard == null || worker.heard.before(leg.sent));
        Span load = storeGuard.usual(leg.call.function).times(silent ? 0 : leg.copyBelieved ? 1 : 2);
        return now.since(leg.sent).over(expected(leg.call).plus(load));
    }

    // ---- the order of workers

    private Place place(Function function, Worker worker) {
        Place place = function.places.get(worker);
        if (place == null) {
            place = new Place(function, worker);
            function.places.put(worker, place);
            worker.places.add(place);
        }
        return place;
    }

    /** Worker ids, several marks each, in hash order from the hash of the function on: the i-th worker. */
    private Worker scan(Function function, int i) {
        if (function.scanEdition != edition) {
            function.scanEdition = edition;
            function.scan.clear();
            function.scanned.clear();
            function.scanAt = mark(function.id);
        }
        while (function.scan.size() <= i) {
            Map.Entry<Long, Worker> next = ring.ceilingEntry(function.scanAt);
            next = next == null ? ring.firstEntry() : next;
            function.scanAt = next.getKey() + 1;
            Worker worker = next.getValue();
            if (function.scanned.add(worker)) {
                function.scan.add(worker);
            }
        }
        return function.scan.get(i);
    }

    private static long[] marks(String id) {
        return IntStream.range(0, MARKS).mapToLong(i -> mark(id + "#" + i)).toArray();
    }

    private static long mark(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        long mixed = crc.getValue() * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
        return mixed ^ (mixed >>> 32);
    }

    private double chance() {
        CRC32 crc = new CRC32();
        crc.update((seed + ":" + drawn++).getBytes(StandardCharsets.UTF_8));
        return crc.getValue() / 4294967296.0;
    }

    private void follow(Event.Listed listed) {
        if (listed.kind() == Event.ListKind.FAILED) {
            todo.add(new Action.Wake(now.plus(Span.millis(200).times(1 + chance())), "list"));
            return;
        }
        LinkedHashSet<String> named = new LinkedHashSet<>();
        for (Event.Listing listing : listed.listings()) {
            named.add(listing.worker());
            Worker worker = workers.computeIfAbsent(listing.worker(),
                    id -> new Worker(id, marks(id), HEALTH, PACE, STRAINS));
            boolean restarted = listing.since() != null && !listing.since().equals(worker.since);
            worker.zone = listing.zone();
            worker.cell = listing.cell();
            worker.standing = listing.standing();
            worker.since = listing.since();
            if (worker.standing != Standing.IN_SERVICE || restarted) {
                forget(worker);
            }
            stands(worker);
            keep(newcomers, worker, worker.onRing && coldAllowance.cold(worker));
        }
        if (listed.kind() != Event.ListKind.CHANGES) {
            for (Worker worker : workers.values()) {
                if (!named.contains(worker.id)) {
                    worker.standing = Standing.GONE;
                    forget(worker);
                    stands(worker);
                    keep(newcomers, worker, false);
                }
            }
        }
        edition++;
    }

    /** Only what changed: with 5,000 workers a ring laid anew takes a tenth of a second, at every change. */
    private void stands(Worker worker) {
        boolean serves = worker.standing == Standing.IN_SERVICE;
        if (serves == worker.onRing) {
            return;
        }
        worker.onRing = serves;
        keep(inService, worker, serves);
        keep(met, worker, serves && worker.sentAt != null);
        for (long mark : worker.marks) {
            if (serves) {
                ring.putIfAbsent(mark, worker);
            } else {
                ring.remove(mark, worker);
            }
        }
    }

    private static void keep(List<Worker> sorted, Worker worker, boolean in) {
        int at = Collections.binarySearch(sorted, worker, Comparator.comparing(one -> one.id));
        if (in && at < 0) {
            sorted.add(-at - 1, worker);
        } else if (!in && at >= 0) {
            sorted.remove(at);
        }
    }

    /** A worker that left or began anew holds nothing that we knew of. */
    private void forget(Worker worker) {
        for (Place place : worker.places) {
            place.instances = 0;
            place.function.list.remove(place);
        }
        worker.begunAnew();
    }

    private void beat() {
        todo.add(new Action.Wake(now.plus(BEAT), "beat"));
        setAside.look();
        coldAllowance.look();
        storeGuard.look();
        loadOrders.keep(functions.values());
        functions.values().stream().filter(function -> function.wantedShare > 0).forEach(loadOrders::ahead);
        for (Function function : functions.values()) {
            function.list.removeIf(place -> place.inFlight == 0 && instances(place) == 0);
        }
        functions.values().removeIf(this::forgotten);
    }

    /** A function without calls of late, copies or legs is dropped, or one-off functions would pile up. */
    private boolean forgotten(Function function) {
        boolean used = function.calls.read(now) > FORGOTTEN || function.wantedShare > 0
                || !function.list.isEmpty()
                || function.places.values().stream().anyMatch(place -> place.inFlight + instances(place) > 0);
        if (!used) {
            function.places.values().forEach(place -> place.worker.places.remove(place));
        }
        return !used;
    }

    // ---- 1: a worker that fails or is slow against the fleet leaves the lists for a while

    /*
     * Guards against workers that crawl, fail fast, hang or vanish before the list says so. Judged only
     * against the fleet's median, so that a slow store or a flood sets nobody aside. Could harm when one
     * worker serves the only heavy functions; times are therefore taken relative to each function's own.
     */
    private final class SetAside {
        private final Span fixed;
        private final Span random;
        private final double most;
        private final double least;
        private final double factor;

        SetAside(Span fixed, Span random, double most, double least, double factor) {
            this.fixed = fixed;
            this.random = random;
            this.most = most;
            this.least = least;
            this.factor = factor;
        }

        void look() {
            List<Worker> judged = new ArrayList<>();
            List<double[]> seen = new ArrayList<>();
            int aside = 0;
            for (Worker worker : met) {
                double count = worker.answers.read(now);
                if (count < 1 && worker.out.isEmpty() && !later(worker.asideUntil)) {
                    continue;
                }
                judged.add(worker);
                double slow = worker.slowness.read(now);
                double late = 0;
                double lateness = 0;
                boolean silent = true;
                for (Leg leg : worker.out) {
                    double overdue = overdue(leg);
                    if (overdue > factor) {
                        late++;
                        lateness += overdue;
                        silent &= worker.heard == null || worker.heard.before(leg.sent);
                    }
                }
                if (silent && late >= SILENT) {
                    count = least;
                    slow = lateness / late * count;
                } else {
                    count += late;
                    slow += lateness;
                }
                double of = Math.max(1, count);
                seen.add(new double[] {count, slow / of, worker.failures.read(now) / of});
                aside += later(worker.asideUntil) ? 1 : 0;
            }
            double median = Math.max(1, median(seen, 1));
            double failingMedian = median(seen, 2);
            for (int i = 0; i < seen.size(); i++) {
                Worker worker = judged.get(i);
                double count = seen.get(i)[0];
                double failing = worker.failures.read(now);
                boolean fails = failing >= 2 && seen.get(i)[2] > Math.max(0.3, factor * failingMedian);
                boolean slow = count >= least && seen.get(i)[1] > factor * median;
                if (later(worker.asideUntil)) {
                    move(worker);
                } else if ((fails || slow) && aside + 1 <= most * inService.size()) {
                    aside++;
                    worker.asideUntil = now.plus(fixed).plus(random.times(chance()));
                    for (Place place : worker.places) {
                        place.function.list.remove(place);
                    }
                    todo.add(new Action.Log(String.format(
                            "set aside %s: slowness %.1f of %.1f, failures %.1f of %.1f, %d out", worker.id,
                            seen.get(i)[1], median, failing, count, worker.out.size())));
                    worker.clearHealth();
                    move(worker);
                }
            }
        }

        private static double median(List<double[]> seen, int column) {
            double[] levels = seen.stream().filter(s -> s[0] >= 1).mapToDouble(s -> s[column]).sorted()
                    .toArray();
            return levels.length == 0 ? 0 : levels[levels.length / 2];
        }

        /** Calls stuck on a worker set aside are called back where they may be sent again. */
        private void move(Worker worker) {
            for (Leg leg : worker.out) {
                if (!leg.withdrawn && overdue(leg) > 1.5 && furtherLegs.mayMove(leg.call)) {
                    leg.withdrawn = true;
                    todo.add(new Action.Cancel(leg.call.id, leg.number));
                }
            }
        }
    }

    // ---- 2: a worker that has just started gets no more than our part of what it can bear

    /*
     * Our own rate of settled calls on a warm worker is our part of what a warm worker bears at the least; a
     * cold one gets the multiple of its present share of that which the rule allows, with a margin. Harm:
     * while we have settled little, a cold worker warms slowly.
     */
    private final class ColdAllowance {
        private final Facts.ColdStart rule;
        private final double margin;
        private double warmRate;

        ColdAllowance(Facts.ColdStart rule, double margin) {
            this.rule = rule;
            this.margin = margin;
        }

        /** Our mean rate at warm workers, summed up once a beat. */
        void look() {
            newcomers.removeIf(worker -> !cold(worker));
            double settled = met.stream().filter(worker -> !cold(worker))
                    .mapToDouble(worker -> worker.settled.perSecond(now)).sum();
            warmRate = settled / Math.max(1, inService.size() - newcomers.size());
        }

        boolean cold(Worker worker) {
            return worker.since != null && rule.warmAfter().longerThan(now.since(worker.since));
        }

        boolean bears(Worker worker) {
            if (!cold(worker)) {
                return true;
            }
            double age = now.since(worker.since).over(rule.warmAfter());
            double present = rule.startShare() + (1 - rule.startShare()) * Math.max(0, age);
            double rate = margin * rule.fallMultiple() * present * warmRate;
            if (worker.coldCreditAt == null) {
                worker.coldCredit = 0.5;
            } else {
                double most = Math.max(1, rate * rule.fallAfter().inSeconds() * 0.5);
                double gained = rate * now.since(worker.coldCreditAt).inSeconds();
                worker.coldCredit = Math.min(most, worker.coldCredit + gained);
            }
            worker.coldCreditAt = now;
            return worker.coldCredit >= 1;
        }

        void sent(Worker worker) {
            worker.coldCredit -= cold(worker) ? 1 : 0;
        }
    }

    // ---- 3: what may be sent again, when, and how much of that in all

    private final class FurtherLegs {
        private final int most;
        private final boolean cancel;
        private final double share;
        private final double few;
        private final Decaying spent = new Decaying(PACE);

        FurtherLegs(int most, boolean cancel, double share, double few) {
            this.most = most;
            this.cancel = cancel;
            this.share = share;
            this.few = few;
        }

        private Leg firstThatMayHaveRun(Call call) {
            return call.legs.stream().filter(Leg::mayHaveRun).findFirst().orElse(null);
        }

        boolean mayDismiss(Call call) {
            return call.terms.effect() == Facts.Effect.RETRIABLE || firstThatMayHaveRun(call) == null
                    || call.terms.effect() == Facts.Effect.FINGERPRINTED
                    && call.terms.group() == Facts.Group.ALL;
        }

        /** A fingerprinted call that may have run stays where and while its repeats are dropped. */
        boolean mayGoTo(Call call, Worker worker) {
            Leg ran = firstThatMayHaveRun(call);
            if (ran == null || call.terms.effect() == Facts.Effect.RETRIABLE) {
                return true;
            }
            Worker first = ran.place.worker;
            return call.terms.effect() == Facts.Effect.FINGERPRINTED
                    && now.since(ran.sent).plus(facts.sending()).compareTo(call.terms.remembered()) < 0
                    && switch (call.terms.group()) {
                        case ALL -> true;
                        case ZONE -> worker.zone.equals(first.zone);
                        case CELL -> worker.cell == first.cell;
                    };
        }

        boolean may(Call call, boolean free) {
            boolean binding = call.terms.effect() == Facts.Effect.BINDING;
            return (!binding || firstThatMayHaveRun(call) == null) && !call.streaming
                    && call.legs.size() < most && (free || spent.read(now) < few + share * taken.read(now))
                    && call.givenUpAt.since(now).longerThan(expected(call.function));
        }

        boolean mayMove(Call call) {
            return cancel && !call.over && call.terms.effect() != Facts.Effect.BINDING && may(call, false);
        }

    }

    // ---- 4: copies in use are held, and one is added where calls crowd

    private final class LoadOrders {
        private final Facts.Ration ration;
        private final Span kept;
        private final boolean allowed;
        private final double renewAt;
        private final ArrayDeque<Moment> orders = new ArrayDeque<>();
        private final ArrayDeque<Moment> takenLately = new ArrayDeque<>();

        LoadOrders(Facts.Ration ration, Span kept, boolean allowed, double renewAt) {
            this.ration = ration;
            this.kept = kept;
            this.allowed = allowed;
            this.renewAt = renewAt;
        }

        void taken() {
            if (ration.window().nanos() > 0) {
                takenLately.add(now);
            }
        }

        /** Whether a part of the ration is not used up with one more order. */
        private boolean withinRation(double part) {
            if (ration.window().nanos() <= 0) {
                return true;
            }
            while (!orders.isEmpty() && now.since(orders.peek()).longerThan(ration.window())) {
                orders.poll();
            }
            while (!takenLately.isEmpty() && now.since(takenLately.peek()).compareTo(ration.window()) >= 0) {
                takenLately.poll();
            }
            return orders.size() + 1 <= part * (ration.free() + ration.share() * takenLately.size());
        }

        private boolean order(Place place, int copies) {
            if (!allowed || !usable(place.worker) || !withinRation(1)) {
                return false;
            }
            orders.add(now);
            place.orderedAt = now;
            place.touched = now;
            todo.add(new Action.Hold(place.worker.id, place.function.id, Math.min(16, copies)));
            return true;
        }

        void keep(Iterable<Function> all) {
            if (!allowed) {
                return;
            }
            for (Function function : all) {
                if (function.taken < 2 || function.list.isEmpty() || function.calls.read(now) < 0.5) {
                    continue;
                }
                Place head = function.list.get(0);
                if (instances(head) > 0 && now.since(head.touched).longerThan(kept.times(renewAt))) {
                    order(head, 1);
                }
                for (Place place : function.list) {
                    boolean waiting = place.orderedAt != null
                            && !now.since(place.orderedAt).longerThan(storeGuard.usual(function).times(2));
                    int known = instances(place);
                    boolean crowded = known > 0 && known < 4 && place.inFlight > function.lanes * known;
                    if (crowded && !waiting && place.worker.loading < 1 && storeGuard.fits(place)) {
                        order(place, known + 1);
                    }
                }
            }
        }

        /*
         * Copies wanted ahead of calls: one order at a time for each function, through the same ration and
         * store guard as any other, and only while half of the ration is left for calls that are here. Those
         * that stand are kept.
         */
        void ahead(Function function) {
            int stands = copies(function);
            Function like = function.wantedLike;
            double need = like == function ? stands
                    : Math.max(1, like == null ? 1 : Math.ceil(function.wantedShare * copies(like)));
            boolean enough = !allowed || stands >= need;
            todo.add(new Action.Standing(function.id, function.wantedShare * (enough ? 1 : stands / need)));
            if (!allowed || !withinRation(0.5)) {
                return;
            }
            boolean coming = false;
            for (Place place : function.places.values()) {
                coming |= place.loading || place.orderedAt != null && instances(place) == 0
                        && !now.since(place.orderedAt).longerThan(storeGuard.usual(function).times(2));
                if (instances(place) > 0 && now.since(place.touched).longerThan(kept.times(renewAt))) {
                    order(place, 1);
                }
            }
            for (int i = 0; !enough && !coming && i < inService.size(); i++) {
                Place place = place(function, scan(function, i));
                if (instances(place) == 0 && coldAllowance.bears(place.worker)
                        && storeGuard.mayBegin(place)) {
                    coming = order(place, 1);
                }
            }
        }

        private int copies(Function function) {
            return function.places.values().stream().mapToInt(Policy.this::instances).sum();
        }

        void answered(Place place, Event.LoadAnswered answer) {
            if (answer.outcome() == Outcome.SUCCESS || answer.copies() > 0) {
                place.instances = answer.copies();
                place.touched = now;
                if (answer.copies() > 0 && usable(place.worker)) {
                    list(place);
                }
            } else if (answer.outcome() == Outcome.ERROR) {
                place.instances = 0;
                storeGuard.failed();
            }
        }
    }

    // ---- 5: loads are begun only as fast as they come up; beyond that, calls join a load under way

    /*
     * Guards against load storms, whatever sets them off: a slow, crowded, refusing or stopped store, workers
     * whose waiting rooms fill with calls that wait for loads, refusals that would push every call to a
     * worker where it starts one more load. A window of loads that this router may have under way starts as
     * our part of the fleet, widens with each load in time, halves when loads fail or come late and loses a
     * quarter at refusals while workers report loads; a hot worker's own extra copies are no storm. Under one
     * load it is a pace. Could harm by turning calls away while a flush is being made good.
     */
    private final class StoreGuard {
        private final double late;
        private final double part;
        private final Decaying loadSeconds = new Decaying(DEMAND);
        private final Decaying loadCount = new Decaying(DEMAND);
        private final Decaying loads = new Decaying(PACE);
        private final Decaying failures = new Decaying(PACE);
        private final Decaying unbelieved = new Decaying(DEMAND);
        private final Decaying begun = new Decaying(DEMAND);
        private double window = Double.NaN;
        private int under;
        private double meanLoads;
        private Moment cut;
        private Moment begunAt;

        StoreGuard(double late, double part) {
            this.part = part;
            this.late = late;
        }

        void look() {
            meanLoads = met.stream().filter(worker -> worker.heard != null)
                    .mapToDouble(worker -> worker.loading).average().orElse(0);
        }

        Span usual(Function function) {
            if (function.usualLoad != null) {
                return function.usualLoad;
            }
            return Span.seconds((loadSeconds.read(now) + 1) / (loadCount.read(now) + 1));
        }

        /** The share of legs sent where no copy was believed that met a load all the same. */
        double begins() {
            return (begun.read(now) + 1) / (unbelieved.read(now) + 1);
        }

        /** Whether a call may go to a place where it would begin a load. */
        boolean mayBegin(Place place) {
            if (instances(place) > 0 || place.loading) {
                return true;
            }
            if (Double.isNaN(window)) {
                window = Math.max(2 * ours(), (double) inService.size() / facts.peers());
            }
            if (place.worker == home(place.function)) {
                return true;
            }
            for (Place other : place.function.list) {
                if (other.loading && usable(other.worker) && begins() > 0.5) {
                    return false;
                }
            }
            boolean open = window >= 1 || begunAt == null
                    || now.since(begunAt).times(window).longerThan(usual(place.function).times(begins()));
            double real = under * Math.max(ours(), begins());
            return open && real < Math.max(1, window) && place.worker.loading <= meanLoads + 2 && fits(place);
        }

        /** The memory believed in use there; what other routers load is unknown, so only a part may be. */
        private boolean fits(Place place) {
            double machine = facts.copies().memoryOfKinds().stream().mapToDouble(mb -> mb).min().orElse(0);
            double used = place.function.memoryMb;
            for (Place held : place.worker.places) {
                used += instances(held) * held.function.memoryMb;
            }
            return machine <= 0 || used <= part * machine;
        }

        void begun(Place place) {
            if (!place.loading && instances(place) == 0) {
                place.loading = true;
                begunAt = now;
                under++;
            }
        }

        /** A leg or an order at the place has ended, so the load there has come up or will not. */
        void ended(Place place) {
            if (place.loading) {
                place.loading = false;
                under--;
            }
        }

        /** Where no copy was believed there may stand one that other routers' calls brought. */
        void met(boolean load) {
            unbelieved.add(now, 1);
            begun.add(now, load ? 1 : 0);
        }

        void loaded(Function function, double seconds) {
            double level = seconds / usual(function).inSeconds();
            loadSeconds.add(now, seconds);
            loadCount.add(now, 1);
            loads.add(now, 1);
            if (level > late) {
                narrow("late", level, 0.5);
            } else {
                window = Math.min(Math.max(1, inService.size() * ours()),
                        window + 0.5 * (window < 1 ? window : ours()));
            }
        }

        void failed() {
            failures.add(now, 1);
            if (failures.read(now) > Math.max(1.5, 0.2 * loads.read(now))) {
                narrow("failed", 1, 0.5);
            }
        }

        /** A refusal where loads fill the room: further loads would only fill more rooms. */
        void refused(Worker by) {
            if (by.loading >= LOADING) {
                narrow("refused", by.loading, 0.75);
            }
        }

        private void narrow(String why, double level, double part) {
            if (meanLoads >= BUSY && (cut == null || now.since(cut).longerThan(Span.seconds(1)))) {
                cut = now;
                window *= part;
                todo.add(new Action.Log(String.format(
                        "a load %s at %.1f (%.1f a worker): %.1f may be under way, %d are",
                        why, level, meanLoads, window, under)));
            }
        }
    }
}
