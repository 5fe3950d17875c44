package pearladder.metering;

/** What a record tells of a model's copies on an engine; moments are the wall clock's, milliseconds. */
public sealed interface InstanceObservation {
    long at();

    /** Which router saw it; the same thing seen by two counts once. */
    String router();

    /** A load was begun, by an account's call or, where that is empty, by an order; it lasted for so many milliseconds. */
    record Loading(long at, String router, String engine, String model, String account, long lasting)
            implements InstanceObservation {}

    /** A load failed: nothing stands. */
    record LoadFailed(long at, String router, String engine, String model) implements InstanceObservation {}

    /** The engine said how many copies stand. */
    record Copies(long at, String router, String engine, String model, int copies) implements InstanceObservation {}

    /** An account's calls worked there, microseconds in all, the last of them at the moment. */
    record Worked(long at, String router, String engine, String model, String account, long micros)
            implements InstanceObservation {}

    /** The engine's process ended or began anew: what it held is gone. */
    record Gone(long at, String router, String engine) implements InstanceObservation {}

    /** A model's copies hold so many megabytes each, from the moment on. */
    record Memory(long at, String router, String model, long megabytes) implements InstanceObservation {}
}
