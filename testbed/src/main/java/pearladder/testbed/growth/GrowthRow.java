package pearladder.testbed.growth;

import java.util.Locale;

/**
 * What a router needed with one size of fleet.
 *
 * @param workers workers of the fleet
 * @param readyMillis from the start of the process until it answered that it is ready
 * @param cpuSeconds of the process from its start to the end of the traffic
 * @param peakMemoryMb resident memory at its highest
 * @param descriptors open file descriptors at their highest
 * @param connections made to workers
 * @param listKilobytes of discovery's responses while it told changes
 * @param servedShare of the requests
 * @param longestTurnMillis the longest stall of the event loop under traffic; zero where none was over 100 ms
 * @param decisionMicros mean processor time of a call of the policy, measured apart
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
        long longestTurnMillis,
        double decisionMicros) {
    /** The heading of a table of rows. */
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

    /** The row of a table. */
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
                longestTurnMillis,
                decisionMicros);
    }
}
