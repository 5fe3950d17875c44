package pearladder.simulation;

import pearladder.emulator.WorkerReply;
import pearladder.kserve.LoadReport;
import pearladder.router.core.WorkerResponse;
import pearladder.routing.api.Event;
import pearladder.routing.api.Outcome;

/** A worker's reply with the fields that the HTTP client would read from the status and headers. */
record SimulatedResponse(
        Outcome outcome, Event.InstanceStatus instanceStatus, int concurrentRequests, Event.WorkerLoadReport loadReport)
        implements WorkerResponse {
    static SimulatedResponse of(WorkerReply reply) {
        return new SimulatedResponse(
                outcomeOf(reply), instanceStatusOf(reply), reply.concurrentRequests(), loadReportOf(reply.report()));
    }

    static Outcome outcomeOf(WorkerReply reply) {
        return switch (reply.outcome()) {
            case OK -> Outcome.SUCCESS;
            case ERROR -> Outcome.ERROR;
            case FULL -> Outcome.FULL;
            case ABSENT -> Outcome.ABSENT;
        };
    }

    private static Event.InstanceStatus instanceStatusOf(WorkerReply reply) {
        return reply.instanceState() == null
                ? Event.InstanceStatus.UNTOLD
                : Event.InstanceStatus.valueOf(reply.instanceState().name());
    }

    private static Event.WorkerLoadReport loadReportOf(LoadReport report) {
        return report == null
                ? null
                : new Event.WorkerLoadReport(
                        report.requestsInFlight(),
                        report.queuedRequests(),
                        report.coreUtilization(),
                        report.pendingLoads(),
                        report.pinnedMemoryShare());
    }

    /** Returns this response as an error, for a response that names a model other than the requested one. */
    SimulatedResponse asError() {
        return new SimulatedResponse(Outcome.ERROR, instanceStatus, concurrentRequests, loadReport);
    }
}
