package pearladder.routing;

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
import pearladder.routing.api.Action;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.Event;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.Event.EndpointState;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;
import pearladder.routing.state.Request;
import pearladder.routing.state.DecayingSum;
import pearladder.routing.state.Function;
import pearladder.routing.state.PolicySnapshot;
import pearladder.routing.state.Attempt;
import pearladder.routing.state.Placement;
import pearladder.routing.state.Worker;

/*
 * All decisions of one router. It is called through pearladder.routing.api.Dispatcher: on(now, event) takes what
 * happened and returns what is to be done, in order. Events, actions and the facts told at the start are in
 * pearladder.routing.api; the plain records kept here are in pearladder.routing.state. It reads no clock, shares nothing.
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
public final class StickyFirstFitPolicy implements RoutingPolicy {
    private static final TimeSpan TICK = TimeSpan.millis(100);
    private static final TimeSpan HEALTH = TimeSpan.seconds(3);      // fade of what is known of a worker's health
    private static final TimeSpan PACE = TimeSpan.seconds(5);        // fade of rates and usual times
    private static final TimeSpan STRAINS = TimeSpan.seconds(1);     // fade of a worker's strain
    private static final TimeSpan DEMAND = TimeSpan.seconds(30);     // fade of a function's demand
    private static final int MAX_CACHED_WORKERS = 4;                       // workers listed for a function
    private static final int VIRTUAL_NODES = 64;                     // marks of each worker on the ring
    private static final double SPARE = 1;                   // room for calls beside the mean holding
    private static final TimeSpan FULL_FOR = TimeSpan.millis(300);   // a worker that refused as full is passed over
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
    private enum CapacityCheck {
        STRICT(1.5, 1), PACED(1.5, 1), RELAXED(3, 2.5);

        final double margin;
        final double overdraft;

        CapacityCheck(double margin, double overdraft) {
            this.margin = margin;
            this.overdraft = overdraft;
        }
    }

    private final long seed;
    private long drawn;
    private final RoutingSettings settings;
    private final Map<String, RoutingSettings.RequestClass> requestClasses = new HashMap<>();
    private final Map<String, Request> requests = new HashMap<>();
    private final Map<String, Worker> workers = new TreeMap<>();
    private final Map<String, Function> functions = new LinkedHashMap<>();
    private final DecayingSum warmAnswers = new DecayingSum(PACE);
    private final DecayingSum warmSeconds = new DecayingSum(PACE);
    private final DecayingSum hintSeconds = new DecayingSum(PACE);
    private final DecayingSum taken = new DecayingSum(PACE);
    private final List<Worker> inService = new ArrayList<>();        // by id
    private final List<Worker> contactedWorkers = new ArrayList<>();              // those of them ever sent to, by id
    private final List<Worker> warmingWorkers = new ArrayList<>();        // those of them that may still be cold
    private final TreeMap<Long, Worker> ring = new TreeMap<>();
    private long ringVersion;
    private int attemptsInFlight;
    private boolean started;

    private final OutlierDetector outlierDetector = new OutlierDetector(TimeSpan.seconds(3), TimeSpan.seconds(2), 0.4, 8, 4);
    private final SlowStart slowStart;
    private final RetryPolicy retryPolicy;
    private final InstancePreloader instancePreloader;
    private final ModelLoadLimiter modelLoadLimiter = new ModelLoadLimiter(1.5, 0.4);

    private MonotonicTime now;
    private List<Action> actions;

    public StickyFirstFitPolicy(long seed, RoutingSettings facts) {
        this.seed = seed;
        this.settings = facts;
        for (RoutingSettings.RequestClass category : facts.requestClasses()) {
            requestClasses.put(category.name(), category);
        }
        slowStart = new SlowStart(facts.slowStart(), 0.6);
        retryPolicy = new RetryPolicy(facts.attemptLimits().maxAttempts(), facts.attemptLimits().cancel(), 0.2, 3);
        instancePreloader = new InstancePreloader(facts.loadQuota(), facts.instances().idleTimeout(), facts.instances().acceptsLoadRequests(), 0.55);
    }

    @Override
    public List<Action> handle(MonotonicTime at, Event event) {
        now = at;
        actions = new ArrayList<>();
        if (!started) {
            started = true;
            actions.add(new Action.SetTimer(now.plus(TICK), "beat"));
            if (settings.discovery().polled()) {
                actions.add(new Action.WatchEndpoints(true));
            }
        }
        if (event instanceof Event.RequestArrived came) {
            admit(came);
        } else if (event instanceof Event.AttemptEnded ended) {
            Request call = requests.get(ended.requestId());
            if (call != null && ended.attempt() >= 0 && ended.attempt() < call.attempts.size()) {
                end(call, call.attempts.get(ended.attempt()), ended);
            }
        } else if (event instanceof Event.TimerFired due && due.tag().equals("beat")) {
            tick();
        } else if (event instanceof Event.TimerFired due && due.tag().equals("list")) {
            actions.add(new Action.WatchEndpoints(true));
        } else if (event instanceof Event.EndpointsUpdated listed) {
            updateEndpoints(listed);
        } else if (event instanceof Event.ClientDisconnected left && requests.containsKey(left.requestId())) {
            close(requests.get(left.requestId()));
        } else if (event instanceof Event.StreamStarted began && requests.containsKey(began.requestId())) {
            requests.get(began.requestId()).streaming = true;
        } else if (event instanceof Event.PrewarmRequested wanted) {
            Function function = functions.computeIfAbsent(wanted.function(),
                    id -> new Function(id, DEMAND, PACE));
            function.concurrency = Math.max(1, wanted.concurrency());
            function.memoryMb = wanted.memoryMb();
            function.typicalLoadTime = wanted.typicalLoadTime();
            function.prewarmShare = wanted.share();
            function.prewarmReference = functions.get(wanted.referenceFunction());
        } else if (event instanceof Event.SnapshotRestored recalled) {
            recall(recalled.snapshot());
        } else if (event instanceof Event.LoadCompleted answered) {
            Worker worker = workers.get(answered.worker());
            Function function = functions.get(answered.function());
            if (worker != null && function != null) {
                instancePreloader.answered(place(function, worker), answered);
            }
        }
        return actions;
    }

    // ---- what outlives the process

    @Override
    public PolicySnapshot snapshot(MonotonicTime at) {
        now = at;
        List<PolicySnapshot.WorkerSnapshot> ofWorkers = new ArrayList<>();
        for (Worker worker : inService) {
            TimeSpan aside = isPending(worker.ejectedUntil) ? worker.ejectedUntil.since(now) : TimeSpan.ZERO;
            ofWorkers.add(new PolicySnapshot.WorkerSnapshot(worker.id,
                    worker.startedAt == null ? null : now.since(worker.startedAt), aside));
        }
        List<PolicySnapshot.FunctionSnapshot> ofFunctions = new ArrayList<>();
        for (Function function : functions.values()) {
            List<PolicySnapshot.InstanceSnapshot> copies = function.placements.values().stream().filter(place -> instances(place) > 0)
                    .map(place -> new PolicySnapshot.InstanceSnapshot(place.worker.id, place.instances, now.since(place.renewedAt),
                            function.cachedPlacements.contains(place))).toList();
            ofFunctions.add(new PolicySnapshot.FunctionSnapshot(function.id, Math.max(1, function.concurrency), function.memoryMb,
                    function.typicalLoadTime, function.recentRequests.read(now), function.warmResponses.read(now),
                    function.warmSeconds.read(now), copies));
        }
        return new PolicySnapshot(TimeSpan.ZERO, ofWorkers, ofFunctions, instancePreloader.orders.stream().map(now::since).toList(),
                modelLoadLimiter.loadSeconds.read(now), modelLoadLimiter.loadCount.read(now));
    }

    /** Taken as it is told: what of it may be believed was decided before. */
    private void recall(PolicySnapshot known) {
        MonotonicTime then = now.minus(known.age());
        for (PolicySnapshot.WorkerSnapshot of : known.workers()) {
            Worker worker = workers.get(of.worker());
            if (worker != null && worker.onRing) {
                worker.ejectedUntil = now.plus(of.ejectedFor());
                keep(contactedWorkers, worker, true);
            }
        }
        for (PolicySnapshot.FunctionSnapshot of : known.functions()) {
            Function function = functions.computeIfAbsent(of.function(), id -> new Function(id, DEMAND, PACE));
            function.concurrency = of.concurrency();
            function.memoryMb = of.memoryMb();
            function.typicalLoadTime = of.typicalLoadTime();
            function.requestCount += Math.round(of.recentRequests());
            function.recentRequests.add(then, of.recentRequests());
            function.warmResponses.add(then, of.warmResponses());
            function.warmSeconds.add(then, of.warmSeconds());
            for (PolicySnapshot.InstanceSnapshot copy : of.instances()) {
                Worker worker = workers.get(copy.worker());
                if (worker != null && worker.onRing) {
                    Placement place = place(function, worker);
                    place.instances = copy.instances();
                    place.renewedAt = now.minus(copy.sinceRenewed());
                    if (copy.cached()) {
                        list(place);
                    }
                }
            }
        }
        known.loadRequestAges().forEach(age -> instancePreloader.orders.add(now.minus(age)));
        modelLoadLimiter.loadSeconds.add(then, known.loadSeconds());
        modelLoadLimiter.loadCount.add(then, known.loadCount());
    }

    // ---- a call comes, is placed, and ends

    private void admit(Event.RequestArrived came) {
        RoutingSettings.RequestClass category = requestClasses.get(came.requestClass());
        if (category == null) {
            throw new IllegalArgumentException("a call of an unknown category: " + came.requestClass());
        }
        Function function = functions.computeIfAbsent(came.function(), id -> new Function(id, DEMAND, PACE));
        function.concurrency = Math.max(1, came.concurrency());
        function.memoryMb = came.memoryMb();
        function.typicalLoadTime = came.typicalLoadTime();
        function.recentRequests.add(now, 1);
        function.requestCount++;
        taken.add(now, 1);
        instancePreloader.taken();
        Request call = new Request(came.requestId(), function, category, now, now.plus(came.timeLeft()), came.workEstimate());
        requests.put(call.id, call);
        place(call, null);
    }

    /** Sends the call to the first worker with room, or gives the final answer at once. */
    private void place(Request call, Worker avoided) {
        Placement place = choose(call, avoided);
        if (place != null) {
            list(place);
            send(call, place);
        } else {
            answer(call);
        }
    }

    /** The list, then the scan. Where copies come by order, a call rather waits than begins a load. */
    private Placement choose(Request call, Worker avoided) {
        boolean orders = settings.instances().acceptsLoadRequests();
        Placement place = listed(call, avoided, CapacityCheck.STRICT);
        place = place != null ? place : listed(call, avoided, CapacityCheck.PACED);
        place = place != null || orders ? place : scanned(call, avoided, CapacityCheck.STRICT);
        place = place != null ? place : listed(call, avoided, CapacityCheck.RELAXED);
        place = place != null || !orders ? place : scanned(call, avoided, CapacityCheck.STRICT);
        return place != null ? place : scanned(call, avoided, CapacityCheck.RELAXED);
    }

    private Placement listed(Request call, Worker avoided, CapacityCheck room) {
        for (Placement place : call.function.cachedPlacements) {
            if (place.worker != avoided && hasCapacity(call, place, room)) {
                return place;
            }
        }
        return null;
    }

    private Placement scanned(Request call, Worker avoided, CapacityCheck room) {
        Function function = call.function;
        for (int i = 0; i < inService.size(); i++) {
            Worker worker = scan(function, i);
            Placement known = function.placements.get(worker);
            Placement place = known != null ? known : new Placement(function, worker);
            if (worker != avoided && hasCapacity(call, place, room)) {
                return place(function, worker);
            }
        }
        return null;
    }

    /** The worker that all routers would pick first, if each had room everywhere. */
    private Worker home(Function function) {
        for (int i = 0; i < inService.size(); i++) {
            Worker worker = scan(function, i);
            if (isEligible(worker) && slowStart.bears(worker)) {
                return worker;
            }
        }
        return null;
    }

    private void list(Placement place) {
        List<Placement> list = place.function.cachedPlacements;
        if (!list.contains(place)) {
            if (list.size() >= MAX_CACHED_WORKERS) {
                list.remove(list.size() - 1);
            }
            list.add(place);
            List<Worker> order = place.function.ringOrder;
            list.sort((a, b) -> Integer.compare(order.indexOf(a.worker), order.indexOf(b.worker)));
        }
    }

    /** The design's room for the function, and the worker's own holding against the fleet's mean. */
    private boolean hasCapacity(Request call, Placement place, CapacityCheck room) {
        Worker worker = place.worker;
        if (!isEligible(worker) || isPending(place.overloadedUntil) || isPending(worker.overloadedUntil)
                || place.inFlight >= place.function.concurrency * (instances(place) + 1)) {
            return false;
        }
        double mean = (double) attemptsInFlight / Math.max(1, inService.size());
        boolean heard = worker.lastHeardAt != null && !now.since(worker.lastHeardAt).isLongerThan(PACE);
        double held = heard ? worker.attemptsInFlight.size() : Math.max(worker.attemptsInFlight.size(), mean);
        if (!listsACopy(place.function)) {
            room = CapacityCheck.RELAXED;
        }
        double borne = concurrencyLimit(worker) * (latencyRatio(worker) > MOST_STRAIN ? 1 : room.overdraft);
        if (held > room.margin * (mean + SPARE) || !bears(call, place, borne, room)) {
            return false;
        }
        return retryPolicy.mayGoTo(call, worker) && slowStart.bears(worker) && modelLoadLimiter.mayBegin(place);
    }

    private boolean listsACopy(Function function) {
        return function.cachedPlacements.stream().anyMatch(place -> instances(place) > 0);
    }

    private boolean isEligible(Worker worker) {
        return worker.state == EndpointState.IN_SERVICE && !isPending(worker.ejectedUntil);
    }

    private boolean isPending(MonotonicTime moment) {
        return moment != null && now.isBefore(moment);
    }

    /** Instances believed to stand; the belief ends when nothing renewed it while idle copies are kept. */
    private int instances(Placement place) {
        if (place.renewedAt == null || now.since(place.renewedAt).isLongerThan(settings.instances().idleTimeout())) {
            place.instances = place.inFlight > 0 ? Math.min(1, place.instances) : 0;
        }
        return place.instances;
    }

    /*
     * The part of A_k that the ledger can't count: how many of our calls a worker bears at once. It widens
     * while calls that found their copy are quick and shrinks when they near their expected time or the
     * worker is full, whoever crowds it: calls that only wait pin memory.
     */
    private double concurrencyLimit(Worker worker) {
        return worker.concurrencyLimit > 0 ? worker.concurrencyLimit : BEARING * fairShare();
    }

    /** Our part of what may be sent where routers are many and none sees the others' calls. */
    private double fairShare() {
        return Math.min(1, FEW / settings.routerCount());
    }

    private double latencyRatio(Worker worker) {
        double count = worker.latencyRatioCount.read(now);
        return count <= 0 ? 0 : worker.latencyRatioSum.read(now) / count;
    }

    private void strained(Worker worker, double factor) {
        if (!isPending(worker.limitReducedUntil)) {
            double held = Math.min(concurrencyLimit(worker), worker.warmAttemptsInFlight() + 1);
            worker.concurrencyLimit = Math.max(fairShare() * fairShare(), held * factor);
            worker.limitReducedUntil = now.plus(FULL_FOR);
        }
    }

    /**
     * Under one call the bearing is a pace: first the worker's, then the function's there, so that heavy
     * users go on and light ones stay. Past it a warm worker still takes the call while its warm answers are
     * quicker than what a load elsewhere is likely to take.
     */
    private boolean bears(Request call, Placement place, double borne, CapacityCheck room) {
        MonotonicTime last = room == CapacityCheck.STRICT ? place.worker.sentAt : place.sentAt;
        if (borne >= 1 || last == null) {
            return place.worker.warmAttemptsInFlight() + 1 <= Math.max(1, borne);
        }
        if (place.inFlight == 0 && now.since(last).times(borne).isLongerThan(expected(place.function))) {
            return true;
        }
        double wait = latencyRatio(place.worker) * STRAIN * call.requestClass.latencyObjective().toSeconds();
        return room != CapacityCheck.STRICT && instances(place) > 0
                && wait < modelLoadLimiter.begins() * modelLoadLimiter.usual(place.function).toSeconds();
    }

    private void send(Request call, Placement place) {
        Worker worker = place.worker;
        Attempt leg = new Attempt(call, call.attempts.size(), place, now, instances(place) > 0);
        call.attempts.add(leg);
        call.attemptsInFlight++;
        attemptsInFlight++;
        modelLoadLimiter.begun(place);
        place.inFlight++;
        place.renewedAt = now;
        worker.attemptsInFlight.add(leg);
        worker.coldAttemptsInFlight += leg.assumedWarm ? 0 : 1;
        place.sentAt = now;
        if (worker.sentAt == null) {
            keep(contactedWorkers, worker, worker.onRing);
        }
        worker.sentAt = now;
        slowStart.sent(worker);
        TimeSpan left = call.deadlineAt.since(now).minus(settings.quantum().times(2));
        actions.add(new Action.SendAttempt(call.id, worker.id, left.atLeast(new TimeSpan(1))));
    }

    private void end(Request call, Attempt leg, Event.AttemptEnded ended) {
        if (leg.outcome != null) {
            return;
        }
        leg.outcome = ended.outcome();
        Placement place = leg.placement;
        Worker worker = place.worker;
        call.attemptsInFlight--;
        attemptsInFlight--;
        place.inFlight--;
        worker.attemptsInFlight.remove(leg);
        worker.coldAttemptsInFlight -= leg.assumedWarm ? 0 : 1;
        learn(leg, ended);
        if (ended.requestCompleted() || call.completed) {
            close(call);
        } else if (call.attemptsInFlight == 0) {
            boolean free = ended.outcome() == Outcome.FULL && idle(ended.loadReport());
            if (retryPolicy.may(call, free)) {
                retryPolicy.spent.add(now, free ? 0 : 1);
                place(call, ended.outcome() == Outcome.ABSENT ? null : worker);
            } else {
                answer(call);
            }
        }
    }

    /** What an ended leg tells of the copy, of the worker and of the store. */
    private void learn(Attempt leg, Event.AttemptEnded ended) {
        Placement place = leg.placement;
        Worker worker = place.worker;
        Function function = place.function;
        if (ended.loadReport() != null && !Double.isNaN(ended.loadReport().loadsInProgress())) {
            worker.reportedLoads = ended.loadReport().loadsInProgress();
        }
        if (!leg.assumedWarm) {
            modelLoadLimiter.ended(place);
        }
        double seconds = ended.elapsed().toSeconds();
        switch (ended.outcome()) {
            case SUCCESS -> {
                worker.lastHeardAt = now;
                worker.successes.add(now, 1);
                place.renewedAt = now;
                place.instances = Math.max(1, place.instances);
                if (!leg.assumedWarm) {
                    modelLoadLimiter.met(ended.instanceStatus() == InstanceStatus.LOAD_BEGUN || ended.instanceStatus() == InstanceStatus.LOAD_JOINED);
                }
                if (ended.instanceStatus() == InstanceStatus.LOAD_BEGUN) {
                    place.instances += leg.assumedWarm ? 1 : 0;
                    modelLoadLimiter.loaded(function, Math.max(0, seconds - expected(function).toSeconds()));
                } else if (ended.instanceStatus() != InstanceStatus.LOAD_JOINED) {
                    double weight = leg.request.requestClass.priorityWeight();
                    if (settings.attemptLimits().weightByWork() && leg.request.workEstimate != null) {
                        weight *= leg.request.workEstimate.toSeconds();
                    }
                    worker.latencyRatioSum.add(now, weight * seconds / leg.request.requestClass.latencyObjective().toSeconds());
                    worker.latencyRatioCount.add(now, weight * STRAIN);
                    if (latencyRatio(worker) > 1) {
                        strained(worker, Math.max(0.6, Math.min(0.85, 1 / latencyRatio(worker))));
                    } else if (worker.warmAttemptsInFlight() + 2 > concurrencyLimit(worker)) {
                        double bearing = concurrencyLimit(worker);
                        worker.concurrencyLimit = bearing + (bearing < 1 ? 0.15 * bearing : fairShare() / bearing);
                    }
                    worker.responses.add(now, 1);
                    worker.slowness.add(now, seconds / expected(leg.request).toSeconds());
                    if (leg.request.workEstimate != null) {
                        hintSeconds.add(now, leg.request.workEstimate.toSeconds());
                    }
                    warmAnswers.add(now, 1);
                    warmSeconds.add(now, seconds);
                    function.warmResponses.add(now, 1);
                    function.warmSeconds.add(now, seconds);
                }
            }
            case FULL -> {
                worker.lastHeardAt = now;
                if (idle(ended.loadReport())) {
                    failed(worker, 0.5);
                } else {
                    place.overloadedUntil = now.plus(FULL_FOR);
                    worker.overloadedUntil = now.plus(FULL_FOR);
                    strained(worker, 0.7);
                    modelLoadLimiter.refused(worker);
                }
            }
            case ABSENT -> {
                place.instances = 0;
                if (ended.instanceStatus() == InstanceStatus.LOAD_FAILED) {
                    modelLoadLimiter.failed();
                }
            }
            case ERROR, BROKEN, UNREACHABLE -> {
                if (ended.instanceStatus() == InstanceStatus.LOAD_FAILED) {
                    modelLoadLimiter.failed();
                } else {
                    failed(worker, 1);
                }
            }
            case TIMED_OUT, WITHDRAWN -> {
                worker.responses.add(now, 1);
                worker.slowness.add(now, overdue(leg));
            }
            case VOID -> { }
        }
    }

    private void failed(Worker worker, double weight) {
        worker.responses.add(now, 1);
        worker.failures.add(now, weight);
    }

    /** Guards against workers that turn calls away with room to spare: a fault, half as bad as one that ran. */
    private static boolean idle(Event.WorkerLoadReport report) {
        return report != null && report.backlog() < BEARING && report.loadsInProgress() < BEARING;
    }

    /** The final answer where nothing was settled: a dismissal where trying again is harmless. */
    private void answer(Request call) {
        if (call.completed || call.streaming) {
            return;
        }
        if (retryPolicy.mayDismiss(call)) {
            TimeSpan pause = expected(call.function).times(2).atMost(settings.attemptLimits().maxRetryAfter());
            actions.add(new Action.Reject(call.id, settings.attemptLimits().retryAfter() ? pause : TimeSpan.ZERO));
        } else {
            actions.add(new Action.Fail(call.id));
        }
        close(call);
    }

    private void close(Request call) {
        call.completed = true;
        if (call.attemptsInFlight == 0) {
            requests.remove(call.id);
        }
    }

    // ---- what a function's calls usually take

    private TimeSpan expected(Function function) {
        double mean = (warmSeconds.read(now) + MEAN_SECONDS) / (warmAnswers.read(now) + 1);
        double answers = function.warmResponses.read(now) + 2;
        return TimeSpan.seconds((function.warmSeconds.read(now) + 2 * mean) / answers);
    }

    private TimeSpan expected(Request call) {
        TimeSpan usual = expected(call.function);
        if (call.workEstimate == null || hintSeconds.read(now) <= 0) {
            return usual;
        }
        return usual.plus(call.workEstimate.times(warmSeconds.read(now) / hintSeconds.read(now))).times(0.5);
    }

    /** A leg's age against what it should take, a load included where the worker has answered since. */
    private double overdue(Attempt leg) {
        Worker worker = leg.placement.worker;
        boolean silent = leg.assumedWarm && (worker.lastHeardAt == null || worker.lastHeardAt.isBefore(leg.sentAt));
        TimeSpan load = modelLoadLimiter.usual(leg.request.function).times(silent ? 0 : leg.assumedWarm ? 1 : 2);
        return now.since(leg.sentAt).dividedBy(expected(leg.request).plus(load));
    }

    // ---- the order of workers

    private Placement place(Function function, Worker worker) {
        Placement place = function.placements.get(worker);
        if (place == null) {
            place = new Placement(function, worker);
            function.placements.put(worker, place);
            worker.placements.add(place);
        }
        return place;
    }

    /** Worker ids, several marks each, in hash order from the hash of the function on: the i-th worker. */
    private Worker scan(Function function, int i) {
        if (function.ringOrderVersion != ringVersion) {
            function.ringOrderVersion = ringVersion;
            function.ringOrder.clear();
            function.orderedWorkers.clear();
            function.ringPosition = hash(function.id);
        }
        while (function.ringOrder.size() <= i) {
            Map.Entry<Long, Worker> next = ring.ceilingEntry(function.ringPosition);
            next = next == null ? ring.firstEntry() : next;
            function.ringPosition = next.getKey() + 1;
            Worker worker = next.getValue();
            if (function.orderedWorkers.add(worker)) {
                function.ringOrder.add(worker);
            }
        }
        return function.ringOrder.get(i);
    }

    private static long[] virtualNodes(String id) {
        return IntStream.range(0, VIRTUAL_NODES).mapToLong(i -> hash(id + "#" + i)).toArray();
    }

    private static long hash(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        long mixed = crc.getValue() * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
        return mixed ^ (mixed >>> 32);
    }

    private double nextRandom() {
        CRC32 crc = new CRC32();
        crc.update((seed + ":" + drawn++).getBytes(StandardCharsets.UTF_8));
        return crc.getValue() / 4294967296.0;
    }

    private void updateEndpoints(Event.EndpointsUpdated listed) {
        if (listed.kind() == Event.EndpointUpdateKind.FAILED) {
            actions.add(new Action.SetTimer(now.plus(TimeSpan.millis(200).times(1 + nextRandom())), "list"));
            return;
        }
        LinkedHashSet<String> named = new LinkedHashSet<>();
        for (Event.Endpoint listing : listed.endpoints()) {
            named.add(listing.worker());
            Worker worker = workers.computeIfAbsent(listing.worker(),
                    id -> new Worker(id, virtualNodes(id), HEALTH, PACE, STRAINS));
            boolean restarted = listing.startedAt() != null && !listing.startedAt().equals(worker.startedAt);
            worker.zone = listing.zone();
            worker.cell = listing.cell();
            worker.state = listing.state();
            worker.startedAt = listing.startedAt();
            if (worker.state != EndpointState.IN_SERVICE || restarted) {
                invalidatePlacements(worker);
            }
            stands(worker);
            keep(warmingWorkers, worker, worker.onRing && slowStart.cold(worker));
        }
        if (listed.kind() != Event.EndpointUpdateKind.DELTA) {
            for (Worker worker : workers.values()) {
                if (!named.contains(worker.id)) {
                    worker.state = EndpointState.GONE;
                    invalidatePlacements(worker);
                    stands(worker);
                    keep(warmingWorkers, worker, false);
                }
            }
        }
        ringVersion++;
    }

    /** Only what changed: with 5,000 workers a ring laid anew takes a tenth of a second, at every change. */
    private void stands(Worker worker) {
        boolean serves = worker.state == EndpointState.IN_SERVICE;
        if (serves == worker.onRing) {
            return;
        }
        worker.onRing = serves;
        keep(inService, worker, serves);
        keep(contactedWorkers, worker, serves && worker.sentAt != null);
        for (long mark : worker.virtualNodes) {
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
    private void invalidatePlacements(Worker worker) {
        for (Placement place : worker.placements) {
            place.instances = 0;
            place.function.cachedPlacements.remove(place);
        }
        worker.resetAfterRestart();
    }

    private void tick() {
        actions.add(new Action.SetTimer(now.plus(TICK), "beat"));
        outlierDetector.look();
        slowStart.look();
        modelLoadLimiter.look();
        instancePreloader.keep(functions.values());
        functions.values().stream().filter(function -> function.prewarmShare > 0).forEach(instancePreloader::ahead);
        for (Function function : functions.values()) {
            function.cachedPlacements.removeIf(place -> place.inFlight == 0 && instances(place) == 0);
        }
        functions.values().removeIf(this::forgotten);
    }

    /** A function without calls of late, copies or legs is dropped, or one-off functions would pile up. */
    private boolean forgotten(Function function) {
        boolean used = function.recentRequests.read(now) > FORGOTTEN || function.prewarmShare > 0
                || !function.cachedPlacements.isEmpty()
                || function.placements.values().stream().anyMatch(place -> place.inFlight + instances(place) > 0);
        if (!used) {
            function.placements.values().forEach(place -> place.worker.placements.remove(place));
        }
        return !used;
    }

    // ---- 1: a worker that fails or is slow against the fleet leaves the lists for a while

    /*
     * Guards against workers that crawl, fail fast, hang or vanish before the list says so. Judged only
     * against the fleet's median, so that a slow store or a flood sets nobody aside. Could harm when one
     * worker serves the only heavy functions; times are therefore taken relative to each function's own.
     */
    private final class OutlierDetector {
        private final TimeSpan fixed;
        private final TimeSpan random;
        private final double most;
        private final double least;
        private final double factor;

        OutlierDetector(TimeSpan fixed, TimeSpan random, double most, double least, double factor) {
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
            for (Worker worker : contactedWorkers) {
                double count = worker.responses.read(now);
                if (count < 1 && worker.attemptsInFlight.isEmpty() && !isPending(worker.ejectedUntil)) {
                    continue;
                }
                judged.add(worker);
                double slow = worker.slowness.read(now);
                double late = 0;
                double lateness = 0;
                boolean silent = true;
                for (Attempt leg : worker.attemptsInFlight) {
                    double overdue = overdue(leg);
                    if (overdue > factor) {
                        late++;
                        lateness += overdue;
                        silent &= worker.lastHeardAt == null || worker.lastHeardAt.isBefore(leg.sentAt);
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
                aside += isPending(worker.ejectedUntil) ? 1 : 0;
            }
            double median = Math.max(1, median(seen, 1));
            double failingMedian = median(seen, 2);
            for (int i = 0; i < seen.size(); i++) {
                Worker worker = judged.get(i);
                double count = seen.get(i)[0];
                double failing = worker.failures.read(now);
                boolean fails = failing >= 2 && seen.get(i)[2] > Math.max(0.3, factor * failingMedian);
                boolean slow = count >= least && seen.get(i)[1] > factor * median;
                if (isPending(worker.ejectedUntil)) {
                    move(worker);
                } else if ((fails || slow) && aside + 1 <= most * inService.size()) {
                    aside++;
                    worker.ejectedUntil = now.plus(fixed).plus(random.times(nextRandom()));
                    for (Placement place : worker.placements) {
                        place.function.cachedPlacements.remove(place);
                    }
                    actions.add(new Action.Log(String.format(
                            "set aside %s: slowness %.1f of %.1f, failures %.1f of %.1f, %d out", worker.id,
                            seen.get(i)[1], median, failing, count, worker.attemptsInFlight.size())));
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
            for (Attempt leg : worker.attemptsInFlight) {
                if (!leg.cancelled && overdue(leg) > 1.5 && retryPolicy.mayMove(leg.request)) {
                    leg.cancelled = true;
                    actions.add(new Action.CancelAttempt(leg.request.id, leg.number));
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
    private final class SlowStart {
        private final RoutingSettings.SlowStartSettings rule;
        private final double margin;
        private double warmRate;

        SlowStart(RoutingSettings.SlowStartSettings rule, double margin) {
            this.rule = rule;
            this.margin = margin;
        }

        /** Our mean rate at warm workers, summed up once a beat. */
        void look() {
            warmingWorkers.removeIf(worker -> !cold(worker));
            double settled = contactedWorkers.stream().filter(worker -> !cold(worker))
                    .mapToDouble(worker -> worker.successes.perSecond(now)).sum();
            warmRate = settled / Math.max(1, inService.size() - warmingWorkers.size());
        }

        boolean cold(Worker worker) {
            return worker.startedAt != null && rule.warmUpTime().isLongerThan(now.since(worker.startedAt));
        }

        boolean bears(Worker worker) {
            if (!cold(worker)) {
                return true;
            }
            double age = now.since(worker.startedAt).dividedBy(rule.warmUpTime());
            double present = rule.initialCapacityShare() + (1 - rule.initialCapacityShare()) * Math.max(0, age);
            double rate = margin * rule.overloadFactor() * present * warmRate;
            if (worker.slowStartTokensAt == null) {
                worker.slowStartTokens = 0.5;
            } else {
                double most = Math.max(1, rate * rule.overloadTime().toSeconds() * 0.5);
                double gained = rate * now.since(worker.slowStartTokensAt).toSeconds();
                worker.slowStartTokens = Math.min(most, worker.slowStartTokens + gained);
            }
            worker.slowStartTokensAt = now;
            return worker.slowStartTokens >= 1;
        }

        void sent(Worker worker) {
            worker.slowStartTokens -= cold(worker) ? 1 : 0;
        }
    }

    // ---- 3: what may be sent again, when, and how much of that in all

    private final class RetryPolicy {
        private final int most;
        private final boolean cancel;
        private final double share;
        private final double few;
        private final DecayingSum spent = new DecayingSum(PACE);

        RetryPolicy(int most, boolean cancel, double share, double few) {
            this.most = most;
            this.cancel = cancel;
            this.share = share;
            this.few = few;
        }

        private Attempt firstThatMayHaveRun(Request call) {
            return call.attempts.stream().filter(Attempt::mayHaveExecuted).findFirst().orElse(null);
        }

        boolean mayDismiss(Request call) {
            return call.requestClass.idempotency() == RoutingSettings.Idempotency.RETRIABLE || firstThatMayHaveRun(call) == null
                    || call.requestClass.idempotency() == RoutingSettings.Idempotency.FINGERPRINTED
                    && call.requestClass.deduplicationScope() == RoutingSettings.DeduplicationScope.ALL;
        }

        /** A fingerprinted call that may have run stays where and while its repeats are dropped. */
        boolean mayGoTo(Request call, Worker worker) {
            Attempt ran = firstThatMayHaveRun(call);
            if (ran == null || call.requestClass.idempotency() == RoutingSettings.Idempotency.RETRIABLE) {
                return true;
            }
            Worker first = ran.placement.worker;
            return call.requestClass.idempotency() == RoutingSettings.Idempotency.FINGERPRINTED
                    && now.since(ran.sentAt).plus(settings.maxSendDelay()).compareTo(call.requestClass.deduplicationWindow()) < 0
                    && switch (call.requestClass.deduplicationScope()) {
                        case ALL -> true;
                        case ZONE -> worker.zone.equals(first.zone);
                        case CELL -> worker.cell == first.cell;
                    };
        }

        boolean may(Request call, boolean free) {
            boolean binding = call.requestClass.idempotency() == RoutingSettings.Idempotency.BINDING;
            return (!binding || firstThatMayHaveRun(call) == null) && !call.streaming
                    && call.attempts.size() < most && (free || spent.read(now) < few + share * taken.read(now))
                    && call.deadlineAt.since(now).isLongerThan(expected(call.function));
        }

        boolean mayMove(Request call) {
            return cancel && !call.completed && call.requestClass.idempotency() != RoutingSettings.Idempotency.BINDING && may(call, false);
        }

    }

    // ---- 4: copies in use are held, and one is added where calls crowd

    private final class InstancePreloader {
        private final RoutingSettings.LoadQuota ration;
        private final TimeSpan kept;
        private final boolean allowed;
        private final double renewAt;
        private final ArrayDeque<MonotonicTime> orders = new ArrayDeque<>();
        private final ArrayDeque<MonotonicTime> takenLately = new ArrayDeque<>();

        InstancePreloader(RoutingSettings.LoadQuota ration, TimeSpan kept, boolean allowed, double renewAt) {
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
            while (!orders.isEmpty() && now.since(orders.peek()).isLongerThan(ration.window())) {
                orders.poll();
            }
            while (!takenLately.isEmpty() && now.since(takenLately.peek()).compareTo(ration.window()) >= 0) {
                takenLately.poll();
            }
            return orders.size() + 1 <= part * (ration.burst() + ration.requestShare() * takenLately.size());
        }

        private boolean order(Placement place, int copies) {
            if (!allowed || !isEligible(place.worker) || !withinRation(1)) {
                return false;
            }
            orders.add(now);
            place.loadRequestedAt = now;
            place.renewedAt = now;
            actions.add(new Action.LoadInstances(place.worker.id, place.function.id, Math.min(16, copies)));
            return true;
        }

        void keep(Iterable<Function> all) {
            if (!allowed) {
                return;
            }
            for (Function function : all) {
                if (function.requestCount < 2 || function.cachedPlacements.isEmpty() || function.recentRequests.read(now) < 0.5) {
                    continue;
                }
                Placement head = function.cachedPlacements.get(0);
                if (instances(head) > 0 && now.since(head.renewedAt).isLongerThan(kept.times(renewAt))) {
                    order(head, 1);
                }
                for (Placement place : function.cachedPlacements) {
                    boolean waiting = place.loadRequestedAt != null
                            && !now.since(place.loadRequestedAt).isLongerThan(modelLoadLimiter.usual(function).times(2));
                    int known = instances(place);
                    boolean crowded = known > 0 && known < 4 && place.inFlight > function.concurrency * known;
                    if (crowded && !waiting && place.worker.reportedLoads < 1 && modelLoadLimiter.fits(place)) {
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
            Function like = function.prewarmReference;
            double need = like == function ? stands
                    : Math.max(1, like == null ? 1 : Math.ceil(function.prewarmShare * copies(like)));
            boolean enough = !allowed || stands >= need;
            actions.add(new Action.PrewarmProgress(function.id, function.prewarmShare * (enough ? 1 : stands / need)));
            if (!allowed || !withinRation(0.5)) {
                return;
            }
            boolean coming = false;
            for (Placement place : function.placements.values()) {
                coming |= place.loading || place.loadRequestedAt != null && instances(place) == 0
                        && !now.since(place.loadRequestedAt).isLongerThan(modelLoadLimiter.usual(function).times(2));
                if (instances(place) > 0 && now.since(place.renewedAt).isLongerThan(kept.times(renewAt))) {
                    order(place, 1);
                }
            }
            for (int i = 0; !enough && !coming && i < inService.size(); i++) {
                Placement place = place(function, scan(function, i));
                if (instances(place) == 0 && slowStart.bears(place.worker)
                        && modelLoadLimiter.mayBegin(place)) {
                    coming = order(place, 1);
                }
            }
        }

        private int copies(Function function) {
            return function.placements.values().stream().mapToInt(StickyFirstFitPolicy.this::instances).sum();
        }

        void answered(Placement place, Event.LoadCompleted answer) {
            if (answer.outcome() == Outcome.SUCCESS || answer.instances() > 0) {
                place.instances = answer.instances();
                place.renewedAt = now;
                if (answer.instances() > 0 && isEligible(place.worker)) {
                    list(place);
                }
            } else if (answer.outcome() == Outcome.ERROR) {
                place.instances = 0;
                modelLoadLimiter.failed();
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
    private final class ModelLoadLimiter {
        private final double late;
        private final double part;
        private final DecayingSum loadSeconds = new DecayingSum(DEMAND);
        private final DecayingSum loadCount = new DecayingSum(DEMAND);
        private final DecayingSum loads = new DecayingSum(PACE);
        private final DecayingSum failures = new DecayingSum(PACE);
        private final DecayingSum unbelieved = new DecayingSum(DEMAND);
        private final DecayingSum begun = new DecayingSum(DEMAND);
        private double window = Double.NaN;
        private int under;
        private double meanLoads;
        private MonotonicTime cut;
        private MonotonicTime begunAt;

        ModelLoadLimiter(double late, double part) {
            this.part = part;
            this.late = late;
        }

        void look() {
            meanLoads = contactedWorkers.stream().filter(worker -> worker.lastHeardAt != null)
                    .mapToDouble(worker -> worker.reportedLoads).average().orElse(0);
        }

        TimeSpan usual(Function function) {
            if (function.typicalLoadTime != null) {
                return function.typicalLoadTime;
            }
            return TimeSpan.seconds((loadSeconds.read(now) + 1) / (loadCount.read(now) + 1));
        }

        /** The share of legs sent where no copy was believed that met a load all the same. */
        double begins() {
            return (begun.read(now) + 1) / (unbelieved.read(now) + 1);
        }

        /** Whether a call may go to a place where it would begin a load. */
        boolean mayBegin(Placement place) {
            if (instances(place) > 0 || place.loading) {
                return true;
            }
            if (Double.isNaN(window)) {
                window = Math.max(2 * fairShare(), (double) inService.size() / settings.routerCount());
            }
            if (place.worker == home(place.function)) {
                return true;
            }
            for (Placement other : place.function.cachedPlacements) {
                if (other.loading && isEligible(other.worker) && begins() > 0.5) {
                    return false;
                }
            }
            boolean open = window >= 1 || begunAt == null
                    || now.since(begunAt).times(window).isLongerThan(usual(place.function).times(begins()));
            double real = under * Math.max(fairShare(), begins());
            return open && real < Math.max(1, window) && place.worker.reportedLoads <= meanLoads + 2 && fits(place);
        }

        /** The memory believed in use there; what other routers load is unknown, so only a part may be. */
        private boolean fits(Placement place) {
            double machine = settings.instances().memoryByWorkerKind().stream().mapToDouble(mb -> mb).min().orElse(0);
            double used = place.function.memoryMb;
            for (Placement held : place.worker.placements) {
                used += instances(held) * held.function.memoryMb;
            }
            return machine <= 0 || used <= part * machine;
        }

        void begun(Placement place) {
            if (!place.loading && instances(place) == 0) {
                place.loading = true;
                begunAt = now;
                under++;
            }
        }

        /** A leg or an order at the place has ended, so the load there has come up or will not. */
        void ended(Placement place) {
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
            double level = seconds / usual(function).toSeconds();
            loadSeconds.add(now, seconds);
            loadCount.add(now, 1);
            loads.add(now, 1);
            if (level > late) {
                narrow("late", level, 0.5);
            } else {
                window = Math.min(Math.max(1, inService.size() * fairShare()),
                        window + 0.5 * (window < 1 ? window : fairShare()));
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
            if (by.reportedLoads >= LOADING) {
                narrow("refused", by.reportedLoads, 0.75);
            }
        }

        private void narrow(String why, double level, double part) {
            if (meanLoads >= BUSY && (cut == null || now.since(cut).isLongerThan(TimeSpan.seconds(1)))) {
                cut = now;
                window *= part;
                actions.add(new Action.Log(String.format(
                        "a load %s at %.1f (%.1f a worker): %.1f may be under way, %d are",
                        why, level, meanLoads, window, under)));
            }
        }
    }
}
