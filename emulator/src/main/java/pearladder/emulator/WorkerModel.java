package pearladder.emulator;

import java.util.ArrayDeque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;
import pearladder.kserve.LoadReport;

/**
 * The model of a worker. Running requests share its cores; a request whose model has no free slot waits in the queue; a
 * missing model is loaded, that is, fetched from the model store and then started. Faults are set from outside.
 */
public final class WorkerModel {
    /** One instance, as the worker's index lists it. */
    public record IndexEntry(String model, boolean ready) {}

    private final Timeline time;
    private final String id;
    private final WorkerKind kind;
    private final WorkerEnvironment environment;
    private final WorkerObserver observer;
    private final SplittableRandom random;
    private final ArrayDeque<PendingRequest> queue = new ArrayDeque<>();
    private final ProcessorSharing cores;
    private final InstancePool instances;
    private final WarmUp warmUp;
    private final LoadReporter reporter;
    private boolean up = true;
    private boolean draining;
    private double failureShare;
    private double lostLoadReplyShare;

    /** A worker that is up and holds nothing. */
    public WorkerModel(WorkerSettings settings, WorkerEnvironment environment) {
        this.environment = environment;
        this.time = environment.time();
        this.id = settings.id();
        this.kind = settings.kind();
        this.random = new SplittableRandom(settings.seed());
        this.observer = new WorkerObserver(time, id, environment.observations());
        this.cores = new ProcessorSharing(time, kind, this::onCompletionDue);
        this.instances = new InstancePool(environment, kind, observer, new LoadListener());
        this.warmUp = new WarmUp(time, kind, settings.coldStart());
        this.reporter = new LoadReporter(time, kind.reportIntervalNanos(), random, this::measureLoad);
    }

    /** Its name, unique in the fleet. */
    public String id() {
        return id;
    }

    /** Whether its process runs. */
    public boolean isUp() {
        return up;
    }

    /** Whether it finishes what it holds and takes nothing new. */
    public boolean isDraining() {
        return draining;
    }

    /** Takes nothing new from now on and finishes what it holds. */
    public void drain() {
        draining = true;
    }

    /** Runs so many times slower than usual. */
    public void setSlowdown(double factor) {
        cores.setSlowdown(factor);
    }

    /** Pauses all that runs on it, or continues. */
    public void setPaused(boolean on) {
        cores.setPaused(on);
    }

    /** Fails this share of its requests, 0 to 1, at once. */
    public void setFailureShare(double share) {
        failureShare = share;
    }

    /** Loses this share of its replies to load requests, 0 to 1; the loads themselves happen. */
    public void setLostLoadReplyShare(double share) {
        lostLoadReplyShare = share;
    }

    /** Leaks memory from now on, in MB a second; a restart frees it, and 0 only stops the leak. */
    public void setMemoryLeak(double mbPerSecond) {
        instances.leak().setRate(mbPerSecond);
    }

    /** Its load reports say what was so long ago. */
    public void setReportDelay(long nanos) {
        reporter.setDelay(nanos);
    }

    /** The process dies: everything held is lost without a reply. */
    public void crash() {
        up = false;
        cores.accountProgress();
        queue.forEach(pending -> pending.ended = true);
        cores.running().forEach(pending -> pending.ended = true);
        queue.clear();
        cores.clear();
        instances.clear();
        warmUp.clearWindow();
        cores.scheduleNextCompletion();
    }

    /** The process starts again, empty, cold and without faults. */
    public void restart() {
        up = true;
        draining = false;
        failureShare = 0;
        lostLoadReplyShare = 0;
        cores.reset();
        instances.leak().reset();
        warmUp.restart();
        reporter.reset();
    }

    /** A new release of the models that match the pattern: their instances and images are void. */
    public void invalidateModels(String pattern) {
        instances.invalidate(pattern);
    }

