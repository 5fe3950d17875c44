package pearladder.router.kserve;

import pearladder.router.core.RequestManager;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;

/**
 * An inference request as the server has parsed it.
 *
 * @param versionRequest determines the version; its request id is null where the client sent none
 * @param receivedAt the time at which the head was received
 * @param timeLeft the time left until the deadline
 * @param requestClass the request class that the request names, or the default one
 * @param modelSettings the settings of the model
 * @param workEstimate the client's estimate of the work, or null
 * @param clientRetry whether the client says that this is a retry
 */
record InferenceRequest(
        RolloutManager.VersionRequest versionRequest,
        MonotonicTime receivedAt,
        TimeSpan timeLeft,
        RoutingSettings.RequestClass requestClass,
        RouterConfig.ModelSettings modelSettings,
        TimeSpan workEstimate,
        boolean clientRetry) {
    /** Returns whether the client gave an id under which the request must not be executed twice. */
    boolean mustNotRepeat() {
        return versionRequest.requestId() != null && requestClass.idempotency() == RoutingSettings.Idempotency.BINDING;
    }

    /**
     * Chooses the version and passes it to the response handler.
     *
     * @param defaultId the request's id where the client sent none
     */
    RequestManager.ParsedRequest withVersion(
            String defaultId, RolloutManager rolloutManager, HttpResponseHandler responseHandler) {
        RolloutManager.VersionRequest identified =
                versionRequest.requestId() == null ? withRequestId(defaultId) : versionRequest;
        RolloutManager.ChosenVersion chosen = rolloutManager.choose(identified);
        responseHandler.onAdmitted(identified.requestId(), chosen.version());
        return new RequestManager.ParsedRequest(
                identified.requestId(),
                chosen.function(),
                versionRequest.idempotencyKey(),
                receivedAt,
                timeLeft,
                requestClass,
                versionRequest.tenant(),
                modelSettings.concurrency(),
                modelSettings.memoryMb(),
                modelSettings.typicalLoadTime(),
                workEstimate,
                clientRetry,
                chosen.completionListener());
    }

    private RolloutManager.VersionRequest withRequestId(String id) {
        return new RolloutManager.VersionRequest(
                id,
                versionRequest.model(),
                versionRequest.version(),
                versionRequest.groupKey(),
                versionRequest.tenant(),
                versionRequest.idempotencyKey());
    }
}
