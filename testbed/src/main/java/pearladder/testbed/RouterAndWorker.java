package pearladder.testbed;

import pearladder.emulator.Observation;

/** A router and a worker that discovery reported to it, or to which it sent a message. */
record RouterAndWorker(String router, String worker) {
    static RouterAndWorker of(Observation seen) {
        return new RouterAndWorker(seen.router(), seen.worker());
    }
}