    /**
     * Takes a request. The reply comes later, or never where the worker dies first.
     *
     * @return a handle on the request, or null where it was replied to at once or the worker is down
     */
    public PendingRequest submit(WorkerRequest request, Consumer<WorkerReply> replyTo) {
        if (!up) {
            return null;
        }
        ModelKind model = environment.models().apply(request.model());
        observer.attempt(Observation.ARRIVED, request, request.idempotencyKey());
        double work = workOf(request, model);
        if (crashesFrom(work)) {
            return null;
        }
        if (model == null) {
            return reject(request, WorkerOutcome.ABSENT, replyTo);
        }
        int concurrentRequests = heldFor(request.model());
        if (failureShare > 0 && random.nextDouble() < failureShare) {
            observer.attempt(Observation.RAN, request, "failed");
            replyTo.accept(new WorkerReply(WorkerOutcome.ERROR, null, concurrentRequests, 0, report()));
            return null;
        }
        if (environment.idempotencyCache().contains(request.idempotencyKey())) {
            replyToDuplicate(request, concurrentRequests, replyTo);
            return null;
        }
        return admit(new PendingRequest(this, request, concurrentRequests, work, replyTo), model);
    }

    private static double workOf(WorkerRequest request, ModelKind model) {
        if (model == null) {
            return 0;
        }
        long named = request.workNanos() > 0 ? request.workNanos() : model.workNanos();
        return named * model.workMultiplier();
    }

    /** Crashes where the worker is cold and this is more work than it can bear. */
    private boolean crashesFrom(double work) {
        OptionalDouble overload = warmUp.recordWork(work);
        overload.ifPresent(multiple -> {
            observer.crashedFromOverload(multiple);
            crash();
        });
        return overload.isPresent();
    }

    private int heldFor(String model) {
        return (int) Stream.concat(cores.running().stream(), queue.stream())
                .filter(pending -> pending.request.model().equals(model))
                .count();
    }

    /** Runs the request, or queues it and loads its model where that is needed; null where it is rejected. */
    private PendingRequest admit(PendingRequest pending, ModelKind modelKind) {
        String model = pending.request.model();
        ModelInstance free = instances.leastBusyWithFreeSlot(model);
        if (draining || free == null && queue.size() >= kind.queueLimit()) {
            return reject(pending.request, WorkerOutcome.FULL, pending.replyTo);
        }
        if (free != null) {
            pending.instanceState = InstanceState.STOOD;
            run(pending, free);
            return pending;
        }
        boolean loading = instances.isLoading(model);
        boolean present = instances.hasCurrent(model);
        pending.instanceState = loading ? InstanceState.LOAD_JOINED : InstanceState.STOOD;
        if (!present || kind.scalesUpByItself() && !loading) {
            ModelInstance started = instances.load(model, modelKind);
            if (started == null && !present) {
                return reject(pending.request, WorkerOutcome.FULL, pending.replyTo);
            }
            if (started != null) {
                pending.instanceState = InstanceState.LOAD_BEGUN;
            }
        }
        queue.add(pending);
        return pending;
    }

    private PendingRequest reject(WorkerRequest request, WorkerOutcome outcome, Consumer<WorkerReply> replyTo) {
        observer.attempt(Observation.REJECTED, request, outcome.name());
        replyTo.accept(WorkerReply.of(outcome, report()));
        return null;
    }

    /** Replies to a request whose idempotency key has been seen, without running it again. */
    private void replyToDuplicate(WorkerRequest request, int concurrentRequests, Consumer<WorkerReply> replyTo) {
        observer.attempt(Observation.DUPLICATE_DROPPED, request, request.idempotencyKey());
        replyTo.accept(new WorkerReply(WorkerOutcome.OK, InstanceState.STOOD, concurrentRequests, 0, report()));
    }

    private void run(PendingRequest pending, ModelInstance instance) {
        WorkerRequest request = pending.request;
        if (environment.idempotencyCache().contains(request.idempotencyKey())) {
            // It waited here while a duplicate of it ran elsewhere in the group.
            pending.ended = true;
            replyToDuplicate(request, pending.concurrentRequests, pending.replyTo);
            return;
        }
        pending.instance = instance;
        instances.occupySlot(instance);
        environment.idempotencyCache().add(request.idempotencyKey());
        observer.attempt(Observation.RAN, request, "");
        cores.add(pending);
    }

    void cancel(PendingRequest pending) {
        if (pending.instance == null) {
            queue.remove(pending);
            pending.ended = true;
        } else if (kind.stopsOnCancel()) {
            cores.accountProgress();
            end(pending);
            serveQueue();
        }
    }

