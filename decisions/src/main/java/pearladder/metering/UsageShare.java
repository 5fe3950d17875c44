package pearladder.metering;

/**
 * A tenant's share of the memory that a model held on a worker in an interval.
 *
 * @param tenant the tenant; empty if no tenant's request ever needed the instances
 * @param model the model
 * @param worker the worker that held the model
 * @param intervalStartMillis start of the interval by the wall clock, milliseconds since 1970
 * @param megabyteMillis memory usage, megabytes times milliseconds
 * @param loads number of loads that were started for the tenant in the interval
 * @param workMicros time that the tenant's requests ran there in the interval, microseconds
 */
public record UsageShare(
        String tenant,
        String model,
        String worker,
        long intervalStartMillis,
        long megabyteMillis,
        int loads,
        long workMicros) {}
