package pearladder.router.kserve;

import pearladder.router.core.RequestManager;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;

/**
 * An inference request as the server has parsed it.
 *
 * @param wish for a version; its request id is null where the client gave none
 * @param receivedAt when its head was received
 * @param timeLeft until its deadline
 * @param requestClass that it names, or its model's
 * @param modelSettings of its model
 * @param workEstimate the client's estimate, or null
 * @param clientRetry whether the client says that this is a retry
 */
record InferenceRequest(
        RolloutManager.VersionRequest wish,
        MonotonicTime receivedAt,
        TimeSpan timeLeft,
        RoutingSettings.RequestClass requestClass,
        RouterConfig.ModelSettings modelSettings,
        TimeSpan workEstimate,
        boolean clientRetry) {
    /**
     * Chooses the version, and tells the response handler of it.
     *
     * @param defaultId the request's id where the client gave none
     */
    RequestManager.ParsedRequest withVersion(
            String defaultId, RolloutManager rolloutManager, HttpResponseHandler responseHandler) {
        RolloutManager.VersionRequest named = wish.requestId() == null ? named(defaultId) : wish;
        RolloutManager.ChosenVersion chosen = rolloutManager.choose(named);
        responseHandler.onAdmitted(named.requestId(), chosen.version());
        return new RequestManager.ParsedRequest(
                named.requestId(),
                chosen.function(),
                wish.idempotencyKey(),
                receivedAt,
                timeLeft,
                requestClass,
                wish.tenant(),
                modelSettings.concurrency(),
                modelSettings.memoryMb(),
                modelSettings.typicalLoadTime(),
                workEstimate,
                clientRetry,
                chosen.completionListener());
    }

    private RolloutManager.VersionRequest named(String id) {
        return new RolloutManager.VersionRequest(
                id, wish.model(), wish.version(), wish.groupKey(), wish.tenant(), wish.idempotencyKey());
    }
}
