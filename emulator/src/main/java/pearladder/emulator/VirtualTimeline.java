package pearladder.emulator;

import java.util.PriorityQueue;

/** Virtual time, which moves only from one task to the next; tasks of the same moment run in the order scheduled. */
public final class VirtualTimeline implements Timeline {
    private static final class Task implements ScheduledTask, Comparable<Task> {
        final long at;
        final long sequence;
        /** Null once cancelled; the entry stays in the queue until its time. */
        Runnable action;

        Task(long at, long sequence, Runnable action) {
            this.at = at;
            this.sequence = sequence;
            this.action = action;
        }

        @Override
        public void cancel() {
            action = null;
        }

        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Task> queue = new PriorityQueue<>();
    private long now;
    private long nextSequence;
    private long executedTasks;

    @Override
    public long now() {
        return now;
    }

    @Override
    public ScheduledTask at(long nanos, Runnable action) {
        Task task = new Task(Math.max(now, nanos), nextSequence++, action);
        queue.add(task);
        return task;
    }

    /** Returns the number of tasks that have run, without cancelled ones. */
    public long executedTasks() {
        return executedTasks;
    }

    /** Runs all tasks due up to and including a time in nanoseconds, and advances the clock to it. */
    public void advanceTo(long nanos) {
        while (!queue.isEmpty() && queue.peek().at <= nanos) {
            Task task = queue.poll();
            now = task.at;
            if (task.action != null) {
                executedTasks++;
                task.action.run();
            }
        }
        now = Math.max(now, nanos);
    }
}
