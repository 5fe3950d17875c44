package pearladder.cli;

import pearladder.metering.UsageShare;

/** Sums of memory-seconds, loads and work over usage shares. */
final class UsageSums {
    static final double MEGABYTE_MILLIS_PER_GIGABYTE_SECOND = 1e6;
    private static final double MICROS_PER_SECOND = 1e6;

    private long megabyteMillis;

    private long loads;
    private long workMicros;

    void add(UsageShare share) {
        megabyteMillis += share.megabyteMillis();
        loads += share.loads();
        workMicros += share.workMicros();
    }

    /** Memory-seconds, in whole megabyte-milliseconds so that sums stay exact. */
    long megabyteMillis() {
        return megabyteMillis;
    }

    long loads() {
        return loads;
    }

    long workMicros() {
        return workMicros;
    }

    double gigabyteSeconds() {
        return megabyteMillis / MEGABYTE_MILLIS_PER_GIGABYTE_SECOND;
    }

    double workSeconds() {
        return workMicros / MICROS_PER_SECOND;
    }
}
