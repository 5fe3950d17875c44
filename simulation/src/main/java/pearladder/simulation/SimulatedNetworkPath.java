package pearladder.simulation;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pearladder.emulator.Timeline;
import pearladder.emulator.WorkerModel;

/**
 * The way between all routers and one worker on the virtual network. A message takes the delay each way. While a
 * direction is cut, messages wait, as their sender would go on retransmitting them, and are delivered in order once
 * it is restored.
 */
final class SimulatedNetworkPath {
    /** An exchange on a connection to this worker. */
    interface Exchange {
        /** Its connection was reset. */
        void onReset();
    }

    final WorkerModel worker;
    final String zone;
    private final Timeline time;
    private final long delayNanos;
    private final Set<Exchange> exchanges = new LinkedHashSet<>();
    private final List<Runnable> heldToWorker = new ArrayList<>();
    private final List<Runnable> heldToRouters = new ArrayList<>();
    private int generation;
    private boolean cutToWorker;
    private boolean cutToRouters;
    private boolean paused;
    private boolean notAccepting;
    private boolean hanging;
    private boolean truncating;
    private boolean misnaming;

    SimulatedNetworkPath(Timeline time, long delayNanos, WorkerModel worker, String zone) {
        this.time = time;
        this.delayNanos = delayNanos;
        this.worker = worker;
        this.zone = zone;
    }

    /** Sends a message to the worker. */
    void sendToWorker(Runnable delivery) {
        time.after(delayNanos, () -> {
            if (cutToWorker || paused) {
                heldToWorker.add(delivery);
            } else {
                delivery.run();
            }
        });
    }

    /** Sends a message to a router. */
    void sendToRouter(Runnable delivery) {
        if (cutToRouters || paused) {
            heldToRouters.add(delivery);
        } else {
            time.after(delayNanos, delivery);
        }
    }

    /** Whether an attempt to connect gets an answer at all, be it a refusal. */
    boolean answersConnects() {
        return !cutToWorker && !cutToRouters && !notAccepting;
    }

    boolean isHanging() {
        return hanging;
    }

    boolean isMisnamingModels() {
        return misnaming;
    }

    boolean isTruncatingResponses() {
        return truncating;
    }

    /** Cuts or restores the two directions. */
    void setCut(boolean toWorker, boolean toRouters) {
        cutToWorker = toWorker;
        cutToRouters = toRouters;
        deliverHeld();
    }

    /** Pauses the whole process, or continues it; its kernel goes on accepting connections. */
    void setPaused(boolean on) {
        paused = on;
        worker.setPaused(on);
        deliverHeld();
    }

    /** New connections wait for ever, while existing ones go on. */
    void setNotAccepting(boolean on) {
        notAccepting = on;
    }

    /** The worker accepts and reads, and never responds. */
    void setHanging(boolean on) {
        hanging = on;
    }

    /** The worker breaks off its responses. */
    void setTruncatingResponses(boolean on) {
        truncating = on;
    }

    /** The worker responds for another model than it was asked for. */
    void setMisnamingModels(boolean on) {
        misnaming = on;
    }

    private void deliverHeld() {
        if (!cutToWorker && !paused) {
            List<Runnable> deliveries = List.copyOf(heldToWorker);
            heldToWorker.clear();
            deliveries.forEach(Runnable::run);
        }
        if (!cutToRouters && !paused) {
            List<Runnable> deliveries = List.copyOf(heldToRouters);
            heldToRouters.clear();
            deliveries.forEach(delivery -> time.after(delayNanos, delivery));
        }
    }

    /** The exchange is notified of resets from now on. */
    void register(Exchange exchange) {
        exchanges.add(exchange);
    }

    void unregister(Exchange exchange) {
        exchanges.remove(exchange);
    }

    /** How often all connections were reset: an idle connection of an earlier generation no longer exists. */
    int generation() {
        return generation;
    }

    /** Resets every connection; the other side learns of it after the delay. */
    void resetConnections() {
        generation++;
        List<Exchange> reset = List.copyOf(exchanges);
        exchanges.clear();
        heldToRouters.clear();
        reset.forEach(exchange -> time.after(delayNanos, exchange::onReset));
    }

    /** The worker's process dies. */
    void crash() {
        worker.crash();
        hanging = false;
        truncating = false;
        misnaming = false;
        paused = false;
        heldToWorker.clear();
        resetConnections();
    }
}
