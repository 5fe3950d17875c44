package pearladder.testbed;

import pearladder.emulator.Observation;

/** A router and a worker that was reported to it or to which it sent something. */
record RouterAndWorker(String router, String worker) {
    static RouterAndWorker of(Observation seen) {
        return new RouterAndWorker(seen.router(), seen.worker());
    }
}
