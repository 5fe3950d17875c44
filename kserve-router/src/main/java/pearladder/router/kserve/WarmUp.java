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
 * Guards against a router that is late for its first calls because its code is only then loaded and compiled: before it is
 * ready it plays calls of no one to an instance of the module that is thrown away, and knocks at its own door.
 */
final class WarmUp {
    private static final int CALLS = 5000;
    private static final int WORKERS = 8;
    private static final int KNOCKS = 3000;
    private static final int AT_ONCE = 16;
    private static final TimeSpan BOUND = TimeSpan.millis(1500);

    private WarmUp() {}

    /** Done once it is warm, or after a bound. */
    static Future<Void> run(Vertx vertx, RouterConfig articles, PolicyFactory policyFactory, int port) {
        long until = System.nanoTime() + BOUND.nanos();
        Future<Void> rehearsed = vertx.executeBlocking(() -> {
            rehearse(policyFactory.make(0, articles.facts()), articles.facts(), until);
            return null;
        });
        HttpClient client = vertx.createHttpClient(
                new HttpClientOptions().setDefaultHost(articles.host()).setDefaultPort(port),
                new PoolOptions().setHttp1MaxSize(AT_ONCE));
        int[] left = {KNOCKS};
        List<Future<Void>> all = new ArrayList<>(List.of(rehearsed));
        for (int i = 0; i < AT_ONCE; i++) {
            all.add(knock(client, left, until));
        }
        return Future.join(all).<Void>mapEmpty().otherwiseEmpty().onComplete(done -> client.close());
    }

    /** A call of a model that no file can name: it goes through the door and is refused there. */
    private static Future<Void> knock(HttpClient client, int[] left, long until) {
        if (left[0]-- <= 0 || System.nanoTime() > until) {
            return Future.succeededFuture();
        }
        return client.request(HttpMethod.POST, "/v2/models/no%20model/infer")
                .compose((HttpClientRequest request) -> request.send("{}"))
                .compose(HttpClientResponse::body)
                .compose(body -> knock(client, left, until));
    }

    /** Plays calls that all settle, in a time of their own. */
    private static void rehearse(RoutingPolicy module, RoutingSettings facts, long until) {
        MonotonicTime now = new MonotonicTime(0);
        List<Event.Endpoint> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(
                    new Event.Endpoint("worker-" + i, facts.zone(), "", 0, Event.EndpointState.IN_SERVICE, 1, null));
        }
        module.handle(now, new Event.EndpointsUpdated(Event.EndpointUpdateKind.SNAPSHOT, workers));
        RoutingSettings.RequestClass category = facts.requestClasses().get(0);
        String account =
                facts.tenants().isEmpty() ? null : facts.tenants().get(0).name();
        for (int i = 0; i < CALLS && System.nanoTime() < until; i++) {
            now = now.plus(TimeSpan.millis(5));
            List<Action> actions = module.handle(
                    now,
                    new Event.RequestArrived(
                            "call-" + i,
                            "model-" + i % 40,
                            category.name(),
                            account,
                            category.deadline(),
                            2,
                            100,
                            null,
                            null,
                            false,
                            false));
            for (Action action : actions) {
                if (action instanceof Action.SendAttempt send) {
                    module.handle(
                            now,
                            new Event.AttemptEnded(
                                    send.requestId(),
                                    0,
                                    send.worker(),
                                    Outcome.SUCCESS,
                                    TimeSpan.millis(20),
                                    true,
                                    Event.InstanceStatus.STOOD,
                                    0,
                                    new Event.WorkerLoadReport(1, 0, 0.1, 0, 0.1)));
                }
            }
            if (i % 20 == 0) {
                module.handle(now, new Event.TimerFired("beat"));
            }
        }
    }
}
