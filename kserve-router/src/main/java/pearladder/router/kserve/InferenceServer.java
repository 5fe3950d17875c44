package pearladder.router.kserve;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pearladder.kserve.Headers;
import pearladder.kserve.JsonBodies;
import pearladder.kserve.Route;
import pearladder.router.core.RequestManager;
import pearladder.router.core.VertxTimers;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;

/** The router's own side of KServe v2: reads calls, refuses what is no call, and answers what is asked of the router. */
final class InferenceServer {
    /**
     * A call as the door read it.
     *
     * @param wish what it is of; its name is null where the client gave none
     * @param hint of its work, or null
     */
    record Understood(
            RolloutManager.Wish wish,
            MonotonicTime came,
            TimeSpan timeLeft,
            RoutingSettings.RequestClass category,
            RouterConfig.ModelTerms terms,
            TimeSpan hint,
            boolean repeat) {
        /** The call as the router holds it: under its own name or the router's for it, of the version chosen. */
        RequestManager.ParsedRequest asked(String name, RolloutManager releases, HttpResponseHandler reply) {
            RolloutManager.Wish named = wish.named() != null
                    ? wish
                    : new RolloutManager.Wish(
                            name, wish.model(), wish.version(), wish.key(), wish.account(), wish.mark());
            RolloutManager.Chosen chosen = releases.choose(named);
            reply.taken(named.named(), chosen.version());
            return new RequestManager.ParsedRequest(
                    named.named(),
                    chosen.function(),
                    wish.mark(),
                    came,
                    timeLeft,
                    category,
                    wish.account(),
                    terms.lanes(),
                    terms.memoryMb(),
                    terms.usualLoad(),
                    hint,
                    repeat,
                    chosen.ending());
        }
    }

    /** What the door needs of the router. */
    interface House {
        /** Why no call is taken now, or null. */
        String closedBecause();

        void take(Understood understood, HttpResponseHandler reply);

        boolean ready();

        /** How late the event loop is. */
        TimeSpan behind();
    }

    private static final String NAME = "[A-Za-z0-9._:-]{1,128}";

    private final RouterConfig articles;
    private final House house;
    private final PrometheusMetrics meters;
    private final Vertx vertx;
    private final HttpServer server;

    InferenceServer(Vertx vertx, RouterConfig articles, House house, PrometheusMetrics meters) {
        this.articles = articles;
        this.house = house;
        this.meters = meters;
        this.vertx = vertx;
        this.server = vertx.createHttpServer(new HttpServerOptions()
                        .setHost(articles.host())
                        .setPort(articles.port())
                        .setTcpNoDelay(true)
                        .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
                        .setIdleTimeout((int) articles.limits().idle().toMillis())
                        .setMaxHeaderSize(16 << 10)
                        .setMaxInitialLineLength(8 << 10))
                .requestHandler(this::take);
    }

    Future<Integer> listen() {
        return server.listen().map(HttpServer::actualPort);
    }

    Future<Void> close() {
        return server.close();
    }

    private void take(HttpServerRequest request) {
        if (request.path().equals("/metrics")) {
            end(request, 200, "text/plain; version=0.0.4", meters.text());
            return;
        }
        Route route = Route.of(request.path());
        HttpMethod wanted =
                route.kind() == Route.Kind.INFER || route.kind() == Route.Kind.INDEX ? HttpMethod.POST : HttpMethod.GET;
        if (route.kind() != Route.Kind.UNKNOWN && !request.method().equals(wanted)) {
            request.response().putHeader("allow", wanted.name());
            refuse(request, 405, "this path takes " + wanted);
            return;
        }
        switch (route.kind()) {
            case INFER -> infer(request, route);
            case SERVER -> json(request, JsonBodies.server("pearladder", "0.2.0", List.of()));
            case LIVE -> json(request, "{\"live\":true}");
            case READY -> {
                if (house.ready()) {
                    json(request, "{\"ready\":true}");
                } else {
                    refuse(request, 503, "not ready: no list of engines, or stopping");
                }
            }
            case MODEL, MODEL_READY -> model(request, route);
            default -> refuse(request, 404, "no such path; calls go to /v2/models/MODEL/infer");
        }
    }

    private void model(HttpServerRequest request, Route route) {
        if (!route.model().matches(NAME) || articles.modelOf(route.model()) == null) {
            refuse(request, 404, "unknown model " + shown(route.model()));
        } else if (route.kind() == Route.Kind.MODEL) {
            json(
                    request,
                    JsonBodies.model(route.model(), route.version() == null ? List.of() : List.of(route.version())));
        } else if (house.ready()) {
            json(request, "{\"name\":\"" + route.model() + "\",\"ready\":true}");
        } else {
            refuse(request, 503, "not ready");
        }
    }

