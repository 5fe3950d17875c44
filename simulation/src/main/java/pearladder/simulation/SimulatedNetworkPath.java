package pearladder.simulation;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pearladder.emulator.Timeline;
import pearladder.emulator.WorkerModel;

/**
 * Network path between all routers and one worker on the virtual network. Each message takes the one-way delay. While
 * a direction is cut, messages are held, since a real sender would retransmit them, and are delivered in order once
 * the direction is restored.
 */
final class SimulatedNetworkPath {
    /** An exchange on a connection to this worker. */
    interface Exchange {
        /** Handles a reset of the exchange's connection. */
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

    /** Returns whether a connection attempt is answered, either accepted or refused. */
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

    /** Cuts or restores each of the two directions. */
    void setCut(boolean toWorker, boolean toRouters) {
        cutToWorker = toWorker;
        cutToRouters = toRouters;
        deliverHeld();
    }

    /** Pauses or resumes the worker's process; its kernel still accepts connections during a pause. */
    void setPaused(boolean on) {
        paused = on;
        worker.setPaused(on);
        deliverHeld();
    }

    /** Sets whether new connection attempts hang while existing connections keep working. */
    void setNotAccepting(boolean on) {
        notAccepting = on;
    }

    /** Sets whether the worker accepts connections and reads requests but never responds. */
    void setHanging(boolean on) {
        hanging = on;
    }

    /** Sets whether the worker truncates its responses. */
    void setTruncatingResponses(boolean on) {
        truncating = on;
    }

    /** Sets whether the worker's responses name a model other than the requested one. */
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

    /** Registers an exchange to be notified of connection resets. */
    void register(Exchange exchange) {
        exchanges.add(exchange);
    }

    void unregister(Exchange exchange) {
        exchanges.remove(exchange);
    }

    /** Returns the number of resets so far; an idle connection of an earlier generation no longer exists. */
    int generation() {
        return generation;
    }

    /** Resets every connection; the routers are notified after the network delay. */
    void resetConnections() {
        generation++;
        List<Exchange> reset = List.copyOf(exchanges);
        exchanges.clear();
        heldToRouters.clear();
        reset.forEach(exchange -> time.after(delayNanos, exchange::onReset));
    }

    /** Crashes the worker's process: process faults and pauses end, and all connections are reset. */
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
