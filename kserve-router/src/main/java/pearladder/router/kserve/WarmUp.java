package pearladder.router.kserve;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.util.ArrayList;
import java.util.List;
import pearladder.router.core.PolicyFactory;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;

/**
 * Loads and compiles the router's code before the router is ready; otherwise its first requests would be late. A
 * temporary policy handles synthetic requests, and the router sends requests to its own server.
 */
final class WarmUp {
    private static final int POLICY_REQUESTS = 5000;
    private static final int WORKERS = 8;
    private static final int FUNCTIONS = 40;
    private static final int SERVER_REQUESTS = 3000;
    private static final int SERVER_CONNECTIONS = 16;
    private static final TimeSpan TIME_LIMIT = TimeSpan.millis(1500);
    private static final TimeSpan REQUEST_INTERVAL = TimeSpan.millis(5);
    private static final TimeSpan RESPONSE_TIME = TimeSpan.millis(20);
    private static final int REQUESTS_PER_TICK = 20;
    private static final String TICK_TAG = "beat";
    /** No configuration can name this model, so the server refuses the request. */
    private static final String REFUSED_PATH = "/v2/models/no%20model/infer";

    private WarmUp() {}

    /** Runs the warm-up; the future completes once it is done or the time limit is reached. */
    static Future<Void> run(Vertx vertx, RouterConfig config, PolicyFactory policyFactory, int port) {
        long endsAt = System.nanoTime() + TIME_LIMIT.nanos();
        Future<Void> policyDone = vertx.executeBlocking(() -> {
            runPolicy(policyFactory.create(0, config.routingSettings()), config.routingSettings(), endsAt);
            return null;
        });
        HttpClient client = vertx.createHttpClient(
                new HttpClientOptions().setDefaultHost(config.host()).setDefaultPort(port),
                new PoolOptions().setHttp1MaxSize(SERVER_CONNECTIONS));
        int[] requestsLeft = {SERVER_REQUESTS};
        List<Future<Void>> tasks = new ArrayList<>(List.of(policyDone));
        for (int i = 0; i < SERVER_CONNECTIONS; i++) {
            tasks.add(sendRequests(client, requestsLeft, endsAt));
        }
        return Future.join(tasks).<Void>mapEmpty().otherwiseEmpty().onComplete(done -> client.close());
    }

    private static Future<Void> sendRequests(HttpClient client, int[] requestsLeft, long endsAt) {
        if (requestsLeft[0]-- <= 0 || System.nanoTime() > endsAt) {
            return Future.succeededFuture();
        }
        return client.request(HttpMethod.POST, REFUSED_PATH)
                .compose((HttpClientRequest request) -> request.send("{}"))
                .compose(HttpClientResponse::body)
                .compose(body -> sendRequests(client, requestsLeft, endsAt));
    }

    /** Has a policy handle requests that all succeed, in virtual time. */
    private static void runPolicy(RoutingPolicy policy, RoutingSettings settings, long endsAt) {
        MonotonicTime now = new MonotonicTime(0);
        policy.handle(now, new Event.EndpointsUpdated(Event.EndpointUpdateKind.SNAPSHOT, workers(settings)));
        for (int i = 0; i < POLICY_REQUESTS && System.nanoTime() < endsAt; i++) {
            now = now.plus(REQUEST_INTERVAL);
            for (Action action : policy.handle(now, request(i, settings))) {
                if (action instanceof Action.SendAttempt send) {
                    policy.handle(now, success(send));
                }
            }
            if (i % REQUESTS_PER_TICK == 0) {
                policy.handle(now, new Event.TimerFired(TICK_TAG));
            }
        }
    }

    private static List<Event.Endpoint> workers(RoutingSettings settings) {
        List<Event.Endpoint> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(
                    new Event.Endpoint("worker-" + i, settings.zone(), "", 0, Event.EndpointState.IN_SERVICE, 1, null));
        }
        return workers;
    }

    private static Event.RequestArrived request(int number, RoutingSettings settings) {
        RoutingSettings.RequestClass requestClass = settings.requestClasses().get(0);
        String tenant =
                settings.tenants().isEmpty() ? null : settings.tenants().get(0).name();
        return new Event.RequestArrived(
                "call-" + number,
                "model-" + number % FUNCTIONS,
                requestClass.name(),
                tenant,
                requestClass.deadline(),
                2,
                100,
                null,
                null,
                false,
                false);
    }

    private static Event.AttemptEnded success(Action.SendAttempt send) {
        return new Event.AttemptEnded(
                send.requestId(),
                0,
                send.worker(),
                Outcome.SUCCESS,
                RESPONSE_TIME,
                true,
                Event.InstanceStatus.STOOD,
                0,
                new Event.WorkerLoadReport(1, 0, 0.1, 0, 0.1));
    }
}
