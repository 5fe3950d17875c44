package pearladder.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import pearladder.kserve.Route;

/**
 * The model instances in a worker's memory: loads them through the model store, unloads idle ones after a time or
 * to make room for others. The instances never take more memory than the worker has.
 */
final class InstancePool {
    /** Notified when a load has ended. */
    interface Listener {
        /** A load failed and the model has no other instance, ready or loading. */
        void onModelUnavailable(String model);

        /** A load ended, whether it succeeded or not; instances and memory may be free. */
        void onLoadEnded();
    }

    private final Timeline time;
    private final WorkerKind kind;
    private final ModelStore modelStore;
    private final WorkerObserver observer;
    private final Listener listener;
    private final MemoryLeak leak;
    private final List<ModelInstance> instances = new ArrayList<>();
    private final ArrayDeque<ModelInstance> loadQueue = new ArrayDeque<>();
    private final Set<String> cachedImages = new HashSet<>();
    private int activeLoads;
    /** Counts the process's deaths: what a load of an earlier incarnation brings is dropped. */
    private int incarnation;

    InstancePool(WorkerEnvironment environment, WorkerKind kind, WorkerObserver observer, Listener listener) {
        this.time = environment.time();
        this.modelStore = environment.modelStore();
        this.kind = kind;
        this.observer = observer;
        this.listener = listener;
        this.leak = new MemoryLeak(time);
    }

    MemoryLeak leak() {
        return leak;
    }

    /** All instances, ready and loading. */
    List<ModelInstance> instances() {
        return List.copyOf(instances);
    }

    /** The instances of the model's current release, ready and loading. */
    List<ModelInstance> current(String model) {
        return instances.stream().filter(one -> one.isCurrent(model)).toList();
    }

    boolean hasCurrent(String model) {
        return instances.stream().anyMatch(one -> one.isCurrent(model));
    }

    boolean isLoading(String model) {
        return instances.stream().anyMatch(one -> one.isLoading(model));
    }

    int readyCount(String model) {
        return (int) instances.stream()
                .filter(one -> one.ready && one.isCurrent(model))
                .count();
    }

    /** Loads that run or wait for a loader. */
    int pendingLoads() {
        return activeLoads + loadQueue.size();
    }

    /** The ready instance with a free slot that runs the fewest requests, or null. */
    ModelInstance leastBusyWithFreeSlot(String model) {
        ModelInstance best = null;
        for (ModelInstance instance : instances) {
            if (instance.hasFreeSlot(model) && (best == null || instance.runningRequests < best.runningRequests)) {
                best = instance;
            }
        }
        return best;
    }

    /** Memory that instances, ready and loading, and the leak take. */
    double usedMemoryMb() {
        return leak.lostMb() + memoryMbOf(instance -> true);
    }

    /** Memory of the instances that can't be unloaded now. */
    double pinnedMemoryMb() {
        return memoryMbOf(instance -> !instance.isIdle());
    }

    private double memoryMbOf(Predicate<ModelInstance> which) {
        return instances.stream()
                .filter(which)
                .mapToDouble(instance -> instance.kind.memoryMb())
                .sum();
    }

    /** Starts a load, unloading idle instances where memory is short; null where there is not enough. */
    ModelInstance load(String model, ModelKind modelKind) {
        double freeMb = kind.memoryMb() - usedMemoryMb();
        double idleMb = memoryMbOf(ModelInstance::isIdle);
        if (freeMb + idleMb < modelKind.memoryMb()) {
            return null;
        }
        makeRoom(modelKind.memoryMb());
        ModelInstance instance = new ModelInstance(model, modelKind);
        instances.add(instance);
        loadQueue.add(instance);
        startQueuedLoads();
        return instance;
    }