    /** Reads the head of a call, then its body within its bounds of size and time; what is no call is never taken. */
    private void infer(HttpServerRequest request, Route route) {
        MonotonicTime came = VertxTimers.present();
        RouterConfig.ModelTerms model = route.model().matches(NAME) ? articles.modelOf(route.model()) : null;
        if (model == null) {
            refuse(request, 404, "unknown model " + shown(route.model()));
            return;
        }
        if (route.version() != null && !route.version().matches(NAME)) {
            refuse(request, 404, "unknown version " + shown(route.version()));
            return;
        }
        String word = request.getHeader(Headers.CATEGORY);
        String category = word != null
                ? word
                : model.category() != null
                        ? model.category()
                        : articles.facts().requestClasses().size() == 1
                                ? articles.facts().requestClasses().get(0).name()
                                : null;
        RoutingSettings.RequestClass terms = category == null ? null : articles.category(category);
        if (terms == null) {
            refuse(
                    request,
                    400,
                    category == null
                            ? "the header " + Headers.CATEGORY + " is missing"
                            : Headers.CATEGORY + ": unknown category " + shown(category));
            return;
        }
        String account = request.getHeader(Headers.ACCOUNT);
        if (!articles.facts().tenants().isEmpty()
                && articles.facts().tenants().stream().noneMatch(a -> a.name().equals(account))) {
            refuse(
                    request,
                    400,
                    account == null
                            ? "the header " + Headers.ACCOUNT + " is missing"
                            : Headers.ACCOUNT + ": unknown account " + shown(account));
            return;
        }
        String mark = request.getHeader(Headers.MARK);
        if (terms.idempotency() == RoutingSettings.Idempotency.FINGERPRINTED && (mark == null || mark.isBlank())) {
            refuse(request, 400, "a call of category " + category + " needs the header " + Headers.MARK);
            return;
        }
        TimeSpan patience = millis(request, Headers.PATIENCE, terms.deadline());
        TimeSpan hint = millis(request, Headers.HINT, TimeSpan.ZERO);
        if (patience == null || hint == null || patience.nanos() <= 0) {
            refuse(
                    request,
                    400,
                    (patience == null || patience.nanos() <= 0 ? Headers.PATIENCE : Headers.HINT)
                            + ": a number of milliseconds was expected");
            return;
        }
        if (length(request) > articles.limits().payload()) {
            refuse(request, 413, "a body has " + articles.limits().payload() + " bytes at the most");
            return;
        }
        read(request, body -> {
            // what the loop is late counts twice: the call waited unseen on its way in, and so will its answer
            TimeSpan left = patience.atMost(terms.deadline())
                    .minus(VertxTimers.present().since(came))
                    .minus(house.behind().times(2));
            String closed = left.nanos() <= 0
                    ? "the client's time is up before the call could be taken"
                    : house.closedBecause();
            if (closed != null) {
                notTaken(request.response(), closed);
                return;
            }
            String named = request.getHeader(Headers.CALL);
            String type = request.getHeader("content-type");
            house.take(
                    new Understood(
                            new RolloutManager.Wish(
                                    named != null && named.matches(NAME) ? named : null,
                                    route.model(),
                                    route.version(),
                                    request.getHeader(Headers.KEY),
                                    articles.facts().tenants().isEmpty() ? null : account,
                                    mark),
                            came,
                            left,
                            terms,
                            model,
                            hint.nanos() == 0 ? null : hint,
                            "1".equals(request.getHeader(Headers.REPEAT))),
                    new HttpResponseHandler(
                            route.model(), type == null ? "application/json" : type, body, request.response()));
        });
    }

    private void read(HttpServerRequest request, java.util.function.Consumer<Buffer> whole) {
        Buffer body = Buffer.buffer();
        boolean[] over = {false};
        long timer = vertx.setTimer(Math.max(1, articles.limits().bodyWithin().toMillis()), fired -> {
            over[0] = true;
            refuse(
                    request,
                    408,
                    "the body was not in after "
                            + articles.limits().bodyWithin().toMillis() + " ms");
        });
        request.exceptionHandler(left -> {
            over[0] = true;
            vertx.cancelTimer(timer);
        });
        request.handler(part -> {
            if (!over[0]
                    && body.length() + (long) part.length() > articles.limits().payload()) {
                over[0] = true;
                vertx.cancelTimer(timer);
                refuse(request, 413, "a body has " + articles.limits().payload() + " bytes at the most");
            } else if (!over[0]) {
                body.appendBuffer(part);
            }
        });
        request.endHandler(end -> {
            if (!over[0]) {
                over[0] = true;
                vertx.cancelTimer(timer);
                if (!request.response().closed()) {
                    whole.accept(body);
                }
            }
        });
    }

    private static long length(HttpServerRequest request) {
        String text = request.getHeader("content-length");
        return text != null && text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
    }

    private static TimeSpan millis(HttpServerRequest request, String header, TimeSpan otherwise) {
        String text = request.getHeader(header);
        if (text == null) {
            return otherwise;
        }
        return text.matches("[0-9]{1,9}(\\.[0-9]{1,6})?") ? TimeSpan.seconds(Double.parseDouble(text) / 1e3) : null;
    }

    /** A client's own word, cut short, in a message that goes back to it. */
    private static String shown(String word) {
        String plain = word.replaceAll("[^A-Za-z0-9._:@/-]", "?");
        return "\"" + (plain.length() > 64 ? plain.substring(0, 64) + "..." : plain) + "\"";
    }

    private void json(HttpServerRequest request, String body) {
        end(request, 200, "application/json", body);
    }

    private static void end(HttpServerRequest request, int status, String type, String body) {
        if (!request.response().ended() && !request.response().closed()) {
            request.response()
                    .setStatusCode(status)
                    .putHeader("content-type", type)
                    .end(body);
        }
    }

    /** What is no call, or none that can be understood; where its body is still coming, the connection ends with it. */
    private void refuse(HttpServerRequest request, int status, String why) {
        if (!request.isEnded()) {
            request.response().putHeader("connection", "close");
            request.resume();
        }
        end(request, status, "application/json", JsonBodies.error(why));
        if (status == 408 || status == 413) {
            vertx.setTimer(50, t -> request.connection().close());
        }
    }

    /** A call that was understood and not taken: never sent anywhere, so trying again is harmless. */
    private void notTaken(HttpServerResponse response, String why) {
        meters.notTaken();
        HttpResponseHandler.dismiss(
                response, why, articles.facts().attemptLimits().maxRetryAfter());
    }
}
