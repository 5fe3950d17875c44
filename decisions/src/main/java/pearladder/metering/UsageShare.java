package pearladder.metering;

/**
 * What an account bears of a model's memory on an engine in an interval.
 *
 * @param account empty where nobody's call ever asked for the copies
 * @param from beginning of the interval, wall clock, milliseconds
 * @param amount megabytes times milliseconds
 * @param loads begun in the interval for it
 * @param work of its calls there in the interval, microseconds
 */
public record UsageShare(String account, String model, String engine, long from, long amount, int loads, long work) {}
