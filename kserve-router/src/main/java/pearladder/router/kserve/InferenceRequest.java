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
        RolloutManager.Wish wish,
        MonotonicTime receivedAt,
        TimeSpan timeLeft,
        RoutingSettings.RequestClass requestClass,
        RouterConfig.ModelTerms modelSettings,
        TimeSpan workEstimate,
        boolean clientRetry) {
    /**
     * Chooses the version, and tells the response handler of it.
     *
     * @param defaultId the request's id where the client gave none
     */
    RequestManager.ParsedRequest withVersion(
            String defaultId, RolloutManager rolloutManager, HttpResponseHandler responseHandler) {
        RolloutManager.Wish named = wish.named() == null ? named(defaultId) : wish;
        RolloutManager.Chosen chosen = rolloutManager.choose(named);
        responseHandler.onAdmitted(named.named(), chosen.version());
        return new RequestManager.ParsedRequest(
                named.named(),
                chosen.function(),
                wish.mark(),
                receivedAt,
                timeLeft,
                requestClass,
                wish.account(),
                modelSettings.lanes(),
                modelSettings.memoryMb(),
                modelSettings.usualLoad(),
                workEstimate,
                clientRetry,
                chosen.ending());
    }

    private RolloutManager.Wish named(String id) {
        return new RolloutManager.Wish(id, wish.model(), wish.version(), wish.key(), wish.account(), wish.mark());
    }
}
