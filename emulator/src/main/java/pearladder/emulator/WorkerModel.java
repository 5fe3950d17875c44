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
    /** An instance as listed in the worker's model index. */
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

    /** Creates a running worker without instances or requests. */
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

    /** Returns the id of the worker, unique in the fleet. */
    public String id() {
        return id;
    }

    /** Returns whether the worker's process is running. */
    public boolean isUp() {
        return up;
    }

    /** Returns whether the worker finishes the requests that it holds and rejects new ones. */
    public boolean isDraining() {
        return draining;
    }

    /** Rejects new requests from now on and finishes those that the worker holds. */
    public void drain() {
        draining = true;
    }

    /** Divides the speed of the cores by a factor, at least 1. */
    public void setSlowdown(double factor) {
        cores.setSlowdown(factor);
    }

    /** Pauses or resumes all running requests. */
    public void setPaused(boolean on) {
        cores.setPaused(on);
    }

    /** Fails a share of the arriving requests, 0 to 1, immediately. */
    public void setFailureShare(double share) {
        failureShare = share;
    }

    /** Drops a share of the replies to load requests, 0 to 1; the loads are still carried out. */
    public void setLostLoadReplyShare(double share) {
        lostLoadReplyShare = share;
    }

    /** Leaks memory at a rate in MB per second. A rate of 0 stops the leak; only a restart frees the leaked memory. */
    public void setMemoryLeak(double mbPerSecond) {
        instances.leak().setRate(mbPerSecond);
    }

    /** Delays the content of the load reports by a time in nanoseconds. */
    public void setReportDelay(long nanos) {
        reporter.setDelay(nanos);
    }

    /** Ends the process: all requests and instances are lost, and no request gets a reply. */
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

    /** Restarts the process without instances, cold and without faults. */
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

    /** Invalidates the instances and cached images of the models that match the pattern, as a new release does. */
    public void invalidateModels(String pattern) {
        instances.invalidate(pattern);
    }

    /**
     * Submits a request. The reply follows later, or never if the worker crashes first.
     *
     * @return a handle on the request, or null if it has been replied to already or the worker is down
     */
    public PendingRequest submit(WorkerRequest request, Consumer<WorkerReply> replyTo) {
        if (!up) {
            return null;
        }
        ModelKind model = environment.models().apply(request.model());
        observer.attempt(Observation.ARRIVED, request, request.idempotencyKey());
        double work = workOf(request, model);
        if (crashIfOverloaded(work)) {
            return null;
        }
        if (model == null) {
            return reject(request, WorkerOutcome.ABSENT, replyTo);
        }
        int concurrentRequests = heldRequestsFor(request.model());
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
        long requestedNanos = request.workNanos() > 0 ? request.workNanos() : model.workNanos();
        return requestedNanos * model.workMultiplier();
    }

    /** Crashes a cold worker if this work overloads it; returns whether it did. */
    private boolean crashIfOverloaded(double work) {
        OptionalDouble overload = warmUp.recordWork(work);
        overload.ifPresent(multiple -> {
            observer.crashedFromOverload(multiple);
            crash();
        });
        return overload.isPresent();
    }

    private int heldRequestsFor(String model) {
        return (int) Stream.concat(cores.running().stream(), queue.stream())
                .filter(pending -> pending.request.model().equals(model))
                .count();
    }

    /** Runs the request, or queues it and starts a load of its model if needed; returns null if it is rejected. */
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
        if (!present || kind.autoscales() && !loading) {
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

    /** Replies, without running the request, to a duplicate whose idempotency key has already run. */
    private void replyToDuplicate(WorkerRequest request, int concurrentRequests, Consumer<WorkerReply> replyTo) {
        observer.attempt(Observation.DUPLICATE_DROPPED, request, request.idempotencyKey());
        replyTo.accept(new WorkerReply(WorkerOutcome.OK, InstanceState.STOOD, concurrentRequests, 0, report()));
    }

    private void run(PendingRequest pending, ModelInstance instance) {
        WorkerRequest request = pending.request;
        if (environment.idempotencyCache().contains(request.idempotencyKey())) {
            // While this request was queued, a duplicate ran on another worker of the idempotency group.
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

    /** Assigns free slots to queued requests, oldest first, and starts loads for models without an instance. */
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

    /** Updates the queue when a load ends. */
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
     * Requests that the worker hold {@code wantedInstances} instances of a model. The reply follows once they are
     * ready or cannot become ready. The idle timeout of the model's idle instances starts again.
     */
    public void loadInstances(String router, String model, int wantedInstances, Consumer<WorkerReply> replyTo) {
        if (!up) {
            return;
        }
        boolean replyLost = lostLoadReplyShare > 0 && random.nextDouble() < lostLoadReplyShare;
        observer.loadRequested(router, model, wantedInstances);
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
            new LoadRequest(instances, model, modelKind, wantedInstances, onEnded).start();
        }
    }

    /** Unloads the idle instances of a model. */
    public void unload(String model) {
        instances.unloadIdle(model);
    }

    /** Returns the number of ready instances of a model's current release. */
    public int readyInstances(String model) {
        return instances.readyCount(model);
    }

    /** Lists all instances, ready and loading. */
    public List<IndexEntry> index() {
        return instances.instances().stream()
                .map(instance -> new IndexEntry(instance.model, instance.ready))
                .toList();
    }

    /** Returns the number of running and queued requests. */
    public int heldRequests() {
        return cores.count() + queue.size();
    }

    /** Returns the memory in MB taken by instances, ready and loading, and by a leak. */
    public double usedMemoryMb() {
        return instances.usedMemoryMb();
    }

    /** Returns the load report, measured at intervals with noise, and delayed by {@link #setReportDelay}. */
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
