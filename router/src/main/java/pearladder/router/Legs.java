package pearladder.router;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.function.BiConsumer;
import pearladder.api.Action;
import pearladder.api.Moment;
import pearladder.api.Outcome;
import pearladder.api.Span;
import pearladder.kserve.Bodies;
import pearladder.kserve.Headers;

/**
 * Sends legs, orders and probes to engines and tells how each ended, once. Outcomes prove what they claim: unreachable is
 * said only when no byte of the call left; from the first byte on a failure may have run.
 */
final class Legs {
    /** How a leg ended; the answer is null where there is none. */
    interface Ended {
        void leg(OpenLeg leg, Outcome outcome, EngineAnswer answer);
    }

    /** How an order or a probe ended; the answer is null where there is none. */
    interface Told {
        void end(Outcome outcome, EngineAnswer answer, Span took);
    }

    private final Vertx vertx;
    private final String router;
    private final long answerLimit;
    private final Ended ended;

    Legs(Vertx vertx, String router, long answerLimit, Ended ended) {
        this.vertx = vertx;
        this.router = router;
        this.answerLimit = answerLimit;
        this.ended = ended;
    }

    /** Sends a leg; without a link it ends unsent. */
    void send(OpenLeg leg, EngineLink link, Span limit) {
        if (link == null) {
            end(leg, Outcome.VOID, null);
            return;
        }
        leg.link = link;
        leg.timer = vertx.setTimer(Math.max(1, limit.inMillis()), fired -> {
            end(leg, leg.written ? Outcome.TIMED_OUT : Outcome.UNREACHABLE, null);
        });
        link.request(HttpMethod.POST, leg.call.path).onComplete(
                request -> write(leg, request),
                unreached -> end(leg, Outcome.UNREACHABLE, null));
    }

    private void write(OpenLeg leg, HttpClientRequest request) {
        if (leg.ended) {
            request.reset();
            return;
        }
        OpenCall call = leg.call;
        leg.request = request;
        leg.written = true;
        request.putHeader("content-type", call.contentType).putHeader(Headers.ROUTER, router)
                .putHeader(Headers.CALL, call.named).putHeader(Headers.LEG, Integer.toString(leg.number));
        if (call.mark != null) {
            request.putHeader(Headers.MARK, call.mark);
        }
        request.send(call.body).onComplete(
                response -> EngineLink.read(response, answerLimit,
                        (head, body) -> answered(leg, head, body), broken -> end(leg, Outcome.BROKEN, null)),
                broken -> end(leg, Outcome.BROKEN, null));
    }

    private void answered(OpenLeg leg, HttpClientResponse head, Buffer body) {
        EngineAnswer answer = EngineAnswer.of(head.statusCode(), head.headers(), body);
        end(leg, answer.outcome(), answer);
    }

    /** Ceases to wait for a leg; one of which nothing left was never sent. */
    void cancel(OpenLeg leg) {
        end(leg, leg.written ? Outcome.WITHDRAWN : Outcome.VOID, null);
    }

    /** The first end of a leg counts; whatever comes after it is passed over. */
    private void end(OpenLeg leg, Outcome outcome, EngineAnswer answer) {
        if (leg.ended) {
            return;
        }
        leg.ended = true;
        vertx.cancelTimer(leg.timer);
        if (answer == null && leg.request != null) {
            leg.request.reset();
        }
        if (leg.link != null) {
            leg.link.ended();
        }
        ended.leg(leg, outcome, answer);
    }

    /** Orders copies, or with 0 asks how many stand; answered once, at the latest after the time-out. */
    void order(EngineLink link, Action.Hold hold, Span timeout, BiConsumer<Outcome, Integer> done) {
        boolean asks = hold.copies() == 0;
        String uri = asks ? "/v2/repository/index" : "/v2/repository/models/" + hold.function() + "/load";
        Buffer body = asks ? Buffer.buffer("{}") : Buffer.buffer(Bodies.load(hold.copies()));
        ask(link, HttpMethod.POST, uri, body, timeout, (outcome, answer, took) -> {
            if (answer == null) {
                done.accept(outcome, 0);
            } else if (asks) {
                done.accept(outcome, standing(answer.body(), hold.function()));
            } else {
                String copies = answer.headers().get(Headers.COPIES);
                int stand = copies != null && copies.matches("[0-9]{1,6}") ? Integer.parseInt(copies)
                        : outcome == Outcome.SUCCESS ? hold.copies() : 0;
                done.accept(answer.status() == 503 ? Outcome.FULL : outcome, stand);
            }
        });
    }

    private static int standing(Buffer body, String function) {
        try {
            return (int) Bodies.indexed(body.toString()).stream()
                    .filter(model -> model.name().equals(function) && model.state().equals("READY")).count();
        } catch (java.io.IOException unreadable) {
            return 0;
        }
    }

    /** Has the idle copies of a function unloaded; nobody waits for the answer. */
    void unload(EngineLink link, String function, Span timeout) {
        ask(link, HttpMethod.POST, "/v2/repository/models/" + function + "/unload", Buffer.buffer("{}"), timeout,
                (outcome, answer, took) -> { });
    }

    void probe(EngineLink link, Span timeout, Told told) {
        ask(link, HttpMethod.GET, "/v2/health/live", Buffer.buffer(), timeout, told);
    }

    private void ask(EngineLink link, HttpMethod method, String uri, Buffer body, Span timeout, Told told) {
        Moment sent = Conductor.now();
        boolean[] done = {false};
        boolean[] written = {false};
        HttpClientRequest[] asked = {null};
        long[] timer = {-1};
        BiConsumer<Outcome, EngineAnswer> end = (outcome, answer) -> {
            if (!done[0]) {
                done[0] = true;
                vertx.cancelTimer(timer[0]);
                if (answer == null && asked[0] != null) {
                    asked[0].reset();
                }
                link.ended();
                told.end(outcome, answer, Conductor.now().since(sent));
            }
        };
        timer[0] = vertx.setTimer(Math.max(1, timeout.inMillis()),
                fired -> end.accept(written[0] ? Outcome.TIMED_OUT : Outcome.UNREACHABLE, null));
        link.request(method, uri).onComplete(request -> {
            if (done[0]) {
                request.reset();
                return;
            }
            asked[0] = request;
            written[0] = true;
            request.putHeader("content-type", "application/json").putHeader(Headers.ROUTER, router);
            request.send(body).onComplete(
                    response -> EngineLink.read(response, answerLimit,
                            (head, whole) -> {
                                EngineAnswer answer = EngineAnswer.of(head.statusCode(), head.headers(), whole);
                                end.accept(answer.outcome(), answer);
                            }, broken -> end.accept(Outcome.BROKEN, null)),
                    broken -> end.accept(Outcome.BROKEN, null));
        }, unreached -> end.accept(Outcome.UNREACHABLE, null));
    }
}
