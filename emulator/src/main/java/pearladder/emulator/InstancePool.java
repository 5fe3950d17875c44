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
 * The model instances in a worker's memory. Loads instances through the model store and unloads idle ones after a
 * timeout or to free memory for others. The instances never take more memory than the worker has.
 */
final class InstancePool {
    /** Notified when a load has ended. */
    interface Listener {
        /** A load failed and the model has no other instance, ready or loading. */
        void onModelUnavailable(String model);

        /** A load succeeded or failed; slots or memory may have become free. */
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
    /** Number of crashes so far; the results of loads started in an earlier incarnation are dropped. */
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

    /** Lists all instances, ready and loading. */
    List<ModelInstance> instances() {
        return List.copyOf(instances);
    }

    /** Lists the instances of the model's current release, ready and loading. */
    List<ModelInstance> current(String model) {
        return instances.stream().filter(instance -> instance.isCurrent(model)).toList();
    }

    boolean hasCurrent(String model) {
        return instances.stream().anyMatch(instance -> instance.isCurrent(model));
    }

    boolean isLoading(String model) {
        return instances.stream().anyMatch(instance -> instance.isLoading(model));
    }

    int readyCount(String model) {
        return (int) instances.stream()
                .filter(instance -> instance.ready && instance.isCurrent(model))
                .count();
    }

    /** Returns the number of loads that are running or queued. */
    int pendingLoads() {
        return activeLoads + loadQueue.size();
    }

    /** Returns the ready instance with a free slot that runs the fewest requests, or null if there is none. */
    ModelInstance leastBusyWithFreeSlot(String model) {
        ModelInstance best = null;
        for (ModelInstance instance : instances) {
            if (instance.hasFreeSlot(model) && (best == null || instance.runningRequests < best.runningRequests)) {
                best = instance;
            }
        }
        return best;
    }

    /** Returns the memory taken by instances, ready and loading, and by the leak. */
    double usedMemoryMb() {
        return leak.leakedMb() + memoryMbOf(instance -> true);
    }

    /** Returns the memory of the instances that cannot be unloaded now, being loading or in use. */
    double pinnedMemoryMb() {
        return memoryMbOf(instance -> !instance.isIdle());
    }

    private double memoryMbOf(Predicate<ModelInstance> filter) {
        return instances.stream()
                .filter(filter)
                .mapToDouble(instance -> instance.kind.memoryMb())
                .sum();
    }

    /** Starts a load, unloading idle instances if needed; returns null if there is not enough memory. */
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

    /** Unloads idle instances, the longest idle first, until {@code neededMb} is free or none is left. */
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
        int loadIncarnation = incarnation;
        if (kind.cachesImages() && cachedImages.contains(instance.model)) {
            startInstance(instance, loadIncarnation);
            return;
        }
        modelStore.fetch(instance.kind.fetchNanos(), fetched -> {
            instance.fetchedAt = time.now();
            if (incarnation == loadIncarnation && fetched) {
                cachedImages.add(instance.model);
                startInstance(instance, loadIncarnation);
            } else {
                onLoadEnded(instance, false, loadIncarnation);
            }
        });
    }

    private void startInstance(ModelInstance instance, int loadIncarnation) {
        time.after(instance.kind.startNanos(), () -> onLoadEnded(instance, true, loadIncarnation));
    }

    private void onLoadEnded(ModelInstance instance, boolean fetched, int loadIncarnation) {
        if (incarnation != loadIncarnation) {
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

    /** Counts a request that starts to run on an instance. */
    void occupySlot(ModelInstance instance) {
        instance.runningRequests++;
    }

    /** Counts a request that has ended on an instance. */
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

    /** Restarts the timeout after which an idle instance is unloaded. */
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

    /** Invalidates the instances and cached images of the models that match, as a new release does. */
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

    /** Drops all instances, images and loads, as a crash of the process does. */
    void clear() {
        incarnation++;
        observer.unloaded(instances.stream().filter(instance -> instance.ready).count());
        instances.clear();
        loadQueue.clear();
        cachedImages.clear();
        activeLoads = 0;
    }
}
