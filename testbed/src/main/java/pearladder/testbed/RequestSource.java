package pearladder.testbed;

/** Where a day's calls come from, in the order of their moments. */
public interface RequestSource {
    /**
     * One call.
     *
     * @param due so many nanoseconds after the day's start
     * @param work on a standard core, in nanoseconds
     * @param patience the share of the abandon time that each try is given
     */
    record Drawn(
            long due,
            long number,
            String category,
            String account,
            String model,
            String hall,
            long work,
            double patience) {}

    /** The next call, or null once there are no more. */
    Drawn next();
}
