package pearladder.routing;

import java.util.List;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.RoutingSettings.DeduplicationScope;
import pearladder.routing.api.RoutingSettings.Idempotency;
import pearladder.routing.api.RoutingSettings.LoadQuota;
import pearladder.routing.api.RoutingSettings.RequestClass;
import pearladder.routing.api.RoutingSettings.Tenant;
import pearladder.routing.api.TimeSpan;

/** Routing settings for the tests of the policy, with request classes for each kind of idempotency. */
final class TestSettings {
    static final RequestClass IDEMPOTENT = requestClass("draw", Idempotency.RETRIABLE, DeduplicationScope.ALL);
    static final RequestClass NON_IDEMPOTENT = requestClass("post", Idempotency.BINDING, DeduplicationScope.ALL);
    static final RequestClass IDEMPOTENT_BY_KEY =
            requestClass("commit", Idempotency.FINGERPRINTED, DeduplicationScope.ALL);
    static final RequestClass IDEMPOTENT_BY_KEY_IN_ZONE =
            requestClass("note", Idempotency.FINGERPRINTED, DeduplicationScope.ZONE);
    /** A class whose deduplication window is shorter than its deadline. */
    static final RequestClass IDEMPOTENT_BY_KEY_BRIEFLY = new RequestClass(
            "brief",
            TimeSpan.seconds(1),
            TimeSpan.seconds(4),
            1,
            0.2,
            Idempotency.FINGERPRINTED,
            DeduplicationScope.ALL,
            TimeSpan.millis(1500),
            false,
            0);

    static final List<RequestClass> REQUEST_CLASSES = List.of(
            IDEMPOTENT, NON_IDEMPOTENT, IDEMPOTENT_BY_KEY, IDEMPOTENT_BY_KEY_IN_ZONE, IDEMPOTENT_BY_KEY_BRIEFLY);
    static final LoadQuota NO_LOAD_QUOTA = new LoadQuota(0, 0, TimeSpan.ZERO);

    private static final int FEW_ROUTERS = 3;

    private TestSettings() {}

    private static RequestClass requestClass(String name, Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(
                name,
                TimeSpan.seconds(1),
                TimeSpan.seconds(4),
                1,
                0.2,
                idempotency,
                scope,
                TimeSpan.seconds(6),
                false,
                0);
    }

    /** Returns settings for one of three routers, without load requests and load quota. */
    static RoutingSettings withoutLoadRequests() {
        return withRouterCount(FEW_ROUTERS);
    }

    /** Returns settings for one of {@code routerCount} routers, without load requests and load quota. */
    static RoutingSettings withRouterCount(int routerCount) {
        return settings(routerCount, false, true, NO_LOAD_QUOTA, List.of());
    }

    /** Returns settings for one of three routers, with load requests within a quota. */
    static RoutingSettings withLoadRequests(LoadQuota loadQuota) {
        return settings(true, true, loadQuota, List.of());
    }

    /** Returns settings for one of three routers. */
    static RoutingSettings settings(
            boolean acceptsLoadRequests, boolean hedging, LoadQuota loadQuota, List<Tenant> tenants) {
        return settings(FEW_ROUTERS, acceptsLoadRequests, hedging, loadQuota, tenants);
    }

    private static RoutingSettings settings(
            int routerCount, boolean acceptsLoadRequests, boolean hedging, LoadQuota loadQuota, List<Tenant> tenants) {
        return new RoutingSettings(
                0,
                routerCount,
                "a",
                TimeSpan.millis(4),
                REQUEST_CLASSES,
                tenants,
                new RoutingSettings.AttemptLimits(
                        3, hedging, true, true, false, true, TimeSpan.seconds(2), 0.1, false, TimeSpan.millis(250)),
                new RoutingSettings.ResponseGrace(TimeSpan.millis(16), TimeSpan.millis(500)),
                new RoutingSettings.SlowStartSettings(0.25, TimeSpan.seconds(15), 2, TimeSpan.millis(1500)),
                loadQuota,
                new RoutingSettings.InstanceSettings(
                        TimeSpan.seconds(8),
                        acceptsLoadRequests,
                        true,
                        TimeSpan.seconds(10),
                        true,
                        true,
                        List.of(50000.0)),
                new RoutingSettings.LoadReportSettings(List.of("x1"), true),
                new RoutingSettings.DiscoverySettings(false, TimeSpan.ZERO),
                new RoutingSettings.CostModel(0.01, 0.05, 0.01, 0.03, 0.1, 0.05));
    }
}
