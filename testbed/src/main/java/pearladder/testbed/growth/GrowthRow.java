package pearladder.testbed.growth;

import java.util.Locale;

/**
 * Resource use of a router with one fleet size.
 *
 * @param workers number of workers in the fleet
 * @param readyMillis time from the start of the process until it reported that it is ready
 * @param cpuSeconds CPU time of the process from its start to the end of the traffic
 * @param peakMemoryMb peak resident memory
 * @param descriptors highest number of open file descriptors
 * @param connections number of connections made to workers
 * @param listKilobytes size of discovery's responses while it published changes
 * @param servedShare share of the requests that were served
 * @param longestStallMillis longest event-loop stall under traffic; zero if none exceeded 100 ms
 * @param decisionMicros mean CPU time of a call of the routing policy, measured separately
 */
public record GrowthRow(
        int workers,
        long readyMillis,
        double cpuSeconds,
        long peakMemoryMb,
        int descriptors,
        int connections,
        long listKilobytes,
        double servedShare,
        long longestStallMillis,
        double decisionMicros) {
    /** Returns the heading of the table. */
    public static String heading() {
        return String.format(
                Locale.ROOT,
                "%7s %9s %6s %10s %12s %12s %9s %7s %15s %13s",
                "workers",
                "ready ms",
                "CPU s",
                "memory MB",
                "descriptors",
                "connections",
                "lists KB",
                "served",
                "longest turn ms",
                "us a decision");
    }

    /** Formats this row of the table. */
    public String line() {
        return String.format(
                Locale.ROOT,
                "%7d %9d %6.2f %10d %12d %12d %9d %7.3f %15d %13.1f",
                workers,
                readyMillis,
                cpuSeconds,
                peakMemoryMb,
                descriptors,
                connections,
                listKilobytes,
                servedShare,
                longestStallMillis,
                decisionMicros);
    }
}
