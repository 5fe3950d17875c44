package pearladder.writebuffer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.TimeSpan;

/**
 * What becomes of entries on their way to the disk. It is called through on(now, event): what happened goes in, what is to
 * be done comes out.
 *
 * Entries are gathered for a short time and written together, so that what a crash can lose is bounded by gathering and one
 * write. A disk that can't follow costs details first, then everything; a call never waits for it. An order that a ration
 * limits goes out only when its record is safe, or a restart would not count it; one that would wait longer than the
 * loss window is withheld, since orders put off would come in one heap that no ration allows.
 */
public final class WriteBuffer {
    private record Awaited(String order, long after, MonotonicTime until) {}

    private static final TimeSpan FIRST_PAUSE = TimeSpan.millis(100);
    private static final TimeSpan LONGEST_PAUSE = TimeSpan.seconds(2);
    private static final int SLOW = 3;
    private static final TimeSpan IN_TIME = TimeSpan.seconds(5);

    private final TimeSpan gather;
    private final TimeSpan window;
    private final int most;
    private final int atOnce;
    private final ArrayDeque<Awaited> awaited = new ArrayDeque<>();
    private MonotonicTime now = new MonotonicTime(0);
    private List<WriteBufferAction> todo = new ArrayList<>();
    private long came;
    private long safe;
    private int writing;
    private long leftOut;
    private long facts;
    private MonotonicTime notBefore;
    private TimeSpan pause = FIRST_PAUSE;
    private boolean failing;
    private boolean late;
    private int slowInARow;
    private MonotonicTime slowAt = new MonotonicTime(0);
    private boolean stopping;

    /**
     * @param gather entries for so long before they are written
     * @param window what a crash may lose, as time; an order waits no longer for its record
     * @param most entries held; details only up to half of it
     * @param atOnce entries in a batch
     */
    public WriteBuffer(TimeSpan gather, TimeSpan window, int most, int atOnce) {
        this.gather = gather;
        this.window = window;
        this.most = most;
        this.atOnce = atOnce;
    }

    /** What happened at a moment, and what is to be done. */
    public List<WriteBufferAction> on(MonotonicTime at, WriteBufferEvent event) {
        now = at;
        todo = new ArrayList<>();
        if (event instanceof WriteBufferEvent.Came entry) {
            came(entry);
        } else if (event instanceof WriteBufferEvent.Written written && writing > 0) {
            written(written);
        } else if (event instanceof WriteBufferEvent.Failed failed && writing > 0) {
            failed(failed);
        } else if (event instanceof WriteBufferEvent.Due) {
            withholdLate();
            write();
        } else if (event instanceof WriteBufferEvent.Stopping) {
            stopping = true;
            notBefore = now;
            write();
        }
        return todo;
    }

    /** Entries taken and not yet safe. */
    public int held() {
        return (int) (came - safe);
    }

    /** Whether the disk refused the last batch. */
    public boolean failing() {
        return failing;
    }

    private void came(WriteBufferEvent.Came entry) {
        boolean out = held() >= (entry.detail() ? most / 2 : most) || entry.detail() && failing;
        if (out) {
            leftOut++;
            facts += entry.detail() ? 0 : 1;
            todo.add(new WriteBufferAction.LeaveOut());
            if (!entry.order().isEmpty()) {
                todo.add(new WriteBufferAction.Withhold(
                        entry.order(), "more than " + most + " entries wait for the disk"));
            }
            return;
        }
        todo.add(new WriteBufferAction.Take());
        came++;
        if (!entry.order().isEmpty()) {
            if (failing) {
                todo.add(new WriteBufferAction.Withhold(entry.order(), "its record can't be kept"));
            } else {
                awaited.add(new Awaited(entry.order(), came, now.plus(window)));
                todo.add(new WriteBufferAction.Wake(window));
            }
        }
        if (held() == 1) {
            notBefore = now.plus(gather);
            todo.add(new WriteBufferAction.Wake(gather));
        } else if (held() >= atOnce && !failing) {
            notBefore = now;
            write();
        }
    }

    private void write() {
        if (writing == 0 && held() > 0 && !now.isBefore(notBefore)) {
            writing = Math.min(atOnce, held());
            todo.add(new WriteBufferAction.Write(writing));
        }
    }

    private void written(WriteBufferEvent.Written written) {
        safe += writing;
        writing = 0;
        pause = FIRST_PAUSE;
        if (failing) {
            failing = false;
            todo.add(new WriteBufferAction.Log(String.format(
                    Locale.ROOT,
                    "records are kept again: %d entries were left out, %d of them" + " no details",
                    leftOut,
                    facts)));
        }
        lateOrNot(written.took());
        withholdLate();
        while (!awaited.isEmpty() && awaited.peek().after() <= safe) {
            todo.add(new WriteBufferAction.Go(awaited.poll().order()));
        }
        if (leftOut > 0 && held() < most / 2) {
            todo.add(new WriteBufferAction.TellLeftOut(leftOut));
            leftOut = 0;
            facts = 0;
        }
        if (held() > 0) {
            boolean soon = stopping || late || held() >= atOnce;
            notBefore = soon ? now : now.plus(gather);
            write();
            if (!soon) {
                todo.add(new WriteBufferAction.Wake(gather));
            }
        }
    }

    /** One slow write is no mode; several in a row are, until none was slow for a while. */
    private void lateOrNot(TimeSpan took) {
        boolean slow = took.plus(gather).isLongerThan(window);
        slowInARow = slow ? slowInARow + 1 : 0;
        slowAt = slow ? now : slowAt;
        boolean mode = late
                ? slowAt.plus(IN_TIME).compareTo(now) > 0
                : slowInARow >= SLOW || took.isLongerThan(window.times(SLOW));
        if (mode != late) {
            late = mode;
            todo.add(new WriteBufferAction.Log(String.format(
                    Locale.ROOT,
                    "records are written %s: %d ms a batch, %d entries wait",
                    late ? "late" : "in time again",
                    took.toMillis(),
                    held())));
        }
    }

    private void failed(WriteBufferEvent.Failed failed) {
        writing = 0;
        if (!failing) {
            failing = true;
            todo.add(new WriteBufferAction.Log(String.format(
                    Locale.ROOT,
                    "records can't be kept (%s): %d entries wait, details are" + " left out, orders are withheld",
                    failed.why(),
                    held())));
        }
        while (!awaited.isEmpty()) {
            todo.add(new WriteBufferAction.Withhold(awaited.poll().order(), "its record can't be kept"));
        }
        notBefore = now.plus(pause);
        todo.add(new WriteBufferAction.Wake(pause));
        pause = pause.times(2).atMost(LONGEST_PAUSE);
    }

    /** The disk may stand still without an answer: an order doesn't wait for it. */
    private void withholdLate() {
        while (!awaited.isEmpty() && !now.isBefore(awaited.peek().until())) {
            todo.add(new WriteBufferAction.Withhold(awaited.poll().order(), "its record came too late"));
        }
    }
}
