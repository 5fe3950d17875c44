package pearladder.simulation;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pearladder.emulator.Timeline;
import pearladder.emulator.WorkerModel;

/**
 * An engine's place on the virtual network. A message takes the delay each way; while a way is cut what was sent waits, as
 * the machine that sent it would go on sending, and comes through when the way is mended, in its order.
 */
final class SimulatedNetworkPath {
    /** Something that waits for this engine and is told when its connection breaks. */
    interface Attached {
        void broke();
    }

    final WorkerModel engine;
    final String hall;
    private final Timeline time;
    private final long delay;
    private final Set<Attached> attached = new LinkedHashSet<>();
    private final List<Runnable> heldIn = new ArrayList<>();
    private final List<Runnable> heldOut = new ArrayList<>();
    private int generation;
    private boolean cutIn;
    private boolean cutOut;
    private boolean paused;
    private boolean deaf;
    private boolean hung;
    private boolean garbling;
    private boolean misnaming;

    SimulatedNetworkPath(Timeline time, long delay, WorkerModel engine, String hall) {
        this.time = time;
        this.delay = delay;
        this.engine = engine;
        this.hall = hall;
    }

    /** A message reaches the engine. */
    void in(Runnable what) {
        time.after(delay, () -> {
            if (cutIn || paused) {
                heldIn.add(what);
            } else {
                what.run();
            }
        });
    }

    /** A message reaches a router. */
    void out(Runnable what) {
        if (cutOut || paused) {
            heldOut.add(what);
        } else {
            time.after(delay, what);
        }
    }

    /** Whether a new connection is answered at all. */
    boolean accepts() {
        return !cutIn && !cutOut && !deaf;
    }

    boolean hung() {
        return hung;
    }

    boolean misnaming() {
        return misnaming;
    }

    void misname(boolean on) {
        misnaming = on;
    }

    boolean garbling() {
        return garbling;
    }

    void cut(boolean in, boolean out) {
        cutIn = in;
        cutOut = out;
        mend();
    }

    /** The whole process stands still; its kernel goes on accepting. */
    void pause(boolean on) {
        paused = on;
        engine.setPaused(on);
        mend();
    }

    void deaf(boolean on) {
        deaf = on;
    }

    void hang(boolean on) {
        hung = on;
    }

    void garble(boolean on) {
        garbling = on;
    }

    private void mend() {
        if (!cutIn && !paused) {
            List<Runnable> in = List.copyOf(heldIn);
            heldIn.clear();
            in.forEach(Runnable::run);
        }
        if (!cutOut && !paused) {
            List<Runnable> out = List.copyOf(heldOut);
            heldOut.clear();
            out.forEach(what -> time.after(delay, what));
        }
    }

    void attach(Attached one) {
        attached.add(one);
    }

    void detach(Attached one) {
        attached.remove(one);
    }

    /** Counts how often every connection to it broke: one that was kept from before is none any more. */
    int generation() {
        return generation;
    }

    /** Every connection breaks; the other side learns of it after the delay. */
    void reset() {
        generation++;
        List<Attached> all = List.copyOf(attached);
        attached.clear();
        heldOut.clear();
        all.forEach(one -> time.after(delay, one::broke));
    }

    /** The process dies. */
    void die() {
        engine.crash();
        hung = false;
        garbling = false;
        misnaming = false;
        paused = false;
        heldIn.clear();
        reset();
    }
}
