package pearladder.state;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pearladder.api.Event.Standing;
import pearladder.api.Moment;
import pearladder.api.Span;

/** A worker as this router knows it: what the list said, and the ledger of what was sent and heard. */
public final class Worker {
    public final String id;
    public final long[] marks;
    public boolean onRing;
    public String zone;
    public long cell;
    public Standing standing = Standing.IN_SERVICE;
    public Moment since;
    public final Set<Leg> out = new LinkedHashSet<>();
    public final List<Place> places = new ArrayList<>();
    public final Decaying answers;
    public final Decaying slowness;
    public final Decaying failures;
    public final Decaying settled;
    public final Decaying strainSum;
    public final Decaying strainCount;
    public int coldOut;
    public double bearing;
    public Moment easedUntil;
    public Moment heard;
    public Moment sentAt;
    public Moment refusedUntil;
    public Moment asideUntil;
    public double coldCredit;
    public Moment coldCreditAt;
    public double loading;

    public Worker(String id, long[] marks, Span health, Span pace, Span strain) {
        this.id = id;
        this.marks = marks;
        this.answers = new Decaying(health);
        this.slowness = new Decaying(health);
        this.failures = new Decaying(health);
        this.settled = new Decaying(pace);
        this.strainSum = new Decaying(strain);
        this.strainCount = new Decaying(strain);
    }

    public void clearHealth() {
        answers.clear();
        slowness.clear();
        failures.clear();
    }

    /** The process is another one: nothing that was heard of it holds. */
    public void begunAnew() {
        clearHealth();
        settled.clear();
        asideUntil = null;
        heard = null;
        coldCreditAt = null;
    }

    /** Legs out that were believed to find their copy. */
    public int warmOut() {
        return out.size() - coldOut;
    }
}