    private void end(PendingRequest pending) {
        pending.ended = true;
        cores.remove(pending);
        instances.releaseSlot(pending.instance);
        cores.scheduleNextCompletion();
    }

    private void onCompletionDue() {
        cores.accountProgress();
        for (PendingRequest pending : cores.completed()) {
            end(pending);
            double modelFailureShare = pending.instance.kind.failureShare();
            boolean failed = modelFailureShare > 0 && random.nextDouble() < modelFailureShare;
            pending.replyTo.accept(new WorkerReply(
                    failed ? WorkerOutcome.ERROR : WorkerOutcome.OK,
                    pending.instanceState,
                    pending.concurrentRequests,
                    0,
                    report()));
        }
        serveQueue();
        cores.scheduleNextCompletion();
    }

    /** Gives free slots to queued requests, oldest first, and starts the loads that they still need. */
    private void serveQueue() {
        for (PendingRequest pending : List.copyOf(queue)) {
            String model = pending.request.model();
            ModelInstance free = instances.leastBusyWithFreeSlot(model);
            if (free != null) {
                queue.remove(pending);
                run(pending, free);
            } else if (!instances.hasCurrent(model)) {
                instances.load(model, environment.models().apply(model));
            }
        }
    }

    /** What the end of a load means for the queue. */
    private final class LoadListener implements InstancePool.Listener {
        @Override
        public void onModelUnavailable(String model) {
            for (PendingRequest pending : List.copyOf(queue)) {
                if (pending.request.model().equals(model)) {
                    queue.remove(pending);
                    pending.ended = true;
                    observer.attempt(Observation.REJECTED, pending.request, "load failed");
                    pending.replyTo.accept(new WorkerReply(
                            WorkerOutcome.ABSENT, InstanceState.LOAD_FAILED, pending.concurrentRequests, 0, report()));
                }
            }
        }

        @Override
        public void onLoadEnded() {
            serveQueue();
        }
    }

    /**
     * Takes a load request, to hold so many instances of a model; the reply comes once they are ready or it is
     * clear that they will not be. Idle instances of the model are kept for their full time again.
     */
    public void loadInstances(String router, String model, int wanted, Consumer<WorkerReply> replyTo) {
        if (!up) {
            return;
        }
        boolean replyLost = lostLoadReplyShare > 0 && random.nextDouble() < lostLoadReplyShare;
        observer.loadRequested(router, model, wanted);
        Consumer<WorkerOutcome> onEnded = outcome -> {
            WorkerReply reply = WorkerReply.ofLoad(outcome, readyInstances(model), report());
            if (!replyLost) {
                replyTo.accept(reply);
            }
        };
        ModelKind modelKind = environment.models().apply(model);
        if (modelKind == null) {
            onEnded.accept(WorkerOutcome.ERROR);
        } else if (draining) {
            onEnded.accept(WorkerOutcome.FULL);
        } else {
            new LoadRequest(instances, model, modelKind, wanted, onEnded).start();
        }
    }

    /** Unloads the idle instances of a model. */
    public void unload(String model) {
        instances.unloadIdle(model);
    }

    /** How many instances of a model's current release are ready. */
    public int readyInstances(String model) {
        return instances.readyCount(model);
    }

    /** All instances, ready and loading. */
    public List<IndexEntry> index() {
        return instances.instances().stream()
                .map(instance -> new IndexEntry(instance.model, instance.ready))
                .toList();
    }

    /** Requests held: running and queued. */
    public int heldRequests() {
        return cores.count() + queue.size();
    }

    /** The memory that instances, ready and loading, and a leak take, in MB. */
    public double usedMemoryMb() {
        return instances.usedMemoryMb();
    }

    /** Its load report: measured seldom, with a little noise, and late where {@link #setReportDelay} says so. */
    public LoadReport report() {
        return reporter.report();
    }

    private LoadReport measureLoad(double noise) {
        return new LoadReport(
                heldRequests() * noise,
                queue.size() * noise,
                Math.min(1, (double) cores.count() / kind.cores()),
                instances.pendingLoads(),
                instances.pinnedMemoryMb() / kind.memoryMb());
    }
}
