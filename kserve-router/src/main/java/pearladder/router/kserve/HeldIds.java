package pearladder.router.kserve;

import pearladder.delivery.ExecutedIds;
import pearladder.routing.api.RoutingPolicy;

/** The ids that clients gave to requests of classes that must not be repeated. */
final class HeldIds {
    private final ExecutedIds ids = ExecutedIds.forMemory(RoutingPolicy.DEFAULT_MEMORY_MB);

    /**
     * Holds the id of a request, until it turns out that no worker has executed it. Returns whether the request may be
     * admitted: false if it must not be repeated, and its id is held already.
     */
    boolean hold(InferenceRequest request, HttpResponseHandler responseHandler) {
        if (!request.mustNotRepeat()) {
            return true;
        }
        String id = request.versionRequest().requestId();
        if (ids.contains(id)) {
            return false;
        }
        ids.add(id);
        responseHandler.onRelease(possiblyExecuted -> {
            if (!possiblyExecuted) {
                ids.remove(id);
            }
        });
        return true;
    }
}