    /** Unloads idle instances, the longest idle first, until so much memory is free or none is left. */
    private void makeRoom(double neededMb) {
        while (kind.memoryMb() - usedMemoryMb() < neededMb && instances.stream().anyMatch(ModelInstance::isIdle)) {
            instances.stream()
                    .filter(ModelInstance::isIdle)
                    .min(Comparator.comparingLong(instance -> instance.idleSince))
                    .ifPresent(this::unload);
        }
    }

    private void startQueuedLoads() {
        while (activeLoads < kind.concurrentLoads() && !loadQueue.isEmpty()) {
            startLoad(loadQueue.poll());
        }
    }

    private void startLoad(ModelInstance instance) {
        activeLoads++;
        instance.loadStartedAt = time.now();
        instance.fetchedAt = time.now();
        int startedBy = incarnation;
        if (kind.cachesImages() && cachedImages.contains(instance.model)) {
            startInstance(instance, startedBy);
            return;
        }
        modelStore.fetch(instance.kind.fetchNanos(), fetched -> {
            instance.fetchedAt = time.now();
            if (incarnation == startedBy && fetched) {
                cachedImages.add(instance.model);
                startInstance(instance, startedBy);
            } else {
                onLoadEnded(instance, false, startedBy);
            }
        });
    }

    private void startInstance(ModelInstance instance, int startedBy) {
        time.after(instance.kind.startNanos(), () -> onLoadEnded(instance, true, startedBy));
    }

    private void onLoadEnded(ModelInstance instance, boolean fetched, int startedBy) {
        if (incarnation != startedBy) {
            return;
        }
        activeLoads--;
        boolean succeeded = fetched && !instance.stale;
        String failure = succeeded ? "" : fetched ? "released anew" : "no image";
        observer.loadEnded(instance.model, failure, instance.fetchShare(time.now()));
        if (succeeded) {
            instance.ready = true;
            startIdleTimer(instance);
        } else {
            instances.remove(instance);
        }
        List.copyOf(instance.loadListeners).forEach(loadListener -> loadListener.accept(succeeded));
        if (!succeeded && !hasCurrent(instance.model)) {
            listener.onModelUnavailable(instance.model);
        }
        startQueuedLoads();
        listener.onLoadEnded();
    }

    /** A request begins to run on an instance. */
    void occupySlot(ModelInstance instance) {
        instance.runningRequests++;
    }

    /** A request on an instance has ended. */
    void releaseSlot(ModelInstance instance) {
        instance.runningRequests--;
        if (instance.runningRequests > 0) {
            return;
        }
        if (instance.stale) {
            unload(instance);
        } else {
            startIdleTimer(instance);
        }
    }

    /** Starts anew the time after which an idle instance is unloaded. */
    void startIdleTimer(ModelInstance instance) {
        instance.idleSince = time.now();
        long idleSince = instance.idleSince;
        time.after(kind.idleTimeoutNanos(), () -> {
            if (instance.runningRequests == 0 && instance.idleSince == idleSince) {
                unload(instance);
            }
        });
    }

    private void unload(ModelInstance instance) {
        if (instances.remove(instance)) {
            observer.unloaded(1);
        }
    }

    /** Unloads the idle instances of a model. */
    void unloadIdle(String model) {
        instances.stream()
                .filter(instance -> instance.model.equals(model) && instance.isIdle())
                .toList()
                .forEach(this::unload);
    }

    /** A new release of the models that match: their instances and images are void. */
    void invalidate(String pattern) {
        cachedImages.removeIf(model -> Route.matches(pattern, model));
        for (ModelInstance instance : List.copyOf(instances)) {
            if (Route.matches(pattern, instance.model)) {
                instance.stale = true;
                if (instance.isIdle()) {
                    unload(instance);
                }
            }
        }
    }

    /** The process dies: instances, images and loads are lost. */
    void clear() {
        incarnation++;
        observer.unloaded(instances.stream().filter(instance -> instance.ready).count());
        instances.clear();
        loadQueue.clear();
        cachedImages.clear();
        activeLoads = 0;
    }
}
